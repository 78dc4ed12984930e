//! Parsing and validation of documents, settings, scenarios and state charts, and keys. Invalid
//! input must be rejected with an error that names the field.

use std::path::Path;

use serde::{Deserialize, Serialize};
use shallotstall::chart::StateChart;
use shallotstall::config::Config;
use shallotstall::load::Scenario;
use shallotstall::model::{KeyDigest, new_key, parse_document};

const VALID_DOCUMENT: &str = include_str!("../examples/keeperwise/swaps.toml");

#[test]
fn every_example_is_valid() {
    for dir in ["examples/keeperwise", "examples/association"] {
        for entry in std::fs::read_dir(dir).expect("the examples are readable") {
            let path = entry.expect("an entry").path();
            let text = std::fs::read_to_string(&path).expect("a document");
            let document = parse_document(&text).expect("a valid document");
            assert_eq!(document.customers.len(), 8, "{}", path.display());
            let name = path.file_stem().and_then(|s| s.to_str()).expect("a name");
            assert_eq!(document.service.as_str(), name);
        }
    }
    for entry in std::fs::read_dir("examples/scenarios").expect("the scenarios") {
        Scenario::read(&entry.expect("an entry").path()).expect("a valid scenario");
    }
}

/// Each case replaces a text in a valid document and gives the field and a part of the error.
#[test]
fn an_invalid_document_is_rejected_with_the_field_in_the_error() {
    let cases = [
        ("once = true", "once = true\ntwice = true", "document", "unknown field `twice`"),
        ("service = \"swaps\"", "service = \"a b\"", "service", "letters, digits"),
        ("answer_ms = 5000", "answer_ms = 0", "answer_ms", "not from 1 to 300000"),
        ("\"n2\"", "\"n1\"", "zones", "is listed twice"),
        ("rate = 40.0", "rate = -1.0", "customers.bigcat-park.rate", "not from"),
        ("rate = 40.0", "rate = nan", "customers.bigcat-park.rate", "not from"),
        ("burst = 30", "burst = 0", "customers.bigcat-park.burst", "not from 1"),
        ("id = \"aviary\"", "id = \"bigcat-park\"", "customers", "is listed twice"),
        ("path = \"/swaps\"", "path = \"swaps\"", "routes.book", "must start with '/'"),
        ("once = true", "once = true\nidempotent = true", "routes.book", "not both"),
        ("once = true\nopen = true", "customers = [\"nobody\"]", "routes.book", "nobody is not in"),
        (
            "open = true",
            "open = true\ncustomers = [\"aviary\"]",
            "routes.offers",
            "must not list customers",
        ),
        ("cap = 0.1", "cap = 2.0", "shift.cap", "not from 0.001 to 1"),
        ("headroom = 0.2", "headroom = 0.95", "limits.headroom", "not from 0 to 0.9"),
        ("retries = 0.05", "retries = 1.5", "limits.retries", "not from 0 to 1"),
        ("mbit = 500.0", "mbit = 0.0", "links.mbit", "not from"),
    ];
    for (from, to, field, words) in cases {
        assert!(VALID_DOCUMENT.contains(from), "{from}");
        let text = VALID_DOCUMENT.replacen(from, to, 1);
        let problems = parse_document(&text).expect_err(to);
        let found = problems.iter().any(|p| p.field == field && p.message.contains(words));
        assert!(found, "{to}: {problems:?}");
    }
}

#[test]
fn routes_match_whole_segments() {
    let document = parse_document(VALID_DOCUMENT).expect("a valid document");
    let cases = [
        ("GET", "/offers", Some("offers")),
        ("get", "/offers/7?x=1", Some("offers")),
        ("GET", "/offers?x=1", Some("offers")),
        ("GET", "/offersx", None),
        ("POST", "/offers", None),
        ("POST", "/swaps/", Some("book")),
        ("POST", "/", None),
    ];
    for (method, path, name) in cases {
        let found = document.route(method, path).map(|r| r.name.as_str());
        assert_eq!(found, name, "{method} {path}");
    }
}

const VALID_SETTINGS: &str = r#"
vm = "n1-a"
region = "north"
zone = "n1"
[callers]
listen = "127.0.0.1:0"
plaintext = true
[operators]
listen = "127.0.0.1:0"
token_file = "token"
[peers]
listen = "127.0.0.1:0"
secret_file = "secret"
[store]
addr = "127.0.0.1:1"
"#;

#[test]
fn an_error_in_settings_names_the_file_and_the_field() {
    let dir = tempfile::TempDir::new().expect("a directory");
    let path = dir.path().join("daemon.toml");
    let read = |text: &str| {
        std::fs::write(&path, text).expect("write");
        Config::read(&path).map_err(|e| format!("{e:#}"))
    };
    assert!(read(VALID_SETTINGS).is_ok());
    let cases = [
        ("vm = \"n1-a\"", "", "missing field `vm`"),
        ("vm = \"n1-a\"", "vm = \"\"", "vm: is empty"),
        ("zone = \"n1\"", "zone = \"n1\"\nrack = 4", "unknown field `rack`"),
        ("addr = \"127.0.0.1:1\"", "addr = \"here\"", "invalid socket address"),
        ("plaintext = true", "", "set plaintext = true"),
        ("plaintext = true", "plaintext = true\nkey = \"k\"", "allows no certificate"),
        ("plaintext = true", "key = \"k\"", "must be set together"),
        ("plaintext = true", "plaintext = true\nttl_ms = 5", "callers.ttl_ms: 5 is not from 100"),
        (
            "plaintext = true",
            "plaintext = true\nfinal_age_ms = 1999",
            "callers.final_age_ms: 1999 is not from 2000",
        ),
    ];
    for (from, to, words) in cases {
        let error = read(&VALID_SETTINGS.replacen(from, to, 1)).expect_err(to);
        assert!(error.contains(words), "{to}: {error}");
        assert!(error.contains("daemon.toml"), "{error}");
    }
    let error =
        read(&format!("{VALID_SETTINGS}[log]\nlevel = \"loud\"\n")).expect_err("an invalid level");
    assert!(error.contains("log.level: \"loud\" is not error, warn"), "{error}");
    let config = read(VALID_SETTINGS).expect("valid settings");
    let error = config.check_files().expect_err("there is no secret file");
    assert!(format!("{error:#}").contains("peers.secret_file"), "{error:#}");
    assert!(Config::read(Path::new("nowhere.toml")).is_err());
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Light {
    Red,
    Green,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Event {
    Go,
    Stop,
}

#[test]
fn a_state_chart_is_parsed_and_validated() {
    let go = "[[transitions]]\nfrom = [\"red\"]\non = \"go\"\nto = \"green\"\n";
    let text = format!("initial = \"red\"\n{go}");
    let chart = StateChart::<Light, Event>::parse(&text).expect("a chart");
    assert_eq!(chart.initial(), Light::Red);
    assert_eq!(chart.next(Light::Red, Event::Go), Light::Green);
    assert_eq!(chart.next(Light::Green, Event::Go), Light::Green, "no transition, no change");
    assert_eq!(chart.next(Light::Green, Event::Stop), Light::Green);
    assert!(
        StateChart::<Light, Event>::parse(&format!("{text}{go}")).is_err(),
        "two for one event"
    );
    assert!(StateChart::<Light, Event>::parse("initial = \"blue\"\ntransitions = []").is_err());
}

#[test]
fn keys_are_random_and_stored_as_digests() {
    let (a, b) = (new_key(), new_key());
    assert_ne!(*a, *b);
    assert!(a.starts_with("ssk_") && a.len() >= 40);
    let digest = serde_json::to_string(&KeyDigest::of(&a)).expect("JSON");
    assert!(!digest.contains(a.as_str()));
    assert!(KeyDigest::of(&a).matches(&KeyDigest::of(&a)));
    assert!(!KeyDigest::of(&a).matches(&KeyDigest::of(&b)));
}
