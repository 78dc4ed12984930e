//! Requests that run at most once: a key is claimed in the store before the request is sent.

mod claims;
mod desk;

pub use claims::{Claim, ClaimOutcome, ClaimState, Claims, IdempotencyKey, Reply, keeps_body};
pub use desk::{ClaimError, ClaimStore};
