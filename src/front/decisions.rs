//! The decision log: one JSON line per decision on standard output, limited in rate. Logging never
//! blocks the caller.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::clock;
use crate::line_queue::LineQueue;

/// Longest wait for the lines of a process that exits.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Window over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Queues log lines for the writer thread.
pub(crate) struct DecisionLogger {
    queue: LineQueue,
    budgets: Mutex<HashMap<&'static str, Budget>>,
    rate: u32,
}

/// Lines of one kind in the present window.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    start: Duration,
    used: u32,
    /// Lines dropped since the last one written.
    left_out: u64,
}

/// A log line as it is written.
#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    time: String,
    kind: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: &'a T,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl DecisionLogger {
    /// Starts the writer thread; at most `rate` lines a second of one kind are written.
    pub(crate) fn start(rate: u32) -> Self {
        let queue = LineQueue::start(std::io::stdout(), dropped_note);
        Self { queue, budgets: Mutex::default(), rate }
    }

    /// Logs a line, unless its kind has reached the rate limit.
    pub(crate) fn log_limited(&self, kind: &'static str, fields: &impl Serialize) {
        if let Some(left_out) = self.admit(kind) {
            self.write(kind, left_out, fields);
        }
    }

    /// Logs a line of a rare kind without a rate limit.
    pub(crate) fn log(&self, kind: &'static str, fields: &impl Serialize) {
        self.write(kind, 0, fields);
    }

    /// Counts a line. Returns how many were dropped before it, or none if it must be dropped, too.
    fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = clock::now();
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let budget = budgets.entry(kind).or_default();
        if now >= budget.start + WINDOW {
            (budget.start, budget.used) = (now, 0);
        }
        if budget.used >= self.rate {
            budget.left_out += 1;
            return None;
        }
        budget.used += 1;
        Some(std::mem::take(&mut budget.left_out))
    }

    /// Waits until all lines are written, for a short time at most.
    pub(crate) fn flush(&self) {
        self.queue.flush(FLUSH_PERIOD);
    }

    fn write(&self, kind: &str, left_out: u64, fields: &impl Serialize) {
        let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        let line = Line { time, kind, left_out, fields };
        match serde_json::to_string(&line) {
            Ok(line) => self.queue.push(line),
            Err(e) => log::warn!("log: serializing a line of kind {kind} failed: {e}."),
        }
    }
}

fn dropped_note(lines: u64) -> String {
    format!(r#"{{"kind":"dropped","lines":{lines}}}"#)
}
