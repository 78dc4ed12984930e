//! What callers and the platform ask before they send requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::clock;
use crate::model::ZoneId;

use super::{Front, FrontConfig};

/// Most addresses named in one answer.
const LOOKUP_ADDRS_MAX: usize = 64;
/// Time for which an answer may be kept, if the settings allow as much.
const LOOKUP_TTL: Duration = Duration::from_millis(2_000);

/// Entry VMs to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Their addresses.
    pub addrs: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Duration,
}

/// Answers questions about a front.
#[derive(Clone)]
pub struct FrontHandle(pub(crate) std::sync::Arc<Front>);

impl FrontHandle {
    /// The entry VMs for a caller in `zone`; the front's own zone if there is none.
    pub fn lookup(&self, zone: Option<&str>) -> LookupAnswer {
        let front = &self.0;
        let zone = zone.map_or_else(|| front.place.zone.clone(), ZoneId::new);
        let own = front.is_serving().then_some(front.config.listen.callers);
        let addrs = front.state.lock().fleet.named(clock::now(), &zone, own, LOOKUP_ADDRS_MAX);
        LookupAnswer { addrs, ttl: LOOKUP_TTL.min(front.config.bounds.lookup_ttl.0) }
    }

    /// True if this front takes requests.
    pub fn is_ready(&self) -> bool {
        self.0.is_serving()
    }

    /// Learns that the settings file has changed. What is in force stays until the next start;
    /// settings that can't be read are reported.
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
