//! Validation of the front's settings, and the error messages for invalid ones.

use std::time::Duration;

use shallotstall::front::FrontConfig;

const MINIMAL: &str = r#"
vm = "front-a-1"
zone = "a"
region = "north"
[listen]
callers = "10.0.0.1:80"
lookups = "10.0.0.1:81"
ready = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[peers]
port = 7000
[store]
addr = "10.0.0.9:90"
"#;

#[test]
fn minimal_settings_are_accepted() {
    let config = FrontConfig::parse(MINIMAL).expect("settings");
    assert_eq!(config.place().region, "north".into());
    assert!(!config.bounds.fail_closed);
    assert_eq!(config.bounds.revoke.0, Duration::from_secs(5));
    assert_eq!(config.bounds.config_apply.0, Duration::from_secs(4));
    assert_eq!(config.cpu_millis(), 1_000, "one core unless the settings say otherwise");
    assert_eq!(config.memory_bytes(), 128 << 20, "128 MB unless the settings say otherwise");
}

#[test]
fn a_processor_share_is_read_in_cores() {
    let config = FrontConfig::parse(&format!("cpu = 0.14\n{MINIMAL}")).expect("settings");
    assert_eq!(config.cpu_millis(), 140);
}

/// Guards against a bound that does not follow the machine's memory, given in whole or in part MB.
#[test]
fn memory_is_read_in_megabytes() {
    for (text, bytes) in [("112", 112 << 20), ("112.5", (112 << 20) + (1 << 19))] {
        let config = FrontConfig::parse(&format!("memory = {text}\n{MINIMAL}")).expect("settings");
        assert_eq!(config.memory_bytes(), bytes);
    }
}

#[test]
fn an_invalid_setting_is_named() {
    let bounds = |line: &str| format!("{MINIMAL}[bounds]\n{line}\n");
    let cases = [
        (MINIMAL.replace("\"front-a-1\"", "\"\""), "vm: must not be empty"),
        (
            MINIMAL.replace("region = \"north\"\n", ""),
            "zone: a is not in zones, and region is not set",
        ),
        (MINIMAL.replace("port = 7000", "port = 0"), "peers.port: 0 is not a valid port"),
        (MINIMAL.replace("10.0.0.9:90", "the store"), "addr"),
        (MINIMAL.replace("[peers]", "[friends]"), "friends"),
        (format!("cpu = 0.0\n{MINIMAL}"), "cpu: 0 is not between 0.001 and 1024 cores"),
        (format!("cpu = nan\n{MINIMAL}"), "cpu: NaN is not between"),
        (format!("memory = 0\n{MINIMAL}"), "memory: 0 is not between 16 and 1048576 MB"),
        (format!("memory = nan\n{MINIMAL}"), "memory: NaN is not between"),
        (bounds("revoke = \"5\""), "\"5\" has no unit"),
        (bounds("revoke = \"soon\""), "\"soon\" has no unit"),
        (bounds("revoke = \"-1s\""), "\"-1s\" is not a duration"),
        (bounds("revoke = \"0s\""), "bounds.revoke: 0 ms is not between 100 ms and 3600 s"),
        (bounds("config_apply = \"50ms\""), "bounds.config_apply: 50 ms is not between 100 ms"),
        (bounds("retry_ratio = -0.5"), "bounds.retry_ratio: -0.5 is negative or not finite"),
        (bounds("retry_slack = nan"), "bounds.retry_slack: NaN is negative or not finite"),
        (bounds("speed = 3"), "speed"),
    ];
    for (text, message) in cases {
        let error = FrontConfig::parse(&text).expect_err(message);
        assert!(format!("{error:#}").contains(message), "{message}: {error:#}");
    }
}

#[test]
fn durations_may_have_fractions() {
    let text = format!("{MINIMAL}[bounds]\nrevoke = \"2.5s\"\ngrace = \"1500ms\"\n");
    let config = FrontConfig::parse(&text).expect("settings");
    assert_eq!(config.bounds.revoke.0, Duration::from_millis(2_500));
    assert_eq!(config.bounds.grace.0, Duration::from_millis(1_500));
}
