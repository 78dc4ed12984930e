//! Object updates and claims of idempotency keys, with a store that fails, loses responses and
//! returns stale values.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotstall::model::{Account, Object, ObjectId, ObjectKind};
use shallotstall::once::{Claim, ClaimOutcome, ClaimState, ClaimStore, IdempotencyKey};
use shallotstall::store::{
    Changes, MemoryStore, ObjectEdit, Precondition, Revision, Store, StoreError, StoreErrorKind,
    Stored, update_object,
};

/// A store in memory that injects random faults; the same seed gives the same faults.
struct FaultyStore {
    inner: MemoryStore,
    rng: Mutex<SmallRng>,
    /// The value of each path before its latest write, for stale reads.
    previous: Mutex<BTreeMap<String, Stored>>,
    /// Probability of each fault.
    fault_ratio: f64,
}

impl FaultyStore {
    fn new(seed: u64, fault_ratio: f64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { inner: MemoryStore::default(), rng, previous: Mutex::default(), fault_ratio }
    }

    /// Returns true if a fault is to be injected.
    fn has_fault(&self) -> bool {
        self.rng.lock().expect("lock").random_bool(self.fault_ratio)
    }

    fn error(&self, step: &'static str, path: &str, kind: StoreErrorKind) -> StoreError {
        let (path, peer) = (path.to_owned(), "faulty".to_owned());
        StoreError { step, path, peer, kind, cause: "injected fault".to_owned() }
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError> {
        tokio::task::yield_now().await;
        if self.has_fault() {
            return Err(self.error("read", path, StoreErrorKind::Unreachable));
        }
        if self.has_fault() {
            return Ok(self.previous.lock().expect("lock").get(path).cloned());
        }
        self.inner.read(path).await
    }

    async fn write(
        &self,
        path: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<Revision, StoreError> {
        tokio::task::yield_now().await;
        if self.has_fault() {
            return Err(self.error("write", path, StoreErrorKind::Unreachable));
        }
        if let Some(current) = self.inner.read(path).await? {
            self.previous.lock().expect("lock").insert(path.to_owned(), current);
        }
        let outcome = self.inner.write(path, value, precondition).await;
        match self.has_fault() {
            true => Err(self.error("write", path, StoreErrorKind::Unknown)),
            false => outcome,
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        _: Duration,
    ) -> Result<Changes, StoreError> {
        Ok(self.inner.changes(prefix, after))
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Concurrent writers append their names to an object. A retry after a lost response must not
    /// append a name twice: a successful update is there exactly once, a failed one at most once,
    /// and no two updates get the same version.
    #[test]
    fn an_accepted_update_takes_effect_once(seed in any::<u64>(), fault_ratio in 0.0f64..0.4) {
        runtime().block_on(async {
            let store = Arc::new(FaultyStore::new(seed, fault_ratio));
            let id = ObjectId::new(ObjectKind::Drains, "fleet");
            let updates = (0..8).map(|writer| {
                let (store, id) = (store.clone(), id.clone());
                async move {
                    let name = format!("w{writer};");
                    let update = update_object(store.as_ref(), &id, &name, |object| {
                        let names = object.map_or("", |o| o.body.as_str());
                        Ok::<_, StoreError>(ObjectEdit::Write(format!("{names}{name}")))
                    });
                    (name.clone(), update.await)
                }
            });
            let outcomes = futures_util::future::join_all(updates).await;
            let stored = store.inner.read("config/drains/fleet").await.expect("a read");
            let text = stored.map_or(String::new(), |s| {
                let object: Object = serde_json::from_slice(&s.value).expect("an object");
                object.body
            });
            let mut versions = Vec::new();
            for (name, outcome) in outcomes {
                let found = text.matches(&name).count();
                match outcome {
                    Ok(updated) => {
                        assert_eq!(found, 1, "{name} in {text}");
                        versions.push(updated.version.expect("a version"));
                    }
                    Err(_) => assert!(found <= 1, "{name} in {text}"),
                }
            }
            let count = versions.len();
            versions.sort_unstable();
            versions.dedup();
            assert_eq!(versions.len(), count, "each update has its own version");
        });
    }

    /// Several VMs claim the same few idempotency keys while the store fails. Two of them must not
    /// both get a claim: each key is run by at most one attempt. A key can be claimed again only if
    /// the attempt before has released it without running.
    #[test]
    fn a_key_is_run_by_one_attempt(seed in any::<u64>(), fault_ratio in 0.0f64..0.4) {
        runtime().block_on(async {
            let store = Arc::new(FaultyStore::new(seed, fault_ratio));
            let account = Account::new("desk", "a");
            let claim_stores: Vec<Arc<ClaimStore>> = (0..3).map(|_| ClaimStore::new(store.clone(), || 1_000)).collect();
            let runs: Arc<Mutex<BTreeMap<usize, u32>>> = Arc::default();
            let next = Arc::new(AtomicU64::new(0));
            let attempts = (0..24usize).map(|number| {
                let (claim_store, account) = (claim_stores[number % 3].clone(), account.clone());
                let (runs, next) = (runs.clone(), next.clone());
                async move {
                    let key_number = number % 4;
                    let key = IdempotencyKey::new(&account, &key_number.to_string());
                    let nonce = format!("n{}", next.fetch_add(1, Ordering::Relaxed));
                    let claim = Claim {
                        nonce: nonce.clone(),
                        vm: "vm".into(),
                        incarnation: 1,
                        at: 1_000,
                        request: "same".to_owned(),
                        state: ClaimState::Claimed,
                    };
                    if let Ok(ClaimOutcome::Mine) = claim_store.claim(&account, &key, claim).await {
                        // Every third attempt fails before anything is sent and releases its claim.
                        if number % 3 == 0 {
                            claim_store.release(&account, &key, &nonce);
                        } else {
                            *runs.lock().expect("lock").entry(key_number).or_default() += 1;
                            claim_store.settle(&account, &key, &nonce, ClaimState::Unknown);
                        }
                    }
                }
            });
            futures_util::future::join_all(attempts).await;
            for (key_number, count) in runs.lock().expect("lock").iter() {
                assert!(*count <= 1, "key {key_number} ran {count} times");
            }
            while claim_stores.iter().any(|d| d.pending() > 0) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
}

/// Claims of one shard that arrive during a write must be batched into the next write.
#[test]
fn claims_of_a_shard_share_writes() {
    runtime().block_on(async {
        let store: Arc<dyn Store> = Arc::new(MemoryStore::default());
        let claim_store = ClaimStore::new(store, || 1_000);
        let account = Account::new("desk", "a");
        let claims = (0..200).map(|n| {
            let (claim_store, account) = (claim_store.clone(), account.clone());
            async move {
                let key = IdempotencyKey::new(&account, "one shard");
                let claim = Claim {
                    nonce: format!("n{n}"),
                    vm: "vm".into(),
                    incarnation: 1,
                    at: 1_000,
                    request: "same".to_owned(),
                    state: ClaimState::Claimed,
                };
                claim_store.claim(&account, &key, claim).await.expect("an outcome")
            }
        });
        let outcomes = futures_util::future::join_all(claims).await;
        assert_eq!(outcomes.iter().filter(|v| **v == ClaimOutcome::Mine).count(), 1);
        assert!(claim_store.writes() <= 2, "{} writes for 200 claims", claim_store.writes());
    });
}
