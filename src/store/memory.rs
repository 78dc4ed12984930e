//! A [`Store`] in memory, used by the store stand-in and by tests.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;

use super::{Change, Changes, Precondition, Revision, Store, StoreError, StoreErrorKind, Stored};

/// A store in memory. Every write is conditional and atomic.
#[derive(Debug)]
pub struct MemoryStore {
    values: Mutex<BTreeMap<String, Stored>>,
    /// The newest revision. It is sent after the value is stored, so that a woken watch finds it.
    revision: watch::Sender<Revision>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self { values: Mutex::default(), revision: watch::Sender::new(0) }
    }
}

impl MemoryStore {
    /// Returns the changes below `prefix` after the revision `after`, without waiting.
    pub fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let values = self.values.lock().expect("store lock");
        let changes = values
            .range(prefix.to_owned()..)
            .take_while(|(path, _)| path.starts_with(prefix))
            .filter(|(_, stored)| stored.revision > after)
            .map(|(path, stored)| Change { path: path.clone(), revision: stored.revision })
            .collect();
        Changes { revision: *self.revision.borrow(), changes }
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError> {
        Ok(self.values.lock().expect("store lock").get(path).cloned())
    }

    async fn write(
        &self,
        path: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<Revision, StoreError> {
        let mut values = self.values.lock().expect("store lock");
        let met = match (precondition, values.get(path)) {
            (Precondition::Absent, None) => true,
            (Precondition::Revision(r), Some(stored)) => stored.revision == r,
            _ => false,
        };
        if !met {
            return Err(StoreError {
                step: "write",
                path: path.to_owned(),
                peer: "memory".to_owned(),
                kind: StoreErrorKind::Conflict,
                cause: "precondition failed: another writer changed the value".to_owned(),
            });
        }
        let revision = *self.revision.borrow() + 1;
        values.insert(path.to_owned(), Stored { value, revision });
        self.revision.send_replace(revision);
        Ok(revision)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut newest = self.revision.subscribe();
        let changed = async {
            loop {
                let changes = self.changes(prefix, after);
                if !changes.changes.is_empty() {
                    return changes;
                }
                if newest.changed().await.is_err() {
                    return changes;
                }
            }
        };
        match tokio::time::timeout(wait, changed).await {
            Ok(changes) => Ok(changes),
            Err(_) => Ok(self.changes(prefix, after)),
        }
    }
}
