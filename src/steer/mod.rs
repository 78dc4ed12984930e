//! Routing of requests by host and path: the state and decisions of a front, without I/O.
//!
//! A front ([`crate::front`]) holds these parts and feeds them with updates, responses and the
//! time:
//! - [`TableIndex`] finds a request's route, customer and allowed regions in the routing [`Table`].
//! - [`Replica`] is a copy of one feed of the store, with changes to pass on to other entry VMs.
//! - [`Balancer`] chooses targets by [`rendezvous_score`] of the affinity key and by load, and
//!   leaves room for customers bound to a region.
//! - [`Observation`] is what the entry VMs of a zone tell each other of a target's load.
//! - [`TargetNotice`] is what a target says of itself in a response; [`LimitNotice`] is the limit of
//!   requests per second that it names there, and [`LimitShare`] this VM's part in it.
//! - [`RateLimiter`] and [`TokenPool`] keep each customer's rate over all entry VMs.
//! - [`RankClasses`] says which requests come first when there are too few tokens or retries;
//!   [`TokenQueue`] holds those that wait for a token.
//! - [`RetryBudgets`] bounds the retries.
//! - [`ReadContext`] decides which VMs read the store.
//! - [`RecentRejections`] tells which rejections a newer routing table proves wrong.
//! - [`AgeBounds`] decides what a routing table of some age is good for.
//! - [`StopSchedule`] decides what a stopping VM still accepts; [`LoopTicks`] since when it stops.
//! - [`Fleet`] knows the other entry VMs: which to sync from, draw tokens from and return in
//!   look-ups.
//!
//! All times are given as time since the machine's start ([`crate::clock::now`]).

mod backoff;
mod balancer;
mod fleet;
mod freshness;
mod known;
mod limiter;
mod limits;
mod load;
mod load_report;
mod notice;
mod observations;
mod others;
mod pace;
mod pick;
mod pool;
mod rank;
mod ranking;
mod reach;
mod reading;
mod recent_rejections;
mod record;
mod region_weights;
mod rendezvous;
mod replica;
mod retries;
mod retry_after;
mod sharing;
mod signal;
mod spill_noise;
mod stopping;
mod table;
mod target_limit;
mod target_records;
mod token_queue;
mod tokens;
mod vm_record;
mod zone_failures;

pub use balancer::Balancer;
pub use fleet::Fleet;
pub use freshness::{AgeBounds, Conclusion, PROOF_TIMEOUT, PROOF_WAITERS_MAX, ProofContext};
pub use known::{DueProbe, TargetTrust};
pub use limiter::{PoolTimestamp, RateLimiter, TakeResult};
pub use load_report::LoadReport;
pub use notice::{NoticeOrigin, TargetNotice};
pub(crate) use notice::{NoticeState, caller_pause};
pub use observations::Observation;
pub use pick::{Pick, PickRequest, PickResult};
pub use pool::{TokenGrant, TokenPool, TokenRequest};
pub use rank::{CLASSES, Rank, RankClass, RankClasses};
pub use reading::{ReadContext, Upstream};
pub use recent_rejections::{OverturnedRejection, RecentRejections, Rejection, RejectionReason};
pub use record::{TargetReadiness, TargetRecord};
pub use rendezvous::{NameHash, name_hash, rendezvous_score, weighted_score};
pub use replica::{Delta, Feed, Item, Mark, Replica};
pub use retries::{RetryBounds, RetryBudgets};
pub use retry_after::rate_retry_after;
pub use signal::{LoopTicks, SignalWindow};
pub use stopping::StopSchedule;
pub use table::{
    Access, Customer, KeyHash, RequestLimits, Route, Service, Table, TableIndex, WeightedService,
    key_hash,
};
pub(crate) use target_limit::TargetLimit;
pub use target_limit::{LimitNotice, LimitShare};
pub use token_queue::{Ticket, TokenQueue};
pub use vm_record::{Liveness, VmRecord};
