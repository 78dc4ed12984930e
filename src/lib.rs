//! Coordination parts of a global traffic steering system, and the shells that run them.

mod common;

pub mod chart;

pub mod cmd;
pub mod config;
pub mod escrow;
pub mod load;
pub mod log_setup;
pub mod lookup;
pub mod model;
pub mod net;
pub mod node;
pub mod once;
pub mod peer;
pub mod plan;
pub mod route;
pub mod spread;
pub mod standin;
pub mod store;
pub mod target;
pub mod zone;
