//! Errors of calls to the store, classified by whether the call can have taken effect.

use macro_rules_attribute::apply;

use crate::common::plain;

/// The kinds of store errors, by what they say about the effect of the call.
#[apply(plain!)]
pub enum StoreErrorKind {
    /// The precondition of a write did not hold; nothing was written.
    Conflict,
    /// The call did not reach the store, so it had no effect.
    Unreachable,
    /// The call was sent but its result is not known; a write may have taken effect.
    Unknown,
    /// The store rejected the call, or a value or a list of changes that it returned can't be
    /// parsed. Repeating the call doesn't help.
    Invalid,
}

/// A failed call to the store.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} {path} at store {peer}: {cause}")]
pub struct StoreError {
    /// The step that failed, such as `read` or `write`.
    pub step: &'static str,
    /// The path of the value, or the prefix of a watch.
    pub path: String,
    /// The store's address.
    pub peer: String,
    /// The kind of the error.
    pub kind: StoreErrorKind,
    /// The cause as text.
    pub cause: String,
}
