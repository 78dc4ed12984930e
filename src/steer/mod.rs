//! Steering of whole requests by host and path: the deciding parts of a front.
//!
//! [`Table`] says which requests are allowed and where they may run, [`Replica`] holds what the
//! store last said and hands changes on, [`Balancer`] chooses targets by [`rank`]ing them for an
//! object, within windows of its own requests and with room for customers bound to a region,
//! [`RateLimiter`] and [`TokenPool`] share each customer's rate over the fleet, [`RetryBudgets`] bounds what is sent
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

pub use affinity::{NameHash, name_hash, rendezvous_score, weighted_score};
pub use choice::{Pick, PickRequest, PickResult};
pub use entry::{TargetReadiness, TargetRecord};
pub use fleet::{Fleet, Liveness, VmRecord};
pub use pool::{TokenGrant, TokenPool, TokenRequest};
pub use purse::{PoolTimestamp, RateLimiter, TakeResult};
pub use replica::{Delta, Feed, Item, Replica};
pub use retries::{RetryBounds, RetryBudgets};
pub use table::{
    Access, Customer, KeyHash, RequestLimits, Route, Service, Table, TableIndex, WeightedService,
    key_hash,
};
pub use targets::{Balancer, TargetTrust};
