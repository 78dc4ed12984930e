//! Input and result of choosing a target for a request ([`super::Balancer::pick`]).

use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous::NameHash;
use crate::model::{RegionId, ServiceId, TargetId, ZoneId};

/// A request for which a target is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service; only its targets are considered.
    pub service: &'a ServiceId,
    /// Hash of the affinity key; requests with the same key prefer the same targets.
    pub affinity: NameHash,
    /// The region of this entry VM; targets there are preferred.
    pub region: &'a RegionId,
    /// Regions in which the request may run; `None` allows all.
    pub allowed_regions: Option<&'a [RegionId]>,
    /// Targets that earlier attempts of the request were sent to.
    pub avoid: &'a [TargetId],
    /// Requests per second that a cold target of the service may get from all entry VMs together; 0
    /// for none.
    pub cold_rate: f64,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// The result of choosing a target.
#[derive(Clone, Debug, PartialEq)]
pub enum PickResult {
    /// The request goes to this target.
    Target(Pick),
    /// Of each of the key's first targets, the window is full, or the response is expected after the
    /// time left. The value is by how much the earliest response would be late; 0 if it would be in time
    /// but for a full window.
    Busy(Duration),
    /// Every target that may run the request wants no requests now. The value is the time until the
    /// first of these pauses ends.
    Paused(Duration),
    /// Only targets at their limits could run the request. The value is the time until there will be room
    /// for it, if all that were rejected before return in time.
    Limited(Duration),
    /// No target is allowed and usable.
    NoTarget,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Its id.
    pub id: TargetId,
    /// Its address for requests.
    pub addr: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Crashes under this record after which it has responded again.
    pub restarts: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Estimated requests that wait ahead of this one, per slot.
    pub queue: f64,
    /// Its place in the key's order of usable targets, from 1; 0 for a cold target.
    pub order: u8,
    /// Age of what this VM knows of its load; none if nothing was observed.
    pub age: Option<Duration>,
}
