//! The choice of entry VMs that a look-up returns.

use std::net::SocketAddr;

use crate::model::{Place, VmId};
use crate::zone::rendezvous_order;

/// Entry VMs returned of the nearest zone. Few, so that a customer's tokens, connections and
/// idempotency keys are spread over few VMs.
const NEAREST_VMS: usize = 2;
/// Entry VMs returned of each other zone.
const OTHER_VMS: usize = 1;

/// An entry VM that accepts new callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupVm {
    /// The entry VM.
    pub vm: VmId,
    /// Its region and zone.
    pub place: Place,
    /// Its address for callers.
    pub addr: SocketAddr,
}

/// The entry VMs for a caller whose look-up came in at `place`, nearest zone first. `key`
/// chooses among the VMs of each zone, always the same ones for the same key.
pub fn nearest_vms<'a>(vms: &'a [LookupVm], place: &Place, key: &str) -> Vec<&'a LookupVm> {
    let mut zones: Vec<&Place> = vms.iter().map(|v| &v.place).collect();
    zones.sort();
    zones.dedup();
    zones.sort_by_key(|p| (p.zone != place.zone, p.region != place.region));
    let mut out = Vec::new();
    for (position, zone) in zones.into_iter().enumerate() {
        let members = vms.iter().filter(|v| &v.place == zone);
        let order = rendezvous_order(key, members, |v| v.vm.as_str());
        out.extend(order.into_iter().take(if position == 0 { NEAREST_VMS } else { OTHER_VMS }));
    }
    out
}
