//! Services without any target that takes requests, by the targets' own word.

use std::time::Instant;

use rand::Rng;

use crate::model::{RegionId, VmState};
use crate::steer::caller_pause;
use crate::targets::Outage;

use super::Node;
use super::ingress::Admitted;
use super::refusal::{Reason, Refusal};

/// The outage of a request's service, if all targets that may run it take no requests. Those in
/// `skipped` regions may not.
pub(super) fn find(
    node: &Node,
    admitted: &Admitted,
    now: Instant,
    skipped: &[RegionId],
) -> Option<Outage> {
    let view = node.view();
    let may_run = |target: &&crate::model::Target| {
        target.service == admitted.service
            && target.state == VmState::Live
            && !view.drains.covers_target(&target.id, &target.place)
            && !skipped.contains(&target.place.region)
    };
    let count = view.vms.targets.iter().filter(may_run).count();
    let own = node.egress.closed_targets(now, &admitted.service);
    own.merge(node.mesh.closed_targets(now, &admitted.service, skipped)).outage(count)
}

/// Why a request is refused in an outage.
pub(super) fn reason(outage: &Outage) -> Reason {
    match outage {
        Outage::AllLeaving => Reason::NoTarget,
        Outage::Paused(_) => Reason::Paused,
    }
}

/// Adds when a caller may come back, if that is known.
pub(super) fn with_retry_after(refusal: Refusal, outage: &Outage) -> Refusal {
    match outage {
        Outage::AllLeaving => refusal,
        Outage::Paused(left) => refusal.with_retry_after(caller_pause(*left, rand::rng().random())),
    }
}
