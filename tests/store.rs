//! Conditional updates and claims over a store that loses answers, fails, and reads stale.

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
use shallotstall::model::{Account, Kind, Object, ObjectId};
use shallotstall::once::{Claim, ClaimState, Desk, OnceKey, Verdict};
use shallotstall::store::{
    Changes, MemoryStore, ObjectEdit, Precondition, Revision, Store, StoreError, StoreErrorKind,
    Stored, update_object,
};

/// A store in memory whose calls fail in every way, by a seed.
struct FaultyStore {
    inner: MemoryStore,
    rng: Mutex<SmallRng>,
    /// Values as they were some writes ago.
    old: Mutex<BTreeMap<String, Stored>>,
    faults: f64,
}

impl FaultyStore {
    fn new(seed: u64, faults: f64) -> Self {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Self { inner: MemoryStore::default(), rng, old: Mutex::default(), faults }
    }

    fn roll(&self) -> bool {
        self.rng.lock().expect("lock").random_bool(self.faults)
    }

    fn fail(&self, step: &'static str, path: &str, kind: StoreErrorKind) -> StoreError {
        let (path, peer) = (path.to_owned(), "faulty".to_owned());
        StoreError { step, path, peer, kind, cause: "on purpose".to_owned() }
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError> {
        tokio::task::yield_now().await;
        if self.roll() {
            return Err(self.fail("read", path, StoreErrorKind::Unreachable));
        }
        if self.roll() {
            return Ok(self.old.lock().expect("lock").get(path).cloned());
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
        if self.roll() {
            return Err(self.fail("write", path, StoreErrorKind::Unreachable));
        }
        if let Some(now) = self.inner.read(path).await? {
            self.old.lock().expect("lock").insert(path.to_owned(), now);
        }
        let outcome = self.inner.write(path, value, precondition).await;
        match self.roll() {
            true => Err(self.fail("write", path, StoreErrorKind::Unknown)),
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

    /// Writers add their names to a list. An accepted update is there exactly once, a refused one
    /// at most once, and each version has one content.
    #[test]
    fn an_accepted_update_takes_effect_once(seed in any::<u64>(), faults in 0.0f64..0.4) {
        runtime().block_on(async {
            let store = Arc::new(FaultyStore::new(seed, faults));
            let id = ObjectId::new(Kind::Drains, "fleet");
            let writes = (0..8).map(|writer| {
                let (store, id) = (store.clone(), id.clone());
                async move {
                    let name = format!("w{writer};");
                    let update = update_object(store.as_ref(), &id, &name, |object| {
                        let before = object.map_or("", |o| o.body.as_str());
                        Ok::<_, StoreError>(ObjectEdit::Write(format!("{before}{name}")))
                    });
                    (name.clone(), update.await)
                }
            });
            let outcomes = futures_util::future::join_all(writes).await;
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
            assert_eq!(versions.len(), count, "a version stands for one content");
        });
    }

    /// Desks of several VMs claim the same few keys. Each key is run by one attempt at most, and
    /// given away again only when that attempt never ran.
    #[test]
    fn a_key_is_run_by_one_attempt(seed in any::<u64>(), faults in 0.0f64..0.4) {
        runtime().block_on(async {
            let store = Arc::new(FaultyStore::new(seed, faults));
            let account = Account::new("desk", "a");
            let desks: Vec<Arc<Desk>> = (0..3).map(|_| Desk::new(store.clone(), || 1_000)).collect();
            let runs: Arc<Mutex<BTreeMap<usize, u32>>> = Arc::default();
            let next = Arc::new(AtomicU64::new(0));
            let attempts = (0..24usize).map(|number| {
                let (desk, account) = (desks[number % 3].clone(), account.clone());
                let (runs, next) = (runs.clone(), next.clone());
                async move {
                    let key = number % 4;
                    let once = OnceKey::new(&account, &key.to_string());
                    let nonce = format!("n{}", next.fetch_add(1, Ordering::Relaxed));
                    let claim = Claim {
                        nonce: nonce.clone(),
                        vm: "vm".into(),
                        incarnation: 1,
                        at: 1_000,
                        request: "same".to_owned(),
                        state: ClaimState::Claimed,
                    };
                    if let Ok(Verdict::Mine) = desk.claim(&account, &once, claim).await {
                        // Every third attempt fails before a byte is sent.
                        if number % 3 == 0 {
                            desk.release(&account, &once, &nonce);
                        } else {
                            *runs.lock().expect("lock").entry(key).or_default() += 1;
                            desk.settle(&account, &once, &nonce, ClaimState::Unknown);
                        }
                    }
                }
            });
            futures_util::future::join_all(attempts).await;
            for (key, count) in runs.lock().expect("lock").iter() {
                assert!(*count <= 1, "key {key} ran {count} times");
            }
            while desks.iter().any(|d| d.open() > 0) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
}

/// Claims that arrive while a write is under way share the next one.
#[test]
fn claims_of_a_shard_share_writes() {
    runtime().block_on(async {
        let store: Arc<dyn Store> = Arc::new(MemoryStore::default());
        let desk = Desk::new(store, || 1_000);
        let account = Account::new("desk", "a");
        let claims = (0..200).map(|n| {
            let (desk, account) = (desk.clone(), account.clone());
            async move {
                let key = OnceKey::new(&account, "one shard");
                let claim = Claim {
                    nonce: format!("n{n}"),
                    vm: "vm".into(),
                    incarnation: 1,
                    at: 1_000,
                    request: "same".to_owned(),
                    state: ClaimState::Claimed,
                };
                desk.claim(&account, &key, claim).await.expect("a verdict")
            }
        });
        let verdicts = futures_util::future::join_all(claims).await;
        assert_eq!(verdicts.iter().filter(|v| **v == Verdict::Mine).count(), 1);
        assert!(desk.writes() <= 2, "{} writes for 200 claims", desk.writes());
    });
}
