//! Look-ups: which entry VMs a caller should use, and which site serves a client's address.

mod blocks;
mod named;

pub use blocks::{Block, BlockError, BlockTable, SiteId};
pub use named::{LookupVm, nearest_vms};
