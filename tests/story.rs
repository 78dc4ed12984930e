//! Timelines of requests, collected from the decision logs of several entry VMs.

use shallotstall::timeline::{LogEntry, Timeline};

const NORTH: &str = r#"
{"time":"2026-12-04T10:00:00.000Z","kind":"start","vm":"n1","zone":"north"}
{"time":"2026-12-04T10:00:01.000Z","kind":"believes","what":"configuration","version":3}
{"time":"2026-12-04T10:00:02.000Z","kind":"believes","what":"configuration","version":4}
{"time":"2026-12-04T10:00:02.500Z","kind":"lost","dependency":"store Table"}
{"time":"2026-12-04T10:00:03.000Z","kind":"failure","id":"abc","status":503,"reason":"keys-old"}
{"time":"2026-12-04T10:00:03.100Z","kind":"failure","id":"other","status":503}
{"time":"2026-12-04T10:00:04.000Z","kind":"believes","what":"configuration","version":5}
news: this line is for people.
"#;

const SOUTH: &str = r#"
{"time":"2026-12-04T09:00:00.000Z","kind":"start","vm":"s1","zone":"south"}
{"time":"2026-12-04T10:00:02.800Z","kind":"request","left_out":7,"id":"abc","status":200}
{"time":"2026-12-04T10:00:05.000Z","kind":"death","id":"abc","target":"t-1"}
"#;

fn timeline_of(id: &str) -> Timeline {
    let mut timeline = Timeline::default();
    timeline.read(id, "n1", NORTH.as_bytes()).expect("the log is readable");
    timeline.read(id, "s1", SOUTH.as_bytes()).expect("the log is readable");
    timeline
}

fn summaries(timeline: &Timeline) -> Vec<String> {
    let short = |e: &LogEntry| format!("{} {} {}", &e.time[17..23], e.source, e.kind);
    timeline.entries.iter().map(short).collect()
}

#[test]
fn lines_of_all_logs_are_in_the_order_of_time_with_the_latest_states() {
    let timeline = timeline_of("abc");
    let expected = [
        "00.000 n1 start",
        "02.000 n1 believes",
        "02.500 n1 lost",
        "02.800 s1 request",
        "03.000 n1 failure",
        "05.000 s1 death",
    ];
    // The start of the other VM is an hour old, so it is not listed.
    assert_eq!(summaries(&timeline), expected);
    assert_eq!(
        timeline.entries[1].fields["version"], 4,
        "the version before the failure, not the later one"
    );
    assert_eq!(timeline.unread, 1);
}

#[test]
fn dropped_lines_are_counted() {
    let timeline = timeline_of("nobody");
    assert!(timeline.is_empty());
    assert_eq!(timeline.omitted["s1"], 7);
}

#[test]
fn text_before_the_json_names_the_source() {
    let log = "  1.25 front-a-1 {\"time\":\"2026-12-04T10:00:00.000Z\",\"kind\":\"failure\",\"id\":\"x\"}";
    let mut timeline = Timeline::default();
    timeline.read("x", "all", log.as_bytes()).expect("the log is readable");
    assert_eq!(summaries(&timeline), ["00.000 front-a-1 failure"]);
}

#[test]
fn a_regained_dependency_is_not_listed_as_lost() {
    let log = r#"
{"time":"2026-12-04T10:00:00.000Z","kind":"lost","dependency":"store Table"}
{"time":"2026-12-04T10:00:01.000Z","kind":"regained","dependency":"store Table"}
{"time":"2026-12-04T10:00:02.000Z","kind":"failure","id":"x"}
"#;
    let mut timeline = Timeline::default();
    timeline.read("x", "a", log.as_bytes()).expect("the log is readable");
    assert_eq!(summaries(&timeline), ["01.000 a regained", "02.000 a failure"]);
}
