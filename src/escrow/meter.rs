//! A smoothed rate of events, for the demand at a member and in a zone.

use std::time::Instant;

/// Time constant of the smoothing, in seconds.
const SMOOTHING_S: f64 = 1.0;

/// An exponentially decaying average of events per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    /// Events per second at `updated`.
    rate: f64,
    updated: Instant,
}

impl Meter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rate: 0.0, updated: now }
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
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate *= (-elapsed / SMOOTHING_S).exp();
        self.updated = self.updated.max(now);
    }
}
