//! An open-loop load generator and its report.
//!
//! Requests are sent at their planned times whether or not earlier ones were answered, and each
//! latency counts from the planned time, so that a stall is not hidden by the requests that it
//! held back.

mod caller;
mod report;
mod run;
mod scenario;

pub use report::{Report, StreamReport};
pub use run::run;
pub use scenario::{Arrival, Scenario, Stream};
