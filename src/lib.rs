//! Coordination parts of a global traffic steering system, and the programs built of them.
//!
//! The parts to embed are plain state machines: [`escrow`] keeps a sum over many members, [`zone`]
//! says who owns what, [`once`] claims once-only work, [`spread`] holds configuration that never
//! reverts, [`plan`] makes the steps of shifts, [`targets`] and [`route`] choose where work goes,
//! [`lookup`] answers who serves whom, and [`store`] is what they ask of the platform.

mod common;

// Parts to embed.
pub mod chart;
pub mod clock;
pub mod escrow;
pub mod lookup;
pub mod model;
pub mod once;
pub mod peer;
pub mod plan;
pub mod route;
pub mod spread;
pub mod steer;
pub mod store;
pub mod targets;
pub mod zone;

// What the programs are built of.
pub mod cmd;
pub mod config;
pub mod front;
pub mod load;
pub mod log_setup;
pub mod net;
pub mod node;
pub mod standin;
pub mod timeline;
