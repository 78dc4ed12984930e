//! Failures of the store.

use macro_rules_attribute::apply;

use crate::common::plain;

/// How a call to the store failed.
#[apply(plain!)]
pub enum StoreFault {
    /// The condition of a write did not hold.
    Conflict,
    /// The call did not reach the store.
    Unreachable,
    /// The call may have taken effect.
    Unknown,
    /// The store refused the call or its answer can't be read.
    Invalid,
}

/// A failed call to the store.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} {path} at store {peer}: {cause}")]
pub struct StoreError {
    /// What was being done.
    pub step: &'static str,
    /// The path.
    pub path: String,
    /// The store's address.
    pub peer: String,
    /// How it failed.
    pub fault: StoreFault,
    /// The cause in words.
    pub cause: String,
}
