//! The structured log: one JSON line for each decision, bounded in volume and never waited for.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::clock;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 512;
/// Time over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Writes decisions to standard output.
pub(crate) struct DecisionLogger {
    queue: SyncSender<String>,
    budgets: Mutex<HashMap<&'static str, Budget>>,
    rate: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    start: Duration,
    used: u32,
    left_out: u64,
}

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
    /// Starts the writer; at most `lines` a second of one kind are written.
    pub(crate) fn start(rate: u32) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&lines));
        Self { queue, budgets: Mutex::default(), rate }
    }

    /// Writes a line that is about one of many, unless its kind's budget is used up.
    pub(crate) fn log_limited(&self, kind: &'static str, fields: &impl Serialize) {
        if let Some(left_out) = self.admit(kind) {
            self.write(kind, left_out, fields);
        }
    }

    /// Writes a line that is rare, whatever its kind's budget.
    pub(crate) fn log(&self, kind: &'static str, fields: &impl Serialize) {
        self.write(kind, 0, fields);
    }

    /// The number of lines left out before this one, or nothing if this one is left out too.
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

    fn write(&self, kind: &str, left_out: u64, fields: &impl Serialize) {
        let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        let line = Line { time, kind, left_out, fields };
        match serde_json::to_string(&line) {
            // A full queue loses the line: a log that is not read must not hold up requests.
            Ok(line) => drop(self.queue.try_send(line)),
            Err(e) => log::warn!("log: a line of kind {kind} can't be written: {e}."),
        }
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Nobody reads the log if this fails.
        let _ = writeln!(out, "{line}");
    }
}
