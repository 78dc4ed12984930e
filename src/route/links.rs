//! Bandwidth between regions, split in advance over the entry VMs.

use std::time::Instant;

/// Time whose bytes may be sent at once, in seconds.
const BURST_S: f64 = 0.25;

/// This VM's part of one link in one direction. The size of an answer is known only afterwards, so
/// the budget may go into debt, and takes nothing more until the debt is paid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkBudget {
    /// Bytes a second.
    rate: f64,
    /// Bytes at hand; negative in debt.
    bytes: f64,
    at: Instant,
}

impl LinkBudget {
    /// A full budget.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self { rate, bytes: rate * BURST_S, at: now }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.bytes = self.bytes.min(rate * BURST_S);
    }

    /// True if the link may be used.
    pub fn is_open(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.rate > 0.0 && self.bytes > 0.0
    }

    /// Counts bytes that were sent.
    pub fn debit(&mut self, now: Instant, bytes: u64) {
        self.refill(now);
        self.bytes -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.bytes = (self.bytes + self.rate * elapsed).min(self.rate * BURST_S);
        self.at = self.at.max(now);
    }
}
