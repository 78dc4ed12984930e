//! Collects the log lines about one request from the decision logs of many entry VMs.
//!
//! Logs are read line by line. Only lines of the request are kept, together with the latest state
//! that the entry VM had logged before each of them, such as the configuration version in use.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use macro_rules_attribute::apply;
use serde_json::{Map, Value};

use crate::common::record;

/// Kinds of lines that log the state of an entry VM rather than a request.
const STATE_KINDS: [&str; 6] = ["start", "stop", "reload", "believes", "lost", "regained"];
/// Fields that name the subject of a state. A state replaces an earlier one of the same kind and
/// subject.
const SUBJECT_FIELDS: [&str; 2] = ["what", "dependency"];
/// Age above which a state is not listed with a request.
const STATE_MAX_AGE: Duration = Duration::from_secs(60);

/// One line of a decision log.
#[apply(record!)]
pub struct LogEntry {
    /// When it was written, as RFC 3339 in UTC.
    pub time: String,
    /// The entry VM that wrote it, or the name of the log.
    pub source: String,
    /// The kind of the line, such as `request` or `lost`.
    pub kind: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

/// The log lines about one request.
#[apply(record!)]
#[derive(Default)]
pub struct Timeline {
    /// The lines in the order of time.
    pub entries: Vec<LogEntry>,
    /// Number of lines that were dropped to stay within the limit of lines a second, by source.
    /// Lines about the request may be among them.
    pub omitted: BTreeMap<String, u64>,
    /// Number of lines that could not be parsed as lines of a decision log.
    pub unread: u64,
}

impl Timeline {
    /// Adds the lines about the request `id` from one log. `source` names the log; if a line has
    /// text before its JSON, the last word of that text is its source instead.
    ///
    /// # Errors
    /// Fails if the log can't be read.
    pub fn read(&mut self, id: &str, source: &str, log: impl BufRead) -> Result<()> {
        let mut states: HashMap<(String, String, String), LogEntry> = HashMap::new();
        for line in log.lines() {
            let line = line.with_context(|| format!("read {source}"))?;
            let Some(entry) = parse(source, &line) else {
                self.unread += u64::from(!line.trim().is_empty());
                continue;
            };
            if let Some(count) = entry.fields.get("left_out").and_then(Value::as_u64) {
                *self.omitted.entry(entry.source.clone()).or_default() += count;
            }
            if STATE_KINDS.contains(&entry.kind.as_str()) {
                states.insert(state_key(&entry), entry);
            } else if entry.fields.get("id").and_then(Value::as_str) == Some(id) {
                let recent = |state: &&LogEntry| {
                    state.source == entry.source && is_recent(&state.time, &entry.time)
                };
                let context: Vec<LogEntry> = states.values().filter(recent).cloned().collect();
                self.entries.extend(context);
                self.entries.push(entry);
            }
        }
        self.entries
            .sort_by(|a, b| (&a.time, &a.source, &a.kind).cmp(&(&b.time, &b.source, &b.kind)));
        self.entries.dedup();
        Ok(())
    }

    /// Returns true if no line is about the request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Parses a line of a decision log: a JSON object with a time and a kind, perhaps after other text.
fn parse(source: &str, line: &str) -> Option<LogEntry> {
    let (before, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let Value::String(time) = fields.remove("time")? else { return None };
    let Value::String(kind) = fields.remove("kind")? else { return None };
    let source = before.split_whitespace().last().unwrap_or(source);
    Some(LogEntry { time, source: source.to_owned(), kind, fields })
}

fn state_key(entry: &LogEntry) -> (String, String, String) {
    let subject = SUBJECT_FIELDS.iter().find_map(|name| entry.fields.get(*name)?.as_str());
    // A regained dependency replaces the state of its loss.
    let kind = if entry.kind == "regained" { "lost" } else { &entry.kind };
    (entry.source.clone(), kind.to_owned(), subject.unwrap_or_default().to_owned())
}

fn is_recent(state: &str, now: &str) -> bool {
    let at = |time: &str| humantime::parse_rfc3339(time).unwrap_or(SystemTime::UNIX_EPOCH);
    at(now).duration_since(at(state)).is_ok_and(|age| age <= STATE_MAX_AGE)
}
