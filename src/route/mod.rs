//! Choice of the entry VM that sends a request to a target, and budgets of retries and bandwidth.

mod budget;
mod choice;
mod links;

pub use budget::RetryBudget;
pub use choice::{Candidate, Locality, Origin, choose_vm};
pub use links::LinkBudget;
