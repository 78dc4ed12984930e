//! Membership: which entry VMs exist, what each of them owns, and which of them answer.

mod holding;
mod rank;
mod roster;

pub use holding::{Allocation, WARY};
pub use rank::{rendezvous_order, rendezvous_score};
pub use roster::{Member, PART_COUNT, Roster, RosterError, SLICE_COUNT};
