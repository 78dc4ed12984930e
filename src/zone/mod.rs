//! Membership: which entry VMs exist, what each of them owns, and which of them answer.

mod allocation;
mod rendezvous;
mod roster;

pub use allocation::{Allocation, WARY};
pub use rendezvous::{rendezvous_order, rendezvous_score};
pub use roster::{Member, PART_COUNT, Roster, RosterError, SLICE_COUNT};
