//! Conserved sums: a customer's rate and burst, split over all entry VMs and moved on demand.
//!
//! Each member owns a [`Floor`], a part of the sum that survives any cut. In the ordinary hour all
//! floors of an account are lent to one [`Pool`] under short leases, and members take tokens from
//! it through a [`Wallet`]. After a cut or a death each floor is back with its owner as soon as
//! the lease has ended. Messages may be lost, repeated, delayed and crossed: quantity is then
//! delayed or lost, and never created.

mod account;
mod bucket;
mod floor;
mod ledger;
mod meter;
mod pool;
mod wallet;

pub use account::{Action, Peer, Request, Settings, Steward, Total, Verdict};
pub use bucket::Bucket;
pub use floor::Floor;
pub use ledger::{Escrow, Event};
pub use pool::Pool;
pub use wallet::Wallet;
