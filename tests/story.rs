//! A request's story from the logs of many entry VMs.

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

fn story(id: &str) -> Timeline {
    let mut story = Timeline::default();
    story.read(id, "n1", NORTH.as_bytes()).expect("a log");
    story.read(id, "s1", SOUTH.as_bytes()).expect("a log");
    story
}

fn told(story: &Timeline) -> Vec<String> {
    let short = |e: &LogEntry| format!("{} {} {}", &e.time[17..23], e.source, e.kind);
    story.entries.iter().map(short).collect()
}

#[test]
fn lines_of_all_logs_come_in_the_order_of_time_with_what_was_known() {
    let story = story("abc");
    let expected = [
        "00.000 n1 start",
        "02.000 n1 believes",
        "02.500 n1 lost",
        "02.800 s1 request",
        "03.000 n1 failure",
        "05.000 s1 death",
    ];
    // An hour before, the start of the other VM says nothing.
    assert_eq!(told(&story), expected);
    assert_eq!(story.entries[1].fields["version"], 4, "what was known, not what came later");
    assert_eq!(story.unread, 1);
}

#[test]
fn lines_that_were_left_out_are_counted() {
    let story = story("nobody");
    assert!(story.is_empty());
    assert_eq!(story.omitted["s1"], 7);
}

#[test]
fn text_before_a_line_names_its_vm() {
    let log = "  1.25 front-a-1 {\"time\":\"2026-12-04T10:00:00.000Z\",\"kind\":\"failure\",\"id\":\"x\"}";
    let mut story = Timeline::default();
    story.read("x", "all", log.as_bytes()).expect("a log");
    assert_eq!(told(&story), ["00.000 front-a-1 failure"]);
}

#[test]
fn a_dependency_that_came_back_is_not_told_as_lost() {
    let log = r#"
{"time":"2026-12-04T10:00:00.000Z","kind":"lost","dependency":"store Table"}
{"time":"2026-12-04T10:00:01.000Z","kind":"regained","dependency":"store Table"}
{"time":"2026-12-04T10:00:02.000Z","kind":"failure","id":"x"}
"#;
    let mut story = Timeline::default();
    story.read("x", "a", log.as_bytes()).expect("a log");
    assert_eq!(told(&story), ["01.000 a regained", "02.000 a failure"]);
}
