//! The front: an entry VM's reverse proxy. It accepts callers' HTTP requests, routes them by host
//! and path, and forwards each to a target.
//!
//! The decisions (routing, load balancing, rate limits, retries) are made by the types in
//! [`crate::steer`], which do no I/O. This module connects them to sockets, clocks and tasks.
//! A platform adapter starts a [`FrontDaemon`] and supplies what is specific to the platform:
//! its store as a [`Source`] and its header names as [`Headers`].

mod access;
mod admission;
mod attempt;
mod attempt_guard;
mod body_buffer;
mod config;
mod crash_check;
mod decision_metrics;
mod decisions;
mod exchange;
mod handle;
mod in_flight;
mod ingress;
mod lag;
mod metrics;
mod news;
mod notices;
mod outbound;
mod probes;
mod rates;
mod rejections;
mod request;
mod request_head;
mod response;
mod response_head;
mod run;
mod sessions;
mod shared_load;
mod source;
mod state;
mod unproved;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, SetOnce};

use crate::clock;
use crate::model::Place;
use crate::net::LaterRequests;
use crate::peer::{CompressedContents, Identity};
use crate::steer::{RecentRejections, StopSchedule};

pub use config::{
    ConfigDuration, DecisionLogConfig, FleetBounds, FrontConfig, FrontPeers, FrontStore, Listen,
};
pub use handle::{FrontHandle, LookupAnswer};
pub use run::FrontDaemon;
pub use source::{Headers, Source, SourceError};

use decisions::DecisionLogger;
use in_flight::InFlight;
use lag::LagMeter;
use metrics::FrontMetrics;
use outbound::TargetClient;
use request::RequestError;
use sessions::Sessions;
use state::FrontState;

/// Interval of the checks, late in a stop, whether a response waits behind a request.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by all tasks of a front.
pub(crate) struct Front {
    pub(crate) config: FrontConfig,
    pub(crate) me: Identity,
    pub(crate) place: Place,
    pub(crate) headers: Headers,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) state: FrontState,
    pub(crate) target_client: TargetClient,
    pub(crate) sessions: Sessions,
    /// The large contents of feeds, as they are passed on.
    pub(crate) contents: CompressedContents,
    pub(crate) decision_log: DecisionLogger,
    pub(crate) metrics: FrontMetrics,
    /// When the process started, by [`crate::clock::now`].
    pub(crate) started: Duration,
    /// Set when a graceful stop has begun.
    stop: SetOnce<StopSchedule>,
    /// Set while this VM's reads of the store fail.
    pub(crate) store_unreachable: AtomicBool,
    /// Notified when the store has lost this VM's record.
    record_lost: Notify,
    /// The last final rejections, which a newer routing table may prove wrong.
    rejections: Mutex<RecentRejections>,
    /// Room for requests that wait for a newer proof of the routing table.
    proof_room: Semaphore,
    in_flight: InFlight,
    lag: LagMeter,
    /// Notified when a request finds no token; wakes the task that draws from the zone leader.
    pub(crate) token_demand: Notify,
    /// Notified when the zone leader runs short of tokens; wakes the task that draws from the pool.
    pub(crate) zone_demand: Notify,
    /// Notified when the zone leader has received tokens; wakes pending requests of the zone's VMs.
    pub(crate) zone_supply: Notify,
}

impl Front {
    /// True once callers and peers should use other VMs.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.get().is_some_and(|stop| !stop.names_vm(clock::now()))
    }

    /// False once this VM's leases and loans are handed back.
    pub(crate) fn holds_leases(&self) -> bool {
        self.stop.get().is_none_or(|stop| stop.holds_leases(clock::now()))
    }

    /// True if a request that times out at `deadline` may be sent to a target now; a stopping VM
    /// rejects those that it may not finish.
    pub(crate) fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        self.stop.get().is_none_or(|stop| stop.accepts(now, deadline))
    }

    /// Rejects a request that a stopping VM may not finish.
    fn check_stop(&self, now: Duration, deadline: Duration) -> Result<(), RequestError> {
        match self.accepts(now, deadline) {
            true => Ok(()),
            false => {
                Err(RequestError::not_run("stopping", "this entry VM is stopping").retry_at_once())
            }
        }
    }

    /// Time left for a response to a request that times out at `deadline`; a stopping VM gives up
    /// its last requests before its grace period ends.
    pub(crate) fn time_left(&self, now: Duration, deadline: Duration) -> Duration {
        let end = self.stop.get().map_or(Duration::MAX, StopSchedule::respond_by);
        deadline.min(end).saturating_sub(now)
    }

    /// True if this VM is stopping and gives up its last requests before `deadline`.
    pub(crate) fn ends_before(&self, deadline: Duration) -> bool {
        self.stop.get().is_some_and(|stop| stop.respond_by() < deadline)
    }

    /// True if a request that times out at `deadline` may be sent to another target now.
    pub(crate) fn may_retry(&self, now: Duration, deadline: Duration) -> bool {
        self.stop.get().is_none_or(|stop| stop.may_retry(now, deadline))
    }

    /// Returns when a request must get an error, since this VM stops and either a response waits behind the
    /// request, or too little time is left.
    pub(crate) async fn wait_for_stop_failure(&self, later: &LaterRequests) {
        let stop = self.stop.wait().await;
        sleep_until(stop.unblock_at()).await;
        while clock::now() < stop.respond_by() && !later.any_ready() {
            sleep_until(stop.respond_by().min(clock::now() + READY_CHECK_INTERVAL)).await;
        }
    }

    /// True if lookups may name this VM to callers and the readiness check passes.
    pub(crate) fn is_serving(&self) -> bool {
        !self.is_leaving() && self.state.index().is_some()
    }
}

/// Sleeps until `at`, by [`clock::now`].
async fn sleep_until(at: Duration) {
    tokio::time::sleep(at.saturating_sub(clock::now())).await;
}
