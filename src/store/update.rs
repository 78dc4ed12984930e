//! Updates of versioned objects in the store.
//!
//! The version of an object only rises, also over a deletion. Each update has an operation name
//! that is stored with the object. If the response of a write is lost, the update reads the object
//! again and looks for its operation to learn whether the write took effect.

use std::time::Duration;

use bytes::Bytes;

use super::{CONFIG_PREFIX, Precondition, Revision, Store, StoreError, StoreErrorKind};
use crate::model::{Object, ObjectId, Operation};

/// Attempts of one update, each a read and a write.
const MAX_ATTEMPTS: u32 = 6;
/// Latest operations kept in an object. More than other writers can add between a write whose
/// response was lost and the read that looks for it.
const MAX_OPERATIONS: usize = 32;
/// Delay before the second attempt; it doubles before each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// What an update does to an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectEdit {
    /// Replace the body by this one.
    Write(String),
    /// Mark the object as deleted. It stays stored, so that its version keeps rising.
    Delete,
    /// Write nothing.
    Keep,
}

/// The result of an update.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateResult {
    /// The object after the update, if there is one.
    pub object: Option<Object>,
    /// The version that this update wrote; `None` if it wrote nothing.
    pub version: Option<u64>,
}

/// Reads the object `id`, also if it is marked as deleted.
///
/// # Errors
/// Fails if the store can't be read, or if the stored value isn't an object.
pub async fn read_object(
    store: &dyn Store,
    id: &ObjectId,
) -> Result<Option<(Object, Revision)>, StoreError> {
    let path = path_of(id);
    let Some(stored) = store.read(&path).await? else { return Ok(None) };
    let object: Object = serde_json::from_slice(&stored.value).map_err(|e| StoreError {
        step: "parse object",
        path,
        peer: "store".to_owned(),
        kind: StoreErrorKind::Invalid,
        cause: e.to_string(),
    })?;
    Ok(Some((object, stored.revision)))
}

/// Updates the object `id`: `change` gets the current object and returns what to write, or an error
/// that ends the update. It is called again on further attempts, such as after a conflicting write.
/// `operation` must be unique for this update; a write whose response was lost is found by it.
///
/// # Errors
/// The first error of `change`, the first error of the store that isn't transient, or the last error
/// of the store when all attempts failed.
pub async fn update_object<E: From<StoreError>>(
    store: &dyn Store,
    id: &ObjectId,
    operation: &str,
    mut change: impl FnMut(Option<&Object>) -> Result<ObjectEdit, E>,
) -> Result<UpdateResult, E> {
    let mut backoff = INITIAL_BACKOFF;
    let mut attempt = 1;
    loop {
        match try_update(store, id, operation, &mut change).await {
            Err(UpdateError::Store(e)) if attempt < MAX_ATTEMPTS && is_transient(&e) => {
                attempt += 1;
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            Err(UpdateError::Store(e)) => return Err(e.into()),
            Err(UpdateError::Change(e)) => return Err(e),
            Ok(updated) => return Ok(updated),
        }
    }
}

enum UpdateError<E> {
    Store(StoreError),
    /// An error of the caller's `change`.
    Change(E),
}

async fn try_update<E>(
    store: &dyn Store,
    id: &ObjectId,
    operation: &str,
    change: &mut impl FnMut(Option<&Object>) -> Result<ObjectEdit, E>,
) -> Result<UpdateResult, UpdateError<E>> {
    let current = read_object(store, id).await.map_err(UpdateError::Store)?;
    let (object, precondition) = match current {
        Some((object, revision)) => (Some(object), Precondition::Revision(revision)),
        None => (None, Precondition::Absent),
    };
    // An earlier attempt may have taken effect although its response was lost. Others may have
    // written since, so the operation need not be the latest.
    let applied = object.iter().flat_map(|o| &o.operations).find(|o| o.name == operation);
    if let Some(version) = applied.map(|o| o.version) {
        return Ok(UpdateResult { object, version: Some(version) });
    }
    let outcome = change(object.as_ref()).map_err(UpdateError::Change)?;
    let (body, deleted) = match outcome {
        ObjectEdit::Keep => return Ok(UpdateResult { object, version: None }),
        ObjectEdit::Write(body) => (body, false),
        ObjectEdit::Delete => (String::new(), true),
    };
    let (last, mut operations) = object.map_or((0, Vec::new()), |o| (o.version, o.operations));
    let version = last + 1;
    operations.push(Operation { name: operation.to_owned(), version });
    let excess = operations.len().saturating_sub(MAX_OPERATIONS);
    operations.drain(..excess);
    let next = Object { id: id.clone(), version, operations, deleted, body };
    let value = serde_json::to_vec(&next).expect("objects are always valid JSON");
    store
        .write(&path_of(id), Bytes::from(value), precondition)
        .await
        .map_err(UpdateError::Store)?;
    Ok(UpdateResult { object: Some(next), version: Some(version) })
}

fn path_of(id: &ObjectId) -> String {
    format!("{CONFIG_PREFIX}{id}")
}

/// True if another attempt can succeed: after a conflict too, since it reads the object again.
fn is_transient(error: &StoreError) -> bool {
    error.kind != StoreErrorKind::Invalid
}
