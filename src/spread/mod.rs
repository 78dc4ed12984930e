//! The spread of configuration: every entry VM holds the highest version of each object that it
//! has ever seen, and never goes back.

mod catalog;
mod view;

pub use catalog::{Catalog, Offer, Version};
pub use view::{Lapse, Service, View};
