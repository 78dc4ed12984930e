//! Steering of whole requests by host and path: the deciding parts of a front.
//!
//! [`Table`] says which requests are allowed and where they may run, [`Replica`] holds what the
//! store last said and hands changes on, [`TargetBook`] chooses targets by [`rank`]ing them for an
//! object, within windows of its own requests and with room for customers bound to a region,
//! [`Purse`] and [`Pool`] share each customer's rate over the fleet, [`Retries`] bounds what is sent
//! twice, and [`Fleet`] says whom to ask and whom to name to callers.
//!
//! All times are given as time since the machine's start ([`crate::clock::now`]).

mod affinity;
mod choice;
mod entry;
mod fleet;
mod load;
mod pool;
mod purse;
mod replica;
mod reserve;
mod retries;
mod table;
mod targets;

pub use affinity::{Fingerprint, fingerprint, rank, sized_rank};
pub use choice::{Choice, Pick, Picked};
pub use entry::{TargetEntry, TargetState};
pub use fleet::{Fleet, Heard, VmEntry};
pub use pool::{Grant, Pool, Want};
pub use purse::{Purse, Spend, Stamp};
pub use replica::{Delta, Feed, Item, Replica};
pub use retries::{Retries, RetryBounds};
pub use table::{
    Access, Bounds, Customer, Index, KeyDigest, Part, Route, Service, Table, key_digest,
};
pub use targets::{Sight, TargetBook};
