//! Estimate of the requests that other entry VMs have at a target, from observations that are
//! already old.
//!
//! Requests last about a run time, so an observation loses its meaning at that rate. What it no
//! longer says is filled in with the usual number of requests.

use std::time::Duration;

/// Time constant of the moving average of the observed requests.
const USUAL_AVERAGING: Duration = Duration::from_millis(2_000);
/// Largest weight of one observation in the average, so that one cannot replace it.
const USUAL_GAIN_MAX: f64 = 0.2;
/// Time constant with which the average fades without an observation, so that a target that is not
/// chosen any more is tried again.
const USUAL_FADING: Duration = Duration::from_millis(4_000);
/// Shortest time constant with which an observation loses its meaning, in seconds; less than the
/// interval at which observations are passed on would make them useless.
const DECAY_MIN: f64 = 0.1;

/// Requests of other entry VMs at a target.
#[derive(Clone, Debug, Default)]
pub(super) struct OthersLoad {
    /// Requests by the newest observation.
    seen: f64,
    /// When the newest observation was made; none before the first.
    seen_at: Option<Duration>,
    /// Moving average of the observed requests.
    usual: f64,
}

impl OthersLoad {
    /// Takes an observation made at `at`; an older one than the newest is ignored.
    pub(super) fn observe(&mut self, at: Duration, requests: f64) {
        if !self.is_newer(at) {
            return;
        }
        let interval = self.seen_at.map_or(Duration::MAX, |last| at.saturating_sub(last));
        let gain = 1.0 - fading(interval, USUAL_AVERAGING.as_secs_f64());
        self.usual += (requests - self.usual) * gain.min(USUAL_GAIN_MAX);
        self.seen = requests;
        self.seen_at = Some(at);
    }

    /// True if an observation made at `at` is at least as new as the newest.
    pub(super) fn is_newer(&self, at: Duration) -> bool {
        self.seen_at.is_none_or(|last| last <= at)
    }

    /// Age of the newest observation.
    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        self.seen_at.map(|at| now.saturating_sub(at))
    }

    /// Estimated requests now, at a target that runs a request for `run_time` seconds.
    pub(super) fn requests(&self, now: Duration, run_time: f64) -> f64 {
        let remaining = self.remaining(now, run_time);
        self.seen * remaining + self.usual_now(now) * (1.0 - remaining)
    }

    /// Standard deviation of [`Self::requests`]: ends and arrivals since the observation are counts
    /// of independent events, and vary by the root of their expected number.
    pub(super) fn deviation(&self, now: Duration, run_time: f64) -> f64 {
        let replaced = 1.0 - self.remaining(now, run_time);
        ((self.seen + self.usual_now(now)) * replaced).sqrt()
    }

    /// Fraction of the observed requests that probably have not ended.
    fn remaining(&self, now: Duration, run_time: f64) -> f64 {
        self.age(now).map_or(0.0, |age| fading(age, run_time.max(DECAY_MIN)))
    }

    fn usual_now(&self, now: Duration) -> f64 {
        self.age(now).map_or(0.0, |age| self.usual * fading(age, USUAL_FADING.as_secs_f64()))
    }
}

/// What remains of 1 after `age`, at an exponential decay with a time constant in seconds.
pub(super) fn fading(age: Duration, time_constant: f64) -> f64 {
    (-age.as_secs_f64() / time_constant).exp()
}
