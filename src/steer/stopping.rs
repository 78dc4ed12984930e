//! Decides what a stopping entry VM still accepts.
//!
//! Load pattern: callers go on using earlier lookup responses, and open connections, after the VM has
//! been told to stop. A request whose timeout ends after the process exits may be cut while it runs
//! at its target, so late in the stop such requests are rejected at once: they have not run, and
//! another VM can take them.

use std::time::Duration;

use super::SignalWindow;

/// Time for which a stopping VM accepts connections, until lookup responses that name it have
/// expired.
const ACCEPT_PERIOD: Duration = Duration::from_millis(3_200);
/// Time for which requests are accepted whatever their timeout: most requests finish long before.
const ANY_TIMEOUT_PERIOD: Duration = Duration::from_millis(2_400);
/// Upper bound of [`ANY_TIMEOUT_PERIOD`], as a fraction of the grace period.
const ANY_TIMEOUT_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which all new requests are rejected.
const REJECT_FRACTION: f64 = 0.7;
/// Fraction of the grace period after which the process exits even with requests in flight.
const EXIT_FRACTION: f64 = 0.95;
/// Fraction of the grace period after which a request may be cut while its target is at work, if it
/// was sent early in the stop.
const MAY_CUT_FRACTION: f64 = 5.0 / 6.0;
/// Time from a request's timeout to its response having been written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The schedule of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    signal: SignalWindow,
    grace: Duration,
}

impl StopSchedule {
    /// A stop that a signal begins, and that ends within `grace` of its sending.
    pub fn new(signal: SignalWindow, grace: Duration) -> Self {
        Self { signal, grace }
    }

    /// When the VM stops accepting connections.
    pub fn close_at(&self) -> Duration {
        let expired = self.signal.latest + ACCEPT_PERIOD;
        expired.min(self.after(REJECT_FRACTION))
    }

    /// When the process exits even with requests in flight.
    pub fn exit_at(&self) -> Duration {
        self.after(EXIT_FRACTION)
    }

    /// True if a request that times out at `deadline` may be sent to a target now.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        match self.finishes(deadline) {
            true => now < self.after(REJECT_FRACTION),
            false => self.may_cut() && now < self.any_timeout_until(),
        }
    }

    /// True if a request that times out at `deadline` is sure to end before the process exits.
    fn finishes(&self, deadline: Duration) -> bool {
        deadline.saturating_add(RESPONSE_MARGIN) <= self.exit_at()
    }

    /// True if the process exits so late that the platform lets it cut requests that it accepted early
    /// in the stop, whenever the signal was sent.
    fn may_cut(&self) -> bool {
        self.signal.latest + self.grace.mul_f64(MAY_CUT_FRACTION) <= self.exit_at()
    }

    fn any_timeout_until(&self) -> Duration {
        let period = ANY_TIMEOUT_PERIOD.min(self.grace.mul_f64(ANY_TIMEOUT_FRACTION));
        self.signal.earliest + period
    }

    /// The moment after which a fraction of the grace period may be over.
    fn after(&self, fraction: f64) -> Duration {
        self.signal.earliest + self.grace.mul_f64(fraction)
    }
}
