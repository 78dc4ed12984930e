//! Distribution of configuration among entry VMs. Each VM keeps the highest version that it has
//! received of every object, from the store or from another VM, and never goes back to a lower one.
//!
//! [`Catalog`] holds the objects, and [`ConfigView`] is their parsed form that requests use.

mod catalog;
mod view;

pub use catalog::{Catalog, ObjectVersion, OfferOutcome};
pub use view::{ActiveService, ConfigView, InvalidObject};
