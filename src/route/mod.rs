//! Where a request goes, how often it is tried, and how long it may take.

mod budget;
mod choice;
mod links;

pub use budget::RetryBudget;
pub use choice::{Candidate, Origin, Tier, choose_vm};
pub use links::LinkBudget;
