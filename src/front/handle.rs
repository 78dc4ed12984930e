//! A handle on a running front for the platform's endpoints: lookups, readiness and reloads.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::clock;
use crate::model::ZoneId;

use super::{Front, FrontConfig};

/// Most addresses in one response.
const LOOKUP_ADDRS_MAX: usize = 64;
/// TTL of a response, unless `bounds.lookup_ttl` is shorter.
const LOOKUP_TTL: Duration = Duration::from_millis(2_000);

/// The entry VMs that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Their addresses for callers.
    pub addrs: Vec<SocketAddr>,
    /// How long the caller may cache the response.
    pub ttl: Duration,
}

/// A handle on a running front.
#[derive(Clone)]
pub struct FrontHandle(pub(crate) std::sync::Arc<Front>);

impl FrontHandle {
    /// The entry VMs for a caller in `zone`; without one, in the front's own zone.
    pub fn lookup(&self, zone: Option<&str>) -> LookupAnswer {
        let front = &self.0;
        let zone = zone.map_or_else(|| front.place.zone.clone(), ZoneId::new);
        let own = front.is_serving().then_some(front.config.listen.callers);
        let addrs =
            front.state.lock().fleet.lookup_addrs(clock::now(), &zone, own, LOOKUP_ADDRS_MAX);
        LookupAnswer { addrs, ttl: LOOKUP_TTL.min(front.config.bounds.lookup_ttl.0) }
    }

    /// True if lookups may name this front: it has a routing table and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.0.is_serving()
    }

    /// Logs whether the settings file has changed or is invalid. Settings take effect only at the
    /// next start.
    pub fn reload(&self, settings: anyhow::Result<FrontConfig>) {
        let (changed, problem) = match &settings {
            Ok(settings) => (*settings != self.0.config, String::new()),
            Err(e) => (false, format!("{e:#}")),
        };
        self.0.decision_log.log("reload", &Reload { changed, problem });
    }
}

#[derive(Serialize)]
struct Reload {
    changed: bool,
    problem: String,
}
