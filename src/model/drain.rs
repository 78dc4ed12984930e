//! Drains that operators request.

use std::collections::BTreeSet;

use macro_rules_attribute::apply;

use super::{Place, TargetId, VmId, ZoneId};
use crate::common::record;

/// What can be drained.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum DrainSubject {
    /// One target.
    Target(TargetId),
    /// One entry VM.
    Vm(VmId),
    /// A whole zone: its targets and its entry VMs.
    Zone(ZoneId),
}

impl std::fmt::Display for DrainSubject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DrainSubject::Target(id) => write!(f, "target {id}"),
            DrainSubject::Vm(id) => write!(f, "vm {id}"),
            DrainSubject::Zone(id) => write!(f, "zone {id}"),
        }
    }
}

/// All drains in force.
#[apply(record!)]
#[derive(Default)]
pub struct Drains {
    /// The targets, entry VMs and zones that are drained.
    pub subjects: BTreeSet<DrainSubject>,
}

impl Drains {
    /// True if the target is drained and gets no new requests.
    pub fn covers_target(&self, id: &TargetId, place: &Place) -> bool {
        self.subjects.contains(&DrainSubject::Target(id.clone()))
            || self.subjects.contains(&DrainSubject::Zone(place.zone.clone()))
    }

    /// True if the entry VM is drained and no longer returned by look-ups.
    pub fn covers_vm(&self, id: &VmId, place: &Place) -> bool {
        self.subjects.contains(&DrainSubject::Vm(id.clone()))
            || self.subjects.contains(&DrainSubject::Zone(place.zone.clone()))
    }
}
