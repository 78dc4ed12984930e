//! A front: an entry VM's daemon that takes whole requests by host and path and sends them to
//! targets itself. The deciding parts are in [`crate::steer`]; here are the shells that connect
//! them to sockets, clocks and tasks. What is the platform's own comes in through [`Source`] and
//! [`Headers`].

mod answer;
mod attempt;
mod config;
mod decisions;
mod ingress;
mod knowledge;
mod lookups;
mod metrics;
mod news;
mod outbound;
mod probes;
mod rates;
mod request;
mod run;
mod sessions;
mod source;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

use crate::model::Place;
use crate::peer::Identity;

pub use config::{
    ConfigDuration, DecisionLogConfig, FleetBounds, FrontConfig, FrontPeers, FrontStore, Listen,
};
pub use lookups::{FrontHandle, LookupAnswer};
pub use run::FrontDaemon;
pub use source::{Headers, Source, SourceError};

use decisions::DecisionLogger;
use knowledge::FrontState;
use metrics::FrontMetrics;
use outbound::TargetClient;
use sessions::Sessions;

/// What all parts of a front share.
pub(crate) struct Front {
    pub(crate) config: FrontConfig,
    pub(crate) me: Identity,
    pub(crate) place: Place,
    pub(crate) headers: Headers,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) state: FrontState,
    pub(crate) target_client: TargetClient,
    pub(crate) sessions: Sessions,
    pub(crate) decision_log: DecisionLogger,
    pub(crate) metrics: FrontMetrics,
    /// When the process started.
    pub(crate) started: Duration,
    /// Set once a planned stop has begun.
    leaving: AtomicBool,
    /// Set when requests are no longer taken on.
    rejecting: AtomicBool,
    /// Set while the store does not answer this VM.
    pub(crate) store_unreachable: AtomicBool,
    /// Requests that have no answer yet.
    in_flight: AtomicU64,
    /// Wakes the task that draws this VM's tokens.
    pub(crate) token_demand: Notify,
    /// Wakes requests that wait for tokens.
    pub(crate) token_supply: Notify,
    /// Wakes the task that draws the zone's tokens.
    pub(crate) zone_demand: Notify,
    /// Wakes VMs of the zone that wait for tokens.
    pub(crate) zone_supply: Notify,
}

impl Front {
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn is_rejecting(&self) -> bool {
        self.rejecting.load(Ordering::Relaxed)
    }

    /// True if callers may be sent here.
    pub(crate) fn is_serving(&self) -> bool {
        !self.is_leaving() && self.state.index().is_some()
    }
}
