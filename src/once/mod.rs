//! Requests that run at most once: a key is claimed in the store before the request is sent.

mod claims;
mod desk;

pub use claims::{Claim, ClaimState, Claims, OnceKey, Reply, Verdict, keeps_body};
pub use desk::{Desk, DeskError};
