//! The schedule of a daemon's graceful stop: everything that a stopping daemon decides by time.
//!
//! What it has in common with a stopping front, which serves callers only, is answered by
//! [`StopSchedule`]. A daemon also runs requests that other VMs forward to it, owns targets and rates, and is
//! on the roster. It gives these away after its requests have ended, so that nothing cuts a request.

use std::time::Duration;

use crate::steer::StopSchedule;

/// Time for one update of the roster, or for the changes of claims, since the store may be
/// unreachable.
const STORE_PERIOD: Duration = Duration::from_secs(3);
/// Time until nothing that the VM owns is in use, including rate that it has lent. A loan runs for
/// less.
const SETTLE_PERIOD: Duration = Duration::from_secs(4);

/// Time for the last requests of operators, whose clients may be gone or slow.
const OPERATOR_PERIOD: Duration = Duration::from_secs(2);
/// Time to write the last responses of sessions, and for the other ends to read them.
const SESSION_PERIOD: Duration = Duration::from_secs(2);

/// The requests of a stopping daemon that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestsInProgress {
    /// Requests of the VM's own callers.
    pub callers: u64,
    /// Changes of claims that the store does not hold yet.
    pub claims: u64,
    /// Requests that other VMs have forwarded.
    pub forwarded: u64,
    /// Requests that run at the VM's targets; they are among the other two.
    pub at_targets: u64,
}

/// The schedule of a daemon's graceful stop. Moments are durations on one clock, as those of
/// [`crate::clock::now`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonStop {
    requests: StopSchedule,
}

impl DaemonStop {
    /// A stop that begins at `start`, accepts connections for the time of `notice`, and then waits for
    /// requests in progress for the time of `drain`.
    pub fn new(start: Duration, notice: Duration, drain: Duration) -> Self {
        Self { requests: StopSchedule::with_notice(start, notice, drain) }
    }

    /// True if lookups, readiness and heartbeats may name the VM to callers.
    pub fn names_vm(&self, now: Duration) -> bool {
        self.requests.names_vm(now)
    }

    /// True if the VM may hold pools of rates, and take targets and rates from the roster.
    pub fn holds_leases(&self, now: Duration) -> bool {
        self.requests.holds_leases(now)
    }

    /// When the VM stops accepting callers' connections.
    pub fn close_at(&self) -> Duration {
        self.requests.close_at()
    }

    /// When the requests of the VM's own callers are aborted. All requests that are accepted during the
    /// stop end before.
    pub fn exit_at(&self) -> Duration {
        self.requests.exit_at()
    }

    /// When the requests of the VM's own callers that are still in progress get an error, early enough to
    /// be written before [`Self::exit_at`]. They are from before the stop.
    pub fn fail_at(&self) -> Duration {
        self.requests.respond_by()
    }

    /// True if a request that times out at `deadline` may be accepted, or sent to a target for the first
    /// time; both for callers' requests and for forwarded ones.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        self.requests.accepts(now, deadline)
    }

    /// True if a request that times out at `deadline` may be sent to another target.
    pub fn may_retry(&self, now: Duration, deadline: Duration) -> bool {
        self.requests.may_retry(now, deadline)
    }

    /// True if the VM's targets get no new requests, given that the port for callers was closed at
    /// `closed_at`. Until then, its own callers need them. After a pause of the process, requests still
    /// get the time to deliver a response that came meanwhile.
    pub fn closes_targets(
        &self,
        now: Duration,
        closed_at: Duration,
        requests: RequestsInProgress,
    ) -> bool {
        let latest = self.exit_at().max(closed_at.saturating_add(STORE_PERIOD));
        now >= latest || requests.callers == 0 && requests.claims == 0
    }

    /// True if the VM's targets may be given to other VMs. Forwarded requests are waited for also after
    /// [`Self::exit_at`]: those from before the stop end by their own timeouts.
    pub fn may_transfer(&self, now: Duration, requests: RequestsInProgress) -> bool {
        requests.forwarded == 0 && (requests.at_targets == 0 || now >= self.exit_at())
    }

    /// Until when an update of the roster that began at `began_at` may last.
    pub fn roster_by(&self, began_at: Duration) -> Duration {
        began_at.saturating_add(STORE_PERIOD)
    }

    /// Until when loans may take to be settled, if their return began at `began_at`.
    pub fn settle_by(&self, began_at: Duration) -> Duration {
        began_at.saturating_add(SETTLE_PERIOD)
    }

    /// Until when operators' requests in progress may last, if no connection is accepted from `began_at`.
    pub fn operators_by(&self, began_at: Duration) -> Duration {
        began_at.saturating_add(OPERATOR_PERIOD)
    }

    /// Until when the responses of sessions may take to be written, if no further call is accepted from
    /// `began_at`.
    pub fn sessions_by(&self, began_at: Duration) -> Duration {
        began_at.saturating_add(SESSION_PERIOD)
    }
}
