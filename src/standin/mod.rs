//! Stand-ins for what is outside the system: the platform's store, targets, and the links between
//! machines. Each has a port of its own on which faults are set. The demo, the tests and the load
//! tool use the same ones.

mod link;
mod store;
mod target;

pub use link::{Cut, LinkFaults, LinkStandin, Route};
pub use store::{StoreCounts, StoreFaults, StoreMode, StoreStandin};
pub use target::{Run, TargetFaults, TargetStandin};
