//! A global traffic steering system: components that coordinate a fleet of entry VMs, and the
//! programs built from them.
//!
//! The components can be embedded in other programs; most are state machines without I/O:
//!
//! - [`escrow`] divides the rate and burst of each customer among entry VMs.
//! - [`zone`] tracks the members of the fleet and what each of them owns.
//! - [`once`] claims idempotency keys, so that a request runs at most once.
//! - [`spread`] keeps the highest version of each configuration object.
//! - [`plan`] computes the steps of traffic shifts between regions.
//! - [`route`] chooses the entry VM that sends a request to a target, and [`targets`] the target and
//!   the slot.
//! - [`steer`] routes requests of a front directly to targets.
//! - [`lookup`] tells callers which entry VMs to use.
//! - [`peer`] carries messages between entry VMs.
//! - [`store`] is the interface to the platform's object store.
//!
//! They share the data types in [`model`], the state machines in [`chart`] and the [`clock`].

mod common;
mod line_queue;

// Components to embed.
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

// Programs and their building blocks.
pub mod cmd;
pub mod config;
pub mod front;
pub mod load;
pub mod log_setup;
pub mod net;
pub mod node;
pub mod standin;
pub mod timeline;
