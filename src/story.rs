//! What the decision logs of many entry VMs say of one request.
//!
//! Logs are read line by line, in the order in which each was written, and only what belongs to
//! the request is kept: its own lines, and what its entry VM last learnt before them.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use macro_rules_attribute::apply;
use serde_json::{Map, Value};

use crate::common::record;

/// Kinds of lines that say what an entry VM has learnt, not what it did with one request.
const STATE_KINDS: [&str; 6] = ["start", "stop", "reload", "believes", "lost", "regained"];
/// Fields that tell states of one kind apart.
const STATE_SUBJECTS: [&str; 2] = ["what", "dependency"];
/// Age from which on a state says nothing of a request.
const STATE_LIFE: Duration = Duration::from_secs(60);

/// A line of a log.
#[apply(record!)]
pub struct Entry {
    /// When it was written, as RFC 3339 in UTC.
    pub time: String,
    /// The log that it stood in.
    pub source: String,
    /// What it is about.
    pub kind: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

/// A request's story.
#[apply(record!)]
#[derive(Default)]
pub struct Story {
    /// Its lines in the order of time.
    pub entries: Vec<Entry>,
    /// Lines that the entry VMs did not write for want of room, by source; the request's may be
    /// among them.
    pub omitted: BTreeMap<String, u64>,
    /// Lines that are not of a decision log.
    pub unread: u64,
}

impl Story {
    /// Reads one log, in which `id` is looked for. `source` names the log; a line may have text
    /// before it that names the entry VM instead.
    ///
    /// # Errors
    /// Fails if the log can't be read.
    pub fn read(&mut self, id: &str, source: &str, log: impl BufRead) -> Result<()> {
        let mut states: HashMap<(String, String, String), Entry> = HashMap::new();
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
                states.insert(subject_of(&entry), entry);
            } else if entry.fields.get("id").and_then(Value::as_str) == Some(id) {
                let recent = |state: &&Entry| {
                    state.source == entry.source && is_recent(&state.time, &entry.time)
                };
                let known: Vec<Entry> = states.values().filter(recent).cloned().collect();
                self.entries.extend(known);
                self.entries.push(entry);
            }
        }
        self.entries
            .sort_by(|a, b| (&a.time, &a.source, &a.kind).cmp(&(&b.time, &b.source, &b.kind)));
        self.entries.dedup();
        Ok(())
    }

    /// True if no line is about the request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// A line of a decision log: a JSON object with a time and a kind, perhaps with text before it.
fn parse(source: &str, line: &str) -> Option<Entry> {
    let (before, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let Value::String(time) = fields.remove("time")? else { return None };
    let Value::String(kind) = fields.remove("kind")? else { return None };
    let named = before.split_whitespace().last().unwrap_or(source);
    Some(Entry { time, source: named.to_owned(), kind, fields })
}

fn subject_of(entry: &Entry) -> (String, String, String) {
    let subject = STATE_SUBJECTS.iter().find_map(|name| entry.fields.get(*name)?.as_str());
    // What was regained is no longer lost.
    let kind = if entry.kind == "regained" { "lost" } else { &entry.kind };
    (entry.source.clone(), kind.to_owned(), subject.unwrap_or_default().to_owned())
}

fn is_recent(state: &str, now: &str) -> bool {
    let at = |time: &str| humantime::parse_rfc3339(time).unwrap_or(SystemTime::UNIX_EPOCH);
    at(now).duration_since(at(state)).is_ok_and(|age| age <= STATE_LIFE)
}
