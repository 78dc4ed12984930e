//! Reads and writes claims in the platform's store, batched by shard: changes that arrive while a
//! write of their shard is in progress go into the next write.
//!
//! The node calls [`ClaimStore::claim`] before it sends a request, and [`ClaimStore::settle`] or
//! [`ClaimStore::release`] after it.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::model::Account;
use crate::store::{Precondition, Revision, Store, StoreError, StoreErrorKind};

use super::{Claim, ClaimOutcome, ClaimState, Claims, IdempotencyKey};

/// Pause before a retry after an error.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Pause before a retry after a conflicting write. Not 0: stale reads make the retries conflict, too.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(5);
/// Failed tries after which a claim is given up. Few, since a caller waits for the claim.
const CLAIM_TRIES_MAX: u32 = 4;
/// Failed tries after which a settlement or release is given up. Many, since no caller waits.
const UPDATE_TRIES_MAX: u32 = 2_000;

/// A claim that failed. No byte of the request was sent, and none will be.
#[derive(Clone, thiserror::Error)]
#[error("claim idempotency key: {cause}")]
pub struct ClaimError {
    /// The store's error.
    pub cause: String,
}

/// Request records contain this text, so it keeps the type's former name.
impl std::fmt::Debug for ClaimError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DeskError").field("cause", &self.cause).finish()
    }
}

/// A change of one claim. The `String`s are the nonces of attempts.
#[derive(Debug)]
enum Change {
    Claim(Claim, oneshot::Sender<Result<ClaimOutcome, ClaimError>>),
    Settle(String, ClaimState),
    Release(String),
}

/// A change that is not yet in the store.
#[derive(Debug)]
struct PendingChange {
    key: IdempotencyKey,
    change: Change,
    tries: u32,
}

/// A shard as it was last read or written.
#[derive(Clone, Debug, Default)]
struct Shard {
    claims: Claims,
    revision: Option<Revision>,
}

/// Claims of idempotency keys, kept in the platform's store.
pub struct ClaimStore {
    store: Arc<dyn Store>,
    clock: fn() -> u64,
    /// Changes that wait for the next write, by the path of their shard. A shard has an entry while
    /// a task processes it.
    queues: Mutex<HashMap<String, Vec<PendingChange>>>,
    pending: AtomicU64,
    writes: AtomicU64,
}

impl ClaimStore {
    /// Claims that are kept in `store`. `clock` returns seconds since 1970.
    pub fn new(store: Arc<dyn Store>, clock: fn() -> u64) -> Arc<Self> {
        let (pending, writes) = (AtomicU64::new(0), AtomicU64::new(0));
        Arc::new(Self { store, clock, queues: Mutex::default(), pending, writes })
    }

    /// The number of changes that are not yet in the store.
    pub fn pending(&self) -> u64 {
        self.pending.load(Ordering::Relaxed)
    }

    /// The number of writes sent to the store.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Claims `key` and waits until the claim is in the store.
    ///
    /// # Errors
    /// Fails if the store can't be read or written. The claim may then be stored, and is released once
    /// the store works again.
    pub async fn claim(
        self: &Arc<Self>,
        account: &Account,
        key: &IdempotencyKey,
        claim: Claim,
    ) -> Result<ClaimOutcome, ClaimError> {
        let (sender, receiver) = oneshot::channel();
        self.enqueue(account, key, Change::Claim(claim, sender));
        receiver
            .await
            .unwrap_or_else(|_| Err(ClaimError { cause: "the claim store has stopped".to_owned() }))
    }

    /// Records the end of an attempt, in the background.
    pub fn settle(
        self: &Arc<Self>,
        account: &Account,
        key: &IdempotencyKey,
        nonce: &str,
        end: ClaimState,
    ) {
        self.enqueue(account, key, Change::Settle(nonce.to_owned(), end));
    }

    /// Releases the claim of an attempt that never reached a target, in the background.
    pub fn release(self: &Arc<Self>, account: &Account, key: &IdempotencyKey, nonce: &str) {
        self.enqueue(account, key, Change::Release(nonce.to_owned()));
    }

    fn enqueue(self: &Arc<Self>, account: &Account, key: &IdempotencyKey, change: Change) {
        self.pending.fetch_add(1, Ordering::Relaxed);
        let path = key.path(account);
        let pending = PendingChange { key: key.clone(), change, tries: 0 };
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(&path) {
            queue.push(pending);
            return;
        }
        queues.insert(path.clone(), vec![pending]);
        let claim_store = self.clone();
        tokio::spawn(async move { claim_store.process_shard(path).await });
    }

    /// Writes the changes of one shard until there are none left.
    async fn process_shard(&self, path: String) {
        let mut cached: Option<Shard> = None;
        loop {
            let batch = {
                let mut queues = self.queues.lock().expect("queues lock");
                match queues.get_mut(&path) {
                    Some(queue) if !queue.is_empty() => std::mem::take(queue),
                    _ => {
                        queues.remove(&path);
                        return;
                    }
                }
            };
            let failed = match self.commit(&path, &mut cached, &batch).await {
                Ok(outcomes) => {
                    self.send_outcomes(&path, batch, outcomes);
                    continue;
                }
                Err(e) => e,
            };
            cached = None;
            self.requeue(&path, batch, &failed);
            let backoff = if failed.kind == StoreErrorKind::Conflict {
                CONFLICT_BACKOFF
            } else {
                RETRY_BACKOFF
            };
            tokio::time::sleep(backoff).await;
        }
    }

    /// Writes one batch. Returns the outcomes of its claims, by index in the batch.
    async fn commit(
        &self,
        path: &str,
        cached: &mut Option<Shard>,
        batch: &[PendingChange],
    ) -> Result<BTreeMap<usize, ClaimOutcome>, StoreError> {
        let base = match cached.take() {
            Some(base) => base,
            None => self.read(path).await?,
        };
        let mut claims = base.claims.clone();
        claims.prune((self.clock)());
        let mut outcomes = BTreeMap::new();
        for (index, pending) in batch.iter().enumerate() {
            match &pending.change {
                Change::Claim(claim, _) => {
                    outcomes.insert(index, claims.claim(&pending.key, claim));
                }
                Change::Settle(nonce, end) => claims.settle(&pending.key, nonce, end),
                Change::Release(nonce) => claims.release(&pending.key, nonce),
            }
        }
        let revision = match claims == base.claims {
            true => base.revision,
            false => Some(self.write(path, &claims, base.revision).await?),
        };
        *cached = Some(Shard { claims, revision });
        Ok(outcomes)
    }

    async fn read(&self, path: &str) -> Result<Shard, StoreError> {
        let Some(stored) = self.store.read(path).await? else { return Ok(Shard::default()) };
        let claims = serde_json::from_slice(&stored.value).map_err(|e| StoreError {
            step: "parse claims",
            path: path.to_owned(),
            peer: "store".to_owned(),
            kind: StoreErrorKind::Invalid,
            cause: e.to_string(),
        })?;
        Ok(Shard { claims, revision: Some(stored.revision) })
    }

    async fn write(
        &self,
        path: &str,
        claims: &Claims,
        revision: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let value = serde_json::to_vec(claims).expect("claims are always valid JSON");
        let expect = revision.map_or(Precondition::Absent, Precondition::Revision);
        self.store.write(path, Bytes::from(value), expect).await
    }

    /// Sends the outcomes of a written batch's claims. A claim whose caller has gone is released.
    fn send_outcomes(
        &self,
        path: &str,
        batch: Vec<PendingChange>,
        mut outcomes: BTreeMap<usize, ClaimOutcome>,
    ) {
        let mut abandoned = Vec::new();
        for (index, pending) in batch.into_iter().enumerate() {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let Change::Claim(claim, sender) = pending.change else { continue };
            let Some(outcome) = outcomes.remove(&index) else { continue };
            if sender.send(Ok(outcome)).is_err() {
                let change = Change::Release(claim.nonce);
                abandoned.push(PendingChange { key: pending.key, change, tries: 0 });
            }
        }
        self.pending.fetch_add(abandoned.len() as u64, Ordering::Relaxed);
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(path) {
            queue.append(&mut abandoned);
        }
    }

    /// Puts a failed batch back into its queue; conflicts don't count as failed tries. A claim that
    /// has failed too often, or whose caller has gone, gets an error and is released, since a failed
    /// write may be stored.
    fn requeue(&self, path: &str, batch: Vec<PendingChange>, error: &StoreError) {
        let mut kept = Vec::new();
        let conflict = error.kind == StoreErrorKind::Conflict;
        for mut pending in batch {
            pending.tries += u32::from(!conflict);
            let tries = pending.tries;
            match pending.change {
                Change::Claim(claim, sender) if tries >= CLAIM_TRIES_MAX || sender.is_closed() => {
                    let _ = sender.send(Err(ClaimError { cause: error.to_string() }));
                    let change = Change::Release(claim.nonce);
                    kept.push(PendingChange { key: pending.key, change, tries: 0 });
                }
                _ if tries >= UPDATE_TRIES_MAX => {
                    self.pending.fetch_sub(1, Ordering::Relaxed);
                    log::error!(
                        "once: Gave up settling or releasing a claim after {tries} tries, \
                         so its key stays claimed: {error}."
                    );
                }
                change => kept.push(PendingChange { key: pending.key, change, tries }),
            }
        }
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(path) {
            kept.append(queue);
            *queue = kept;
        }
    }
}
