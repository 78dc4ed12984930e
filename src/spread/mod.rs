//! The spread of configuration: every entry VM holds the highest version of each object that it
//! has ever seen, and never goes back.

mod catalog;
mod view;

pub use catalog::{Catalog, ObjectVersion, OfferOutcome};
pub use view::{ConfigView, InvalidObject, Service};
