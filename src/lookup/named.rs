//! The entry VMs named to a caller.

use std::net::SocketAddr;

use crate::model::{Place, VmId};
use crate::zone::rendezvous_order;

/// Entry VMs named of the nearest zone. Few, so that a customer's tokens, connections and
/// idempotency keys are spread over few places.
const NEAR: usize = 2;
/// Entry VMs named of each other zone.
const FAR: usize = 1;

/// An entry VM that takes new callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// The entry VM.
    pub vm: VmId,
    /// Its place.
    pub place: Place,
    /// Its address for callers.
    pub addr: SocketAddr,
}

/// The entry VMs for a caller that asks at `place`, best first. `spread` chooses among the VMs of
/// a zone: the same ones for the same customer.
pub fn named<'a>(entries: &'a [EntryVm], place: &Place, spread: &str) -> Vec<&'a EntryVm> {
    let mut zones: Vec<&Place> = entries.iter().map(|e| &e.place).collect();
    zones.sort();
    zones.dedup();
    zones.sort_by_key(|p| (p.zone != place.zone, p.region != place.region));
    let mut out = Vec::new();
    for (rank, zone) in zones.into_iter().enumerate() {
        let members = entries.iter().filter(|e| &e.place == zone);
        let order = rendezvous_order(spread, members, |e| e.vm.as_str());
        out.extend(order.into_iter().take(if rank == 0 { NEAR } else { FAR }));
    }
    out
}
