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

/// The times at which a periodic timer of the event loop fired last.
#[derive(Clone, Copy, Debug)]
pub struct LoopTicks {
    last: Duration,
    before: Duration,
}

impl LoopTicks {
    /// An event loop that runs since `start`.
    pub fn new(start: Duration) -> Self {
        Self { last: start, before: start }
    }

    /// Records that the timer fired at `now`.
    pub fn record(&mut self, now: Duration) {
        self.before = self.last;
        self.last = now;
    }

    /// When a signal was sent that is handled at `now`. The last tick doesn't count: after a pause, the
    /// timer and the signal are found in one pass of the loop, and the timer may be handled first.
    pub fn signal_window(&self, now: Duration) -> SignalWindow {
        SignalWindow { earliest: self.before.min(now), latest: now }
    }
}
