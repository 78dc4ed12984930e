//! A queue of log lines with a thread that writes them: who logs never waits for who reads the log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that may wait to be written; when the queue is full, lines are dropped.
const QUEUE_LINES: usize = 512;
/// Interval of the checks whether the queue is empty.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Queues lines for a writer thread.
#[derive(Clone, Debug)]
pub(crate) struct LineQueue {
    queue: SyncSender<String>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Lines in the queue or being written.
    waiting: AtomicU64,
    /// Lines dropped since the last note on them.
    dropped: AtomicU64,
}

impl LineQueue {
    /// Starts the writer thread. `dropped_note` is the line that tells how many were dropped.
    pub(crate) fn start(
        out: impl Write + Send + 'static,
        dropped_note: impl Fn(u64) -> String + Send + 'static,
    ) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let counts = Arc::new(Counts::default());
        let written = counts.clone();
        std::thread::spawn(move || write_lines(out, &lines, &written, dropped_note));
        Self { queue, counts }
    }

    /// Queues a line, or drops it if the queue is full.
    pub(crate) fn push(&self, line: String) {
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines are written, for `patience` at most.
    pub(crate) fn flush(&self, patience: Duration) {
        let until = Instant::now() + patience;
        while self.counts.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

fn write_lines(
    mut out: impl Write,
    lines: &Receiver<String>,
    counts: &Counts,
    dropped_note: impl Fn(u64) -> String,
) {
    while let Ok(line) = lines.recv() {
        // A write fails only if nobody reads the log any more.
        let _ = writeln!(out, "{line}");
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "{}", dropped_note(dropped));
        }
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
