//! Bandwidth budgets of the links between regions.

use std::time::Instant;

/// Burst allowance, in seconds at the full rate.
const BURST_S: f64 = 0.25;

/// This VM's share, assigned in advance, of the bandwidth of one link in one direction.
///
/// The size of a response is known only after the request was accepted. So the budget may become
/// negative, and no request is accepted until it is positive again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkBudget {
    /// Bytes per second.
    rate: f64,
    /// Bytes that may be sent now; negative if more were sent than allowed.
    balance: f64,
    refilled_at: Instant,
}

impl LinkBudget {
    /// A full budget for `rate` bytes per second.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self { rate, balance: rate * BURST_S, refilled_at: now }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.balance = self.balance.min(rate * BURST_S);
    }

    /// True if one more request may use the link.
    pub fn is_open(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.rate > 0.0 && self.balance > 0.0
    }

    /// Subtracts bytes that were sent.
    pub fn debit(&mut self, now: Instant, bytes: u64) {
        self.refill(now);
        self.balance -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + self.rate * elapsed).min(self.rate * BURST_S);
        self.refilled_at = self.refilled_at.max(now);
    }
}
