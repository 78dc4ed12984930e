//! Distributed rate limiting: all entry VMs together admit at most a customer's rate and burst at a
//! service. The pair of service and customer is an account.
//!
//! Each member (an entry VM on the roster) owns a [`Quota`], a share of the account's rate limit. In
//! normal operation all quotas of an account are lent to one [`Pool`] at its home under short
//! leases, and the pool grants tokens to members on demand ([`GrantedTokens`]). If a member or the
//! network fails, each quota is back with its owner once its loan has expired, so that a VM which is
//! cut off goes on with its own share. Messages may be lost, duplicated, delayed and reordered: tokens
//! are then lost or late, but never duplicated. This is the escrow method of distributed databases: a
//! quantity is divided in advance, so that no holder needs the others' consent to use its share.
//!
//! [`Escrow`] is the entry point, a state machine without I/O: the node calls it with the time,
//! requests and messages, and carries out the [`Action`]s that it returns.

mod account;
mod accounts;
mod bucket;
mod granted;
mod meter;
mod pool;
mod quota;
mod terms;

pub use account::AccountEscrow;
pub use accounts::{Escrow, IncomingNote};
pub use bucket::TokenBucket;
pub use granted::GrantedTokens;
pub use pool::Pool;
pub use quota::Quota;
pub use terms::{Action, Admission, AdmissionRequest, PeerStatus, RateLimit, Settings};
