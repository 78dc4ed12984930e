//! A front's settings: what is checked, and what a wrong one says.

use std::time::Duration;

use shallotstall::front::FrontConfig;

const LEAST: &str = r#"
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
fn the_least_settings_are_enough() {
    let config = FrontConfig::parse(LEAST).expect("settings");
    assert_eq!(config.place().region, "north".into());
    assert!(!config.bounds.fail_closed);
    assert_eq!(config.bounds.revoke.0, Duration::from_secs(5));
}

#[test]
fn a_wrong_setting_is_named() {
    let bounds = |line: &str| format!("{LEAST}[bounds]\n{line}\n");
    let cases = [
        (LEAST.replace("\"front-a-1\"", "\"\""), "vm: is empty"),
        (LEAST.replace("region = \"north\"\n", ""), "zone: a does not stand in zones"),
        (LEAST.replace("port = 7000", "port = 0"), "peers.port: 0 is no port"),
        (LEAST.replace("10.0.0.9:90", "the store"), "addr"),
        (LEAST.replace("[peers]", "[friends]"), "friends"),
        (bounds("revoke = \"5\""), "\"5\" has no unit"),
        (bounds("revoke = \"soon\""), "\"soon\" has no unit"),
        (bounds("revoke = \"-1s\""), "\"-1s\" is no time"),
        (bounds("revoke = \"0s\""), "bounds.revoke: 0 ms is not from 100 ms to 3600 s"),
        (bounds("retry_ratio = -0.5"), "bounds.retry_ratio: -0.5 is below 0"),
        (bounds("retry_slack = nan"), "bounds.retry_slack: NaN is below 0"),
        (bounds("speed = 3"), "speed"),
    ];
    for (text, wanted) in cases {
        let error = FrontConfig::parse(&text).expect_err(wanted);
        assert!(format!("{error:#}").contains(wanted), "{wanted}: {error:#}");
    }
}

#[test]
fn times_may_be_fractions() {
    let text = format!("{LEAST}[bounds]\nrevoke = \"2.5s\"\ngrace = \"1500ms\"\n");
    let config = FrontConfig::parse(&text).expect("settings");
    assert_eq!(config.bounds.revoke.0, Duration::from_millis(2_500));
    assert_eq!(config.bounds.grace.0, Duration::from_millis(1_500));
}
