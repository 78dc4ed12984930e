//! What entry VMs say of themselves: in the store, and to each other.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Incarnation, Place, VmId, ZoneId};

/// An entry VM's record in the store.
#[apply(record!)]
pub struct VmRecord {
    /// Its region and zone.
    pub place: Place,
    /// Its address for sessions from other entry VMs.
    pub peers: SocketAddr,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its processor share, in thousandths of a core; 0 in records that do not say.
    #[serde(default)]
    pub cpu_millis: u32,
}

/// A report that an entry VM runs, from itself or passed on by another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// The VM that runs.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// True if it accepts callers.
    pub serving: bool,
    /// Time since the VM itself reported this.
    pub age: Duration,
}
