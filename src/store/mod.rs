//! The platform's object store, as this system uses it: reads, conditional writes and watches.

mod error;
mod http;
mod memory;
mod update;

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use macro_rules_attribute::apply;

use crate::common::record;

pub use error::{StoreError, StoreFault};
pub use http::HttpStore;
pub use memory::MemoryStore;
pub use update::{Outcome, Updated, read_object, update_object};

/// Prefix of the paths of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// The store's own version of a value; differs after each write.
pub type Revision = u64;

/// A value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The value.
    pub value: Bytes,
    /// Its revision.
    pub revision: Revision,
}

/// What must be true for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Nothing is stored at the path.
    Absent,
    /// The stored value has this revision.
    Revision(Revision),
}

/// A changed path.
#[apply(record!)]
#[derive(Eq)]
pub struct Change {
    /// The path.
    pub path: String,
    /// Its revision now.
    pub revision: Revision,
}

/// What changed since a revision.
#[apply(record!)]
#[derive(Eq, Default)]
pub struct Changes {
    /// The store's newest revision.
    pub revision: Revision,
    /// The changed paths.
    pub changes: Vec<Change>,
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the value at `path`; it may be stale.
    ///
    /// # Errors
    /// Fails if the store can't be reached or gives no answer.
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError>;

    /// Writes `value` if `expect` holds, and returns the new revision.
    ///
    /// # Errors
    /// [`StoreFault::Conflict`] if `expect` doesn't hold; [`StoreFault::Unknown`] if the write may
    /// have taken effect; otherwise nothing was written.
    async fn write(&self, path: &str, value: Bytes, expect: Expect)
    -> Result<Revision, StoreError>;

    /// Waits at most `wait` for changes below `prefix` after the revision `after`.
    ///
    /// # Errors
    /// Fails if the store can't be reached or gives no answer.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;
}
