//! Look-ups: which entry VMs a caller should use, and which site serves a client's address.

mod blocks;
mod nearest;

pub use blocks::{Block, BlockError, BlockTable, SiteId};
pub use nearest::{LookupVm, nearest_vms};
