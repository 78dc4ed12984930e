//! Membership: which entry VMs exist, what each of them owns, and which of them answer.

mod rank;
mod roster;

pub use rank::{ranked, score};
pub use roster::{Member, PARTS, Roster, RosterError, SLICES};
