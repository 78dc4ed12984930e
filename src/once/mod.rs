//! At-most-once execution of requests with an idempotency key.
//!
//! The key is claimed in the platform's store before the request is sent to a target, and the claim
//! records how the request ended. Retries with the same key, through any entry VM, find the claim
//! and get the stored response instead of a second run.

mod claim_store;
mod claims;

pub use claim_store::{ClaimError, ClaimStore};
pub use claims::{Claim, ClaimOutcome, ClaimState, Claims, IdempotencyKey, Reply, keeps_body};
