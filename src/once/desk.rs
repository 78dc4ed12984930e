//! Claims over the store, grouped: what arrives for a shard while a write is under way goes into
//! the next one.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::model::Account;
use crate::store::{Precondition, Revision, Store, StoreError, StoreErrorKind};

use super::{Claim, ClaimState, Claims, OnceKey, Verdict};

/// Pause after a failed try.
const PAUSE: Duration = Duration::from_millis(50);
/// Pause after a write that lost a race; a stale read loses it again and again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(5);
/// Tries for a claim; a caller waits for it.
const CLAIM_TRIES: u32 = 4;
/// Tries to record an end; nobody waits for it.
const SETTLE_TRIES: u32 = 2_000;

/// A claim that failed. No byte of the request was sent, and none will be.
#[derive(Clone, Debug, thiserror::Error)]
#[error("claim key: {cause}")]
pub struct DeskError {
    /// The store's error.
    pub cause: String,
}

#[derive(Debug)]
enum Change {
    Claim(Claim, oneshot::Sender<Result<Verdict, DeskError>>),
    Settle(String, ClaimState),
    Release(String),
}

#[derive(Debug)]
struct Pending {
    key: OnceKey,
    change: Change,
    tries: u32,
}

/// What was last seen of a shard.
#[derive(Clone, Debug, Default)]
struct Seen {
    claims: Claims,
    revision: Option<Revision>,
}

/// The desk at which keys are claimed.
pub struct Desk {
    store: Arc<dyn Store>,
    clock: fn() -> u64,
    queues: Mutex<HashMap<String, Vec<Pending>>>,
    open: AtomicU64,
    writes: AtomicU64,
}

impl Desk {
    /// A desk over `store`; `clock` gives seconds since 1970.
    pub fn new(store: Arc<dyn Store>, clock: fn() -> u64) -> Arc<Self> {
        let (open, writes) = (AtomicU64::new(0), AtomicU64::new(0));
        Arc::new(Self { store, clock, queues: Mutex::default(), open, writes })
    }

    /// Changes that are not yet in the store.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Writes sent to the store.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Claims `key`.
    ///
    /// # Errors
    /// Fails if the store gives no answer. The claim may stand, but is given back as soon as the
    /// store answers again.
    pub async fn claim(
        self: &Arc<Self>,
        account: &Account,
        key: &OnceKey,
        claim: Claim,
    ) -> Result<Verdict, DeskError> {
        let (sender, receiver) = oneshot::channel();
        self.push(account, key, Change::Claim(claim, sender));
        receiver.await.unwrap_or_else(|_| Err(DeskError { cause: "the desk closed".to_owned() }))
    }

    /// Records the end of an attempt, in the background.
    pub fn settle(
        self: &Arc<Self>,
        account: &Account,
        key: &OnceKey,
        nonce: &str,
        end: ClaimState,
    ) {
        self.push(account, key, Change::Settle(nonce.to_owned(), end));
    }

    /// Gives back the key of an attempt that never reached a target, in the background.
    pub fn release(self: &Arc<Self>, account: &Account, key: &OnceKey, nonce: &str) {
        self.push(account, key, Change::Release(nonce.to_owned()));
    }

    fn push(self: &Arc<Self>, account: &Account, key: &OnceKey, change: Change) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let path = key.path(account);
        let pending = Pending { key: key.clone(), change, tries: 0 };
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(&path) {
            queue.push(pending);
            return;
        }
        queues.insert(path.clone(), vec![pending]);
        let desk = self.clone();
        tokio::spawn(async move { desk.work(path).await });
    }

    /// Carries out the changes of one shard until there are none left.
    async fn work(&self, path: String) {
        let mut seen: Option<Seen> = None;
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
            let failed = match self.commit(&path, &mut seen, &batch).await {
                Ok(verdicts) => {
                    self.answer(&path, batch, verdicts);
                    continue;
                }
                Err(e) => e,
            };
            seen = None;
            self.retry_later(&path, batch, &failed);
            let pause =
                if failed.kind == StoreErrorKind::Conflict { CONFLICT_PAUSE } else { PAUSE };
            tokio::time::sleep(pause).await;
        }
    }

    /// Writes one batch; returns the verdicts of its claims by place.
    async fn commit(
        &self,
        path: &str,
        seen: &mut Option<Seen>,
        batch: &[Pending],
    ) -> Result<BTreeMap<usize, Verdict>, StoreError> {
        let base = match seen.take() {
            Some(base) => base,
            None => self.read(path).await?,
        };
        let mut claims = base.claims.clone();
        claims.prune((self.clock)());
        let mut verdicts = BTreeMap::new();
        for (place, pending) in batch.iter().enumerate() {
            match &pending.change {
                Change::Claim(claim, _) => {
                    verdicts.insert(place, claims.claim(&pending.key, claim));
                }
                Change::Settle(nonce, end) => claims.settle(&pending.key, nonce, end),
                Change::Release(nonce) => claims.release(&pending.key, nonce),
            }
        }
        let revision = match claims == base.claims {
            true => base.revision,
            false => Some(self.write(path, &claims, base.revision).await?),
        };
        *seen = Some(Seen { claims, revision });
        Ok(verdicts)
    }

    async fn read(&self, path: &str) -> Result<Seen, StoreError> {
        let Some(stored) = self.store.read(path).await? else { return Ok(Seen::default()) };
        let claims = serde_json::from_slice(&stored.value).map_err(|e| StoreError {
            step: "parse claims",
            path: path.to_owned(),
            peer: "store".to_owned(),
            kind: StoreErrorKind::Invalid,
            cause: e.to_string(),
        })?;
        Ok(Seen { claims, revision: Some(stored.revision) })
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

    /// Answers the claims of a batch. A claim whose caller has gone is given back.
    fn answer(&self, path: &str, batch: Vec<Pending>, mut verdicts: BTreeMap<usize, Verdict>) {
        let mut orphans = Vec::new();
        for (place, pending) in batch.into_iter().enumerate() {
            self.open.fetch_sub(1, Ordering::Relaxed);
            let Change::Claim(claim, sender) = pending.change else { continue };
            let Some(verdict) = verdicts.remove(&place) else { continue };
            if sender.send(Ok(verdict)).is_err() {
                let change = Change::Release(claim.nonce);
                orphans.push(Pending { key: pending.key, change, tries: 0 });
            }
        }
        self.open.fetch_add(orphans.len() as u64, Ordering::Relaxed);
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(path) {
            queue.append(&mut orphans);
        }
    }

    /// Puts a failed batch back. A claim that has failed too often is answered, and what may
    /// stand of it is given back.
    fn retry_later(&self, path: &str, batch: Vec<Pending>, error: &StoreError) {
        let mut kept = Vec::new();
        let conflict = error.kind == StoreErrorKind::Conflict;
        for mut pending in batch {
            pending.tries += u32::from(!conflict);
            let tries = pending.tries;
            match pending.change {
                Change::Claim(claim, sender) if tries >= CLAIM_TRIES || sender.is_closed() => {
                    let _ = sender.send(Err(DeskError { cause: error.to_string() }));
                    let change = Change::Release(claim.nonce);
                    kept.push(Pending { key: pending.key, change, tries: 0 });
                }
                _ if tries >= SETTLE_TRIES => {
                    self.open.fetch_sub(1, Ordering::Relaxed);
                    log::error!("once: A record is lost, its key stays unknown: {error}.");
                }
                change => kept.push(Pending { key: pending.key, change, tries }),
            }
        }
        let mut queues = self.queues.lock().expect("queues lock");
        if let Some(queue) = queues.get_mut(path) {
            kept.append(queue);
            *queue = kept;
        }
    }
}
