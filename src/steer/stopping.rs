//! The schedule of a graceful stop: everything that a stopping VM decides by time.
//!
//! Load pattern: callers go on using earlier lookup responses, and open connections, after the VM has
//! been told to stop. A request whose timeout ends after the process exits may be cut while it runs
//! at its target, so such requests are rejected at once: they have not run, and another VM can take
//! them. Only early in a stop that the platform bounds, requests are accepted whatever their timeout.

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
/// Fraction of the grace period after which every request has a response, which is then written.
const RESPOND_FRACTION: f64 = 0.93;
/// Fraction of the grace period after which the process exits even with requests in flight.
const EXIT_FRACTION: f64 = 0.98;
/// Fraction of the grace period after which a request may be cut while its target is at work, if it
/// was sent early in the stop.
const MAY_CUT_FRACTION: f64 = 5.0 / 6.0;
/// Time from a request's timeout to its response having been written, where no grace period is given.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Time in which a response that its target has begun to send is here, also from another region.
const TRANSFER_PERIOD: Duration = Duration::from_millis(200);

/// The schedule of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From then on, lookups and readiness don't name the VM, and it holds no leases.
    start: Duration,
    /// Until then, requests are accepted whatever their timeout.
    any_timeout_until: Duration,
    /// Until then, connections are accepted.
    close_at: Duration,
    /// Until then, requests are accepted that finish before the exit.
    reject_at: Duration,
    /// From then on, a request gets an error if a response waits behind it. Never after `respond_by`.
    unblock_at: Duration,
    /// Then all requests without a response get an error. Never after `exit_at`.
    respond_by: Duration,
    /// Never before one of the others.
    exit_at: Duration,
}

impl StopSchedule {
    /// A stop that a signal begins, and that ends within `grace` of its sending; the platform then
    /// kills the process.
    pub fn within_grace(signal: SignalWindow, grace: Duration) -> Self {
        let after = |fraction| signal.earliest + grace.mul_f64(fraction);
        let exit_at = after(EXIT_FRACTION);
        let respond_by = after(RESPOND_FRACTION);
        // The platform lets the process cut early requests only late in the grace period, whenever the
        // signal was sent.
        let may_cut_at = signal.latest + grace.mul_f64(MAY_CUT_FRACTION);
        let may_cut = may_cut_at <= respond_by;
        let any_timeout = ANY_TIMEOUT_PERIOD.min(grace.mul_f64(ANY_TIMEOUT_FRACTION));
        let reject_at = after(REJECT_FRACTION);
        Self {
            start: signal.earliest,
            any_timeout_until: signal.earliest + if may_cut { any_timeout } else { Duration::ZERO },
            close_at: (signal.latest + ACCEPT_PERIOD).min(reject_at),
            reject_at,
            unblock_at: (may_cut_at + TRANSFER_PERIOD).min(respond_by),
            respond_by,
            exit_at,
        }
    }

    /// A stop that begins at `start`, accepts connections for the time of `notice`, and then waits for
    /// requests in flight for the time of `drain` at most.
    pub fn with_notice(start: Duration, notice: Duration, drain: Duration) -> Self {
        let close_at = start + notice;
        let exit_at = close_at + drain;
        let respond_by = exit_at.saturating_sub(RESPONSE_MARGIN);
        Self {
            start,
            any_timeout_until: start,
            close_at,
            reject_at: exit_at,
            unblock_at: respond_by,
            respond_by,
            exit_at,
        }
    }

    /// True if lookups may name the VM to callers, and the readiness check passes.
    pub fn names_vm(&self, now: Duration) -> bool {
        now < self.start
    }

    /// True if the VM keeps leases and loans; from then on they are handed back.
    pub fn holds_leases(&self, now: Duration) -> bool {
        now < self.start
    }

    /// When the VM stops accepting connections.
    pub fn close_at(&self) -> Duration {
        self.close_at
    }

    /// When the process exits even with requests in flight.
    pub fn exit_at(&self) -> Duration {
        self.exit_at
    }

    /// True if a request that times out at `deadline` may be sent to a target for the first time.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        now < self.any_timeout_until || now < self.reject_at && self.finishes(deadline)
    }

    /// True if a request that times out at `deadline` may be sent to another target. Its first target
    /// has had part of its time, so it is more likely to be cut than a new one.
    pub fn may_retry(&self, now: Duration, deadline: Duration) -> bool {
        now < self.exit_at && self.finishes(deadline)
    }

    /// From when on a request gets an error if a response waits behind it on its connection: late enough that
    /// the platform excuses it, and early enough for the response to be written before the exit.
    pub fn unblock_at(&self) -> Duration {
        self.unblock_at
    }

    /// When all requests that have no response get an error.
    pub fn respond_by(&self) -> Duration {
        self.respond_by
    }

    /// True if a request that times out at `deadline` is sure to end before the process exits.
    fn finishes(&self, deadline: Duration) -> bool {
        deadline <= self.respond_by
    }
}
