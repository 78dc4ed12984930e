//! Decides when a signal may have been sent that the event loop has handled late.
//!
//! The platform counts the grace period from the sending of the signal. A process that gets too little
//! processor time, or was paused, handles it later, and can't ask when it was sent. But a signal that
//! had been pending while the loop ran would have been handled then.

use std::time::Duration;

/// The moments between which a signal was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignalWindow {
    pub(crate) earliest: Duration,
    /// When it was handled. Never before `earliest`.
    pub(crate) latest: Duration,
}

impl SignalWindow {
    /// A signal that was handled in the moment in which it was sent.
    pub fn exact(at: Duration) -> Self {
        Self { earliest: at, latest: at }
    }
}

/// When the event loop was last known to handle what is pending.
#[derive(Clone, Copy, Debug)]
pub struct LoopTicks {
    last: Duration,
}

impl LoopTicks {
    /// An event loop that runs since `start`.
    pub fn new(start: Duration) -> Self {
        Self { last: start }
    }

    /// Records that the loop has handled all that was pending at `at`.
    pub fn record(&mut self, at: Duration) {
        self.last = at;
    }

    /// When a signal was sent that is handled at `now`.
    pub fn signal_window(&self, now: Duration) -> SignalWindow {
        SignalWindow { earliest: self.last.min(now), latest: now }
    }
}
