//! Membership: which entry VMs exist, what each of them owns, and which of them answer.

mod holding;
mod rank;
mod roster;

pub use holding::{Holding, WARY};
pub use rank::{ranked, score};
pub use roster::{Member, PARTS, Roster, RosterError, SLICES};
