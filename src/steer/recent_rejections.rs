//! The last rejections for good, which a newer routing table may prove wrong: the route or the key had
//! been added, but this VM did not know yet.

use std::collections::VecDeque;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::common::plain;

use super::table::{Access, KeyHash, TableIndex};

/// Most rejections that are kept; the oldest go first.
const REJECTIONS_MAX: usize = 256;
/// Time for which a rejection is kept.
const REJECTION_TTL: Duration = Duration::from_secs(10);
/// Longest texts of a rejection that is kept, all together, in bytes.
const TEXT_BYTES_MAX: usize = 1 << 10;

/// Why a request was rejected.
#[apply(plain!)]
pub enum RejectionReason {
    /// No route matched its host and path.
    NoRoute,
    /// Its key was missing or belonged to no customer.
    NoKey,
}

impl RejectionReason {
    /// The reason with this word, if a newer routing table may prove it wrong.
    pub fn parse(word: &str) -> Option<Self> {
        [Self::NoRoute, Self::NoKey].into_iter().find(|reason| reason.as_str() == word)
    }

    /// Its word in the log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
        }
    }
}

/// A rejected request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The request's id.
    pub id: String,
    /// Why it was rejected.
    pub reason: RejectionReason,
    /// The host that it named; it may include a port.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Digest of its key, if it had one.
    pub key: Option<KeyHash>,
    /// When it was rejected.
    pub at: Duration,
    /// Version of the routing table by which it was rejected.
    pub version: u64,
}

/// A rejection that a newer routing table has proved wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverturnedRejection {
    /// The rejection.
    pub rejection: Rejection,
    /// Name of the route that the request has now.
    pub route: String,
    /// Time from the rejection to the newer table.
    pub after: Duration,
}

/// The last rejections, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct RecentRejections {
    entries: VecDeque<Rejection>,
}

impl RecentRejections {
    /// Keeps a rejection, unless its texts are too long.
    pub fn add(&mut self, rejection: Rejection) {
        self.forget_old(rejection.at);
        if rejection.id.len() + rejection.host.len() + rejection.path.len() > TEXT_BYTES_MAX {
            return;
        }
        if self.entries.len() == REJECTIONS_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(rejection);
    }

    /// Removes the rejections whose requests the routing table that came in force at `now` allows, and
    /// returns them, the oldest first.
    pub fn take_overturned(
        &mut self,
        now: Duration,
        index: &TableIndex,
    ) -> Vec<OverturnedRejection> {
        self.forget_old(now);
        let mut overturned = Vec::new();
        self.entries.retain(|rejection| {
            let route = allowed_route(index, rejection);
            overturned.extend(route.map(|route| OverturnedRejection {
                rejection: rejection.clone(),
                route: route.to_owned(),
                after: now.saturating_sub(rejection.at),
            }));
            route.is_none()
        });
        overturned
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |r: &Rejection| now.saturating_sub(r.at) > REJECTION_TTL;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
    }
}

/// Name of the route that the rejected request has by `index`, if it may use it.
fn allowed_route<'a>(index: &'a TableIndex, rejection: &Rejection) -> Option<&'a str> {
    let route = index.route(&rejection.host, &rejection.path)?;
    match index.access_by_hash(route, rejection.key.as_ref()) {
        Access::Open | Access::Customer(_) => Some(&route.name),
        Access::Denied => None,
    }
}
