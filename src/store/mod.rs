//! The platform's object store: reads, conditional writes and watches.
//!
//! [`Store`] is the interface; [`HttpStore`] calls the platform and [`MemoryStore`] serves the
//! stand-in and tests. [`update_object`] changes a versioned object so that a lost response can't
//! apply the change twice.

mod error;
mod http;
mod memory;
mod update;

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use macro_rules_attribute::apply;

use crate::common::record;

pub use error::{StoreError, StoreErrorKind};
pub use http::HttpStore;
pub use memory::MemoryStore;
pub use update::{ObjectEdit, UpdateResult, read_object, update_object};

/// Prefix of the paths of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// A revision that the store assigns to each write; revisions rise over the whole store.
pub type Revision = u64;

/// A value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The value.
    pub value: Bytes,
    /// The revision of the write that stored it.
    pub revision: Revision,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Nothing is stored at the path (`If-None-Match: *`).
    Absent,
    /// The stored value has this revision (`If-Match`).
    Revision(Revision),
}

/// A path whose value changed.
#[apply(record!)]
#[derive(Eq)]
pub struct Change {
    /// The path.
    pub path: String,
    /// The revision of its current value.
    pub revision: Revision,
}

/// The result of a watch: the paths that changed after a revision.
#[apply(record!)]
#[derive(Eq, Default)]
pub struct Changes {
    /// The newest revision of the store; the next watch continues after it.
    pub revision: Revision,
    /// The changed paths.
    pub changes: Vec<Change>,
}

/// A store of values by path, each with a revision.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the value at `path`. The value may be stale; a conditional write detects that.
    ///
    /// # Errors
    /// Fails if the store can't be reached, doesn't respond, or responds with an error.
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError>;

    /// Writes `value` if `precondition` holds, and returns the new revision.
    ///
    /// # Errors
    /// [`StoreErrorKind::Conflict`] if `precondition` doesn't hold; [`StoreErrorKind::Unknown`] if
    /// the write may have taken effect; otherwise nothing was written.
    async fn write(
        &self,
        path: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<Revision, StoreError>;

    /// Waits at most `wait` for changes below `prefix` after the revision `after`.
    ///
    /// # Errors
    /// Fails if the store can't be reached, doesn't respond, or responds with an error.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;
}
