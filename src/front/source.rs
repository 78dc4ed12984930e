//! What a front asks of the platform; the adapter of a platform implements it.

use std::time::Duration;

use async_trait::async_trait;
use http::HeaderName;

use crate::model::VmId;
use crate::steer::{Delta, Feed, VmRecord};

/// A failed call of the platform.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub struct SourceError {
    /// What was being done.
    pub step: &'static str,
    /// The address called.
    pub peer: String,
    /// The cause in words.
    pub cause: String,
    /// True if the changes asked for are not kept any more, so that all has to be read anew.
    pub compacted: bool,
}

/// The platform's store, in the product's terms.
#[async_trait]
pub trait Source: Send + Sync + 'static {
    /// Reads a whole feed.
    ///
    /// # Errors
    /// Fails if the store gives no answer or refuses.
    async fn list(&self, feed: Feed) -> Result<Delta, SourceError>;

    /// Waits at most `wait` for changes after `mark`.
    ///
    /// # Errors
    /// Fails if the store gives no answer, refuses, or has forgotten the changes.
    async fn changes(&self, feed: Feed, mark: u64, wait: Duration) -> Result<Delta, SourceError>;

    /// Writes the entry of an entry VM. True if it has replaced an older one.
    ///
    /// # Errors
    /// Fails if the store gives no answer or refuses; the entry may have been written.
    async fn announce(&self, vm: &VmId, entry: &VmRecord) -> Result<bool, SourceError>;
}

/// The headers by which callers, fronts and targets speak of a request.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a caller's attempt; a target's answer repeats it.
    pub attempt: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// The cookie with the object that a request is about.
    pub object_cookie: String,
    /// The scheme before the key in `Authorization`.
    pub key_scheme: String,
    /// The customer's name, set for the target.
    pub customer: HeaderName,
    /// The target that a request is meant for.
    pub target: HeaderName,
    /// In a target's answer: it has not run the request.
    pub not_run: HeaderName,
    /// In a target's answer: a proof that it made the answer.
    pub seal: HeaderName,
    /// In a target's answer: running and waiting requests and slots.
    pub load: HeaderName,
    /// In a health check's answer: the target's id.
    pub instance: HeaderName,
    /// In a health check's answer: how long it stays cold, in milliseconds.
    pub cold: HeaderName,
}
