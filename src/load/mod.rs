//! An open-loop load generator and its report.
//!
//! Each request is sent at its scheduled time, whether or not earlier ones have completed, and its
//! latency is measured from that time. Otherwise a stall would delay the requests after it and hide
//! itself from the latencies (coordinated omission).

mod caller;
mod report;
mod run;
mod scenario;

pub use report::{Report, StreamReport};
pub use run::run;
pub use scenario::{Arrival, Scenario, Stream};
