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

pub use config::{DecisionLog, FleetBounds, FrontConfig, FrontPeers, FrontStore, Listen, Span};
pub use lookups::{Desk, Named};
pub use run::FrontDaemon;
pub use source::{Headers, Source, SourceError};

use decisions::Decisions;
use knowledge::Knowledge;
use metrics::FrontMetrics;
use outbound::Outbound;
use sessions::Sessions;

/// What all parts of a front share.
pub(crate) struct Front {
    pub(crate) config: FrontConfig,
    pub(crate) me: Identity,
    pub(crate) place: Place,
    pub(crate) headers: Headers,
    pub(crate) source: Arc<dyn Source>,
    pub(crate) known: Knowledge,
    pub(crate) outbound: Outbound,
    pub(crate) sessions: Sessions,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: FrontMetrics,
    /// When the process started.
    pub(crate) started: Duration,
    /// Set once a planned stop has begun.
    leaving: AtomicBool,
    /// Set when requests are no longer taken on.
    closed: AtomicBool,
    /// Set while the store does not answer this VM.
    pub(crate) unread: AtomicBool,
    /// Requests that have no answer yet.
    active: AtomicU64,
    /// Wakes the task that draws this VM's tokens.
    pub(crate) thirsty: Notify,
    /// Wakes requests that wait for tokens.
    pub(crate) filled: Notify,
    /// Wakes the task that draws the zone's tokens.
    pub(crate) zone_thirsty: Notify,
    /// Wakes VMs of the zone that wait for tokens.
    pub(crate) zone_filled: Notify,
}

impl Front {
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// True if callers may be sent here.
    pub(crate) fn is_serving(&self) -> bool {
        !self.is_leaving() && self.known.index().is_some()
    }
}
