//! What a request needs of a target, and what the choice came to.

use std::net::SocketAddr;
use std::time::Duration;

use super::affinity::NameHash;
use crate::model::{RegionId, ServiceId, TargetId, ZoneId};

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The object; requests for the same object go to the same targets.
    pub affinity: NameHash,
    /// The region of this entry VM.
    pub region: &'a RegionId,
    /// Regions in which it may run; none means all.
    pub allowed_regions: Option<&'a [RegionId]>,
    /// Targets that it has been sent to before.
    pub avoid: &'a [TargetId],
    /// Requests a second that a cold target of the service bears.
    pub cold_rate: f64,
    /// Time until the answer is due.
    pub time_left: Duration,
}

/// What the choice among targets came to.
#[derive(Clone, Debug, PartialEq)]
pub enum PickResult {
    /// A target.
    Target(Pick),
    /// All would answer too late; the first of them by this much.
    Busy(Duration),
    /// No target may take the request.
    NoTarget,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub id: TargetId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Requests before this one for each slot, beyond those that run.
    pub queue: f64,
}
