//! The platform's list of VMs. It lags: a dead VM may still be on it and a new one may be missing.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use super::{Place, ServiceId, TargetId, VmId};
use crate::common::record;

/// What the platform says of a VM.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    #[default]
    Live,
    /// The VM will be stopped soon and takes no new work.
    Leaving,
}

/// An entry VM on the list.
#[apply(record!)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub place: Place,
    /// Its state.
    #[serde(default)]
    pub state: VmState,
}

/// A target on the list.
#[apply(record!)]
pub struct Target {
    /// The target VM.
    pub id: TargetId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it stands.
    pub place: Place,
    /// Its HTTP address.
    pub addr: SocketAddr,
    /// Requests that it runs at once, at least 1.
    pub slots: u32,
    /// Its state.
    #[serde(default)]
    pub state: VmState,
}

/// The whole list.
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
