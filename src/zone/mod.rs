//! Membership of the entry VMs, by zone: which VMs exist, and which shares of the customers' rate
//! limits and which targets of its zone each of them owns.

mod allocation;
mod rendezvous;
mod roster;

pub use allocation::{Allocation, STARTUP_DELAY};
pub use rendezvous::{rendezvous_order, rendezvous_score};
pub use roster::{Member, PART_COUNT, Roster, RosterError, SLICE_COUNT};
