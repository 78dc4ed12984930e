//! Planned drains, as operators order them.

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

/// The drains in force.
#[apply(record!)]
#[derive(Default)]
pub struct Drains {
    /// Everything that takes no new work.
    pub subjects: BTreeSet<DrainSubject>,
}

impl Drains {
    /// True if the target takes no new work.
    pub fn covers_target(&self, id: &TargetId, place: &Place) -> bool {
        self.subjects.contains(&DrainSubject::Target(id.clone()))
            || self.subjects.contains(&DrainSubject::Zone(place.zone.clone()))
    }

    /// True if look-ups no longer name the entry VM.
    pub fn covers_vm(&self, id: &VmId, place: &Place) -> bool {
        self.subjects.contains(&DrainSubject::Vm(id.clone()))
            || self.subjects.contains(&DrainSubject::Zone(place.zone.clone()))
    }
}
