//! The platform's list of VMs. It may be out of date: it may still list a stopped VM and not yet
//! list a new one.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{Place, ServiceId, TargetId, VmId};
use crate::common::record;

/// The platform's state of a VM.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    #[default]
    Live,
    /// The VM will be stopped soon and gets no new requests.
    Leaving,
}

/// An entry VM on the list.
#[apply(record!)]
pub struct ListedVm {
    /// Its name.
    pub vm: VmId,
    /// Its region and zone.
    pub place: Place,
    /// Its state.
    #[serde(default)]
    pub state: VmState,
}

/// A target on the list.
#[apply(record!)]
pub struct Target {
    /// Its name.
    pub id: TargetId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its region and zone.
    pub place: Place,
    /// Its HTTP address.
    pub addr: SocketAddr,
    /// Requests that it runs concurrently, at least 1.
    pub slots: u32,
    /// Its state.
    #[serde(default)]
    pub state: VmState,
}

/// The platform's list of VMs.
#[apply(record!)]
#[derive(Default)]
pub struct VmList {
    /// Entry VMs.
    #[serde(default)]
    pub entries: Vec<ListedVm>,
    /// Targets of all services.
    #[serde(default)]
    pub targets: Vec<Target>,
}
