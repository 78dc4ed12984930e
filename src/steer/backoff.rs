//! One entry VM's backoff from a target that fails requests although its health checks succeed.
//!
//! Load patterns: a target sheds all or most requests for some seconds with a short queue, which
//! costs each caller a round trip and the fleet a retry; or it answers with bytes that are no
//! response, which costs each caller its request.

use std::time::Duration;

/// Lost responses in a row after which a target is left alone; a single one may be an accident.
const LOSSES_MAX: u32 = 2;
/// First backoff.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// Whether a target is left alone after it has failed requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureBackoff {
    /// Lost responses since the target last answered a request.
    losses: u32,
    /// The last backoff; zero if the target answered the last request.
    backoff: Duration,
    /// Until then, the target gets no requests while others can take them.
    until: Duration,
    /// When the target last answered a request of this VM.
    answered_at: Duration,
}

impl FailureBackoff {
    /// True if the target is left alone now.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Records that the target rejected a request without running it.
    pub(crate) fn record_rejection(&mut self, now: Duration) {
        self.start(now);
    }

    /// Records that the target rejected a request of another VM at `at`: the first backoff counts from
    /// then. It is not doubled, since the rejections that all VMs see of one full queue would then
    /// take the target from all of them for long. Ignored if the target has answered this VM since.
    pub(crate) fn record_shared_rejection(&mut self, at: Duration) {
        if self.answered_at < at {
            self.until = self.until.max(at + BACKOFF_MIN);
        }
    }

    /// Records that the target did not send a valid response.
    pub(crate) fn record_loss(&mut self, now: Duration) {
        self.losses += 1;
        if self.losses >= LOSSES_MAX {
            self.start(now);
        }
    }

    /// Each failure after a backoff doubles it; those of requests that were sent before it do not.
    fn start(&mut self, now: Duration) {
        if self.is_active(now) {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.until = now + self.backoff;
    }

    /// Records that the target answered a request. A backoff that is active stays, since the request
    /// was sent before it.
    pub(crate) fn record_answer(&mut self, now: Duration) {
        self.losses = 0;
        self.answered_at = now;
        if !self.is_active(now) {
            self.backoff = Duration::ZERO;
        }
    }
}
