//! Versioned objects over the store: versions only rise, and a lost answer is settled by reading
//! back.

use std::time::Duration;

use bytes::Bytes;

use super::{CONFIG_PREFIX, Expect, Revision, Store, StoreError, StoreFault};
use crate::model::{Object, ObjectId, Operation};

/// Tries to settle one write.
const ATTEMPTS: u32 = 6;
/// Operations that an object remembers; more than can come between a write and its settling.
const OPERATIONS: usize = 32;
/// Pause before the second try; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// The new content of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Write this body.
    Write(String),
    /// Delete the object; its version goes on rising.
    Delete,
    /// Leave the object as it is.
    Keep,
}

/// The object after an update.
#[derive(Clone, Debug, PartialEq)]
pub struct Updated {
    /// The object as it now stands, if there is one.
    pub object: Option<Object>,
    /// The version that this update wrote; none if nothing had to be changed.
    pub version: Option<u64>,
}

/// Reads the object `id`, deleted or not.
///
/// # Errors
/// Fails if the store gives no answer, or if the value isn't an object.
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
        fault: StoreFault::Invalid,
        cause: e.to_string(),
    })?;
    Ok(Some((object, stored.revision)))
}

/// Changes the object `id` by `change`, which sees the current object and may refuse. `operation`
/// names this update; an update whose answer was lost is recognised by it.
///
/// # Errors
/// The first error of `change`, or the store's error when the write can't be settled.
pub async fn update_object<E: From<StoreError>>(
    store: &dyn Store,
    id: &ObjectId,
    operation: &str,
    mut change: impl FnMut(Option<&Object>) -> Result<Outcome, E>,
) -> Result<Updated, E> {
    let mut pause = FIRST_PAUSE;
    let mut attempt = 1;
    loop {
        match try_update(store, id, operation, &mut change).await {
            Err(Failure::Store(e)) if attempt < ATTEMPTS && is_transient(&e) => {
                attempt += 1;
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            Err(Failure::Store(e)) => return Err(e.into()),
            Err(Failure::Refused(e)) => return Err(e),
            Ok(updated) => return Ok(updated),
        }
    }
}

enum Failure<E> {
    Store(StoreError),
    Refused(E),
}

async fn try_update<E>(
    store: &dyn Store,
    id: &ObjectId,
    operation: &str,
    change: &mut impl FnMut(Option<&Object>) -> Result<Outcome, E>,
) -> Result<Updated, Failure<E>> {
    let current = read_object(store, id).await.map_err(Failure::Store)?;
    let (object, expect) = match current {
        Some((object, revision)) => (Some(object), Expect::Revision(revision)),
        None => (None, Expect::Absent),
    };
    // Others may have written since the write whose answer was lost.
    let done = object.iter().flat_map(|o| &o.operations).find(|o| o.name == operation);
    if let Some(version) = done.map(|o| o.version) {
        return Ok(Updated { object, version: Some(version) });
    }
    let outcome = change(object.as_ref()).map_err(Failure::Refused)?;
    let (body, deleted) = match outcome {
        Outcome::Keep => return Ok(Updated { object, version: None }),
        Outcome::Write(body) => (body, false),
        Outcome::Delete => (String::new(), true),
    };
    let (last, mut operations) = object.map_or((0, Vec::new()), |o| (o.version, o.operations));
    let version = last + 1;
    operations.push(Operation { name: operation.to_owned(), version });
    let surplus = operations.len().saturating_sub(OPERATIONS);
    operations.drain(..surplus);
    let next = Object { id: id.clone(), version, operations, deleted, body };
    let value = serde_json::to_vec(&next).expect("objects are always valid JSON");
    store.write(&path_of(id), Bytes::from(value), expect).await.map_err(Failure::Store)?;
    Ok(Updated { object: Some(next), version: Some(version) })
}

/// The path of an object in the store.
fn path_of(id: &ObjectId) -> String {
    format!("{CONFIG_PREFIX}{id}")
}

fn is_transient(error: &StoreError) -> bool {
    error.fault != StoreFault::Invalid
}
