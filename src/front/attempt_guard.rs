//! Counts a request as in flight at its target while an attempt lasts.

use std::time::Duration;

use crate::clock;
use crate::steer::Pick;

use super::Front;

/// Counts a request in flight at its target. Dropped early, it records that the caller has left.
pub(super) struct AttemptGuard<'a> {
    front: &'a Front,
    pick: &'a Pick,
    start: Duration,
    ended: bool,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn new(front: &'a Front, pick: &'a Pick) -> Self {
        front.state.lock().balancer.record_sent(&pick.id);
        Self { front, pick, start: clock::now(), ended: false }
    }

    /// Records the end of the attempt, and its latency if the target `responded`.
    pub(super) fn end(&mut self, responded: bool) {
        self.ended = true;
        if responded {
            let now = clock::now();
            let took = now.saturating_sub(self.start);
            self.front.state.lock().balancer.record_latency(now, self.pick, took);
        }
    }

    /// Records that the request was aborted: at its deadline if `timed_out`, else by its caller.
    pub(super) fn abort(&mut self, timed_out: bool) {
        self.ended = true;
        self.front.metrics.record_attempt(self.pick.zone.as_str(), "cut");
        let now = clock::now();
        let waited = now.saturating_sub(self.start);
        self.front.state.lock().balancer.record_unanswered(now, self.pick, waited, timed_out);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.abort(false);
        }
        self.front.state.lock().balancer.record_end(&self.pick.id);
    }
}
