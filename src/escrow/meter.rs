//! A smoothed rate of events.

use std::time::Instant;

/// Time constant of the smoothing, in seconds.
const SMOOTHING_S: f64 = 1.0;

/// Events a second, smoothed exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    /// Events a second at `at`.
    rate: f64,
    at: Instant,
}

impl Meter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rate: 0.0, at: now }
    }

    pub(crate) fn count(&mut self, now: Instant, events: f64) {
        self.decay(now);
        self.rate += events / SMOOTHING_S;
    }

    pub(crate) fn rate(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.rate
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate *= (-elapsed / SMOOTHING_S).exp();
        self.at = self.at.max(now);
    }
}
