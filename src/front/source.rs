//! The interface to a platform: its store and its header names. A platform adapter implements it.

use std::time::Duration;

use async_trait::async_trait;
use http::HeaderName;

use crate::model::VmId;
use crate::steer::{Delta, Feed, Mark, VmRecord};

/// A failed request to the platform's store.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub struct SourceError {
    /// The step that failed.
    pub step: &'static str,
    /// Address of the store.
    pub peer: String,
    /// The cause, for logs.
    pub cause: String,
    /// True if the store has compacted the requested changes, or was restored since their mark: the feed
    /// must be listed again.
    pub compacted: bool,
}

/// The platform's store, read and written in this crate's types.
#[async_trait]
pub trait Source: Send + Sync + 'static {
    /// Lists all objects of a feed.
    ///
    /// # Errors
    /// Fails if the store doesn't respond or responds with an error.
    async fn list(&self, feed: Feed) -> Result<Delta, SourceError>;

    /// Waits at most `wait` for changes after `mark`.
    ///
    /// # Errors
    /// Fails if the store doesn't respond, responds with an error, has compacted the changes, or is not in
    /// the mark's era.
    async fn changes(&self, feed: Feed, mark: Mark, wait: Duration) -> Result<Delta, SourceError>;

    /// Writes the record of an entry VM. Returns true if it replaced an existing one.
    ///
    /// # Errors
    /// Fails if the store doesn't respond or responds with an error; the record may be written.
    async fn announce(&self, vm: &VmId, record: &VmRecord) -> Result<bool, SourceError>;
}

/// Names of the headers that callers, fronts and targets exchange.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of the caller's attempt; a target's response echoes it.
    pub attempt: HeaderName,
    /// Time left until the request's deadline, in milliseconds, set by the caller and by the front.
    pub deadline: HeaderName,
    /// The cookie that holds a request's affinity key.
    pub affinity_cookie: String,
    /// The scheme before the API key in `Authorization`.
    pub key_scheme: String,
    /// The customer's id, set by the front for the target.
    pub customer: HeaderName,
    /// Id of the target that a request is sent to, set by the front.
    pub target: HeaderName,
    /// In a target's response: the target has not run the request.
    pub not_run: HeaderName,
    /// In a target's response: the target leaves. Any of these names says so.
    pub leaving: Vec<HeaderName>,
    /// In a target's response: the requests per second that it takes from all entry VMs together, under
    /// any of these names.
    pub limit: Vec<HeaderName>,
    /// In a target's response: proof that the target itself produced it.
    pub seal: HeaderName,
    /// In a target's response: running requests, queued requests and slots.
    pub load: HeaderName,
    /// In a health check's response: the target's id.
    pub instance: HeaderName,
    /// In a health check's response: remaining cold-start time, in milliseconds.
    pub cold: HeaderName,
}
