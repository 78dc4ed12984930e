//! The state of a front: replicas of the store's feeds, and the steering types that are updated
//! from them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::model::{TargetId, VmId, ZoneId};
use crate::node::unix_millis;
use crate::peer::Identity;
use crate::steer::{
    Balancer, Delta, Feed, Fleet, Item, RateLimiter, Replica, RetryBudgets, Table, TableIndex,
    TokenPool, TokenQueue, VmRecord,
};
use crate::targets::CrashTracker;

use super::admission::TokenSender;
use super::config::FrontConfig;

/// Age of the routing table above which the next update counts as the end of a store outage, if reads of
/// the store have failed meanwhile.
const STORE_OUTAGE_AGE: Duration = Duration::from_millis(2_600);
/// Time after a store outage for which removals of targets are not trusted.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_300);

/// Time for which an evacuation holds that a restored store has lost.
const LOST_EVACUATION_TTL: Duration = Duration::from_secs(8);

/// Time after its start for which a new VM doesn't use its share of the rates, so that the others
/// can learn of it first.
const JOIN_DELAY: Duration = Duration::from_secs(5);
/// Time for which a VM's tokens should last; short, since the token leader is in the same zone
/// and a token that waits at one VM is missing at the others.
const VM_TOKEN_HORIZON: Duration = Duration::from_millis(100);
/// Time for which a zone's tokens should last; longer, since the pool may be in another region.
const ZONE_TOKEN_HORIZON: Duration = Duration::from_millis(700);
/// Fraction of each burst that a zone keeps in reserve.
const ZONE_BURST_FRACTION: f64 = 0.15;
/// Fraction of `bounds.rate_slack` that may be held as tokens beyond a burst.
const SLACK_FRACTION: f64 = 0.5;

/// Name of the only object in the routing table's feed.
const TABLE_NAME: &str = "main";

/// The steering types, behind one lock that is never held across an await.
pub(crate) struct SharedState {
    pub(crate) feeds: [Replica; 4],
    pub(crate) balancer: Balancer,
    pub(crate) fleet: Fleet,
    pub(crate) token_pool: TokenPool,
    /// This VM's tokens, and its share of every rate.
    pub(crate) limiter: RateLimiter,
    /// Requests that wait for this VM's tokens.
    pub(crate) waiting: TokenQueue<TokenSender>,
    /// Tokens for all VMs of the zone, while this VM is the token leader.
    pub(crate) zone_limiter: RateLimiter,
    pub(crate) retries: RetryBudgets,
    pub(crate) crashes: CrashTracker,
    /// Until then, removals of targets are not trusted: the records may come back.
    recovering_until: Duration,
    /// True once a read of the routing table has failed since it was last up to date. Other feeds are read so
    /// seldom that a failure may come from this VM's own standstill.
    pub(crate) reads_failed: bool,
    /// Evacuated zones that a restored store has lost, and until when they count all the same.
    lost_evacuations: BTreeMap<ZoneId, Duration>,
    /// Whether an earlier incarnation of this VM had a record in the store; none until known.
    rejoined: Option<bool>,
}

/// State of a front: the steering types behind a lock, and the routing table in force.
pub(crate) struct FrontState {
    locked: Mutex<SharedState>,
    index: ArcSwapOption<TableIndex>,
    /// True if a newer routing table than the one in force has come and can't be read.
    superseded: AtomicBool,
    /// Notified when the routing table is received again, or proven to be unchanged.
    pub(crate) table_proof: Notify,
}

/// What an update of a feed has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedDelta {
    /// The routing table's version, if the update brought a newer one.
    pub(crate) version: Option<u64>,
    /// True if the store was restored since the update before.
    pub(crate) restored: bool,
}

/// The version of a routing table, without its other parts.
#[derive(Deserialize)]
struct TableVersion {
    version: u64,
}

impl FrontState {
    pub(crate) fn new(config: &FrontConfig, now: Duration) -> Self {
        let regions: HashMap<ZoneId, _> =
            config.zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        let locked = SharedState {
            feeds: Default::default(),
            balancer: Balancer::new(regions),
            fleet: Fleet::new(config.vm.clone(), config.place(), config.zones.clone()),
            token_pool: TokenPool::new(config.bounds.rate_slack * SLACK_FRACTION),
            limiter: RateLimiter::new(now, VM_TOKEN_HORIZON, 0.0),
            waiting: TokenQueue::default(),
            zone_limiter: RateLimiter::new(now, ZONE_TOKEN_HORIZON, ZONE_BURST_FRACTION),
            retries: RetryBudgets::new(config.retry_bounds()),
            crashes: CrashTracker::default(),
            recovering_until: Duration::ZERO,
            reads_failed: false,
            lost_evacuations: BTreeMap::new(),
            rejoined: None,
        };
        Self {
            locked: Mutex::new(locked),
            index: ArcSwapOption::empty(),
            superseded: AtomicBool::new(false),
            table_proof: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.locked.lock().expect("state lock")
    }

    /// The routing table in force.
    pub(crate) fn index(&self) -> Option<Arc<TableIndex>> {
        self.index.load_full()
    }

    /// The routing table's age.
    pub(crate) fn table_age(&self, now: Duration) -> Option<Duration> {
        self.lock().feeds[Feed::Table as usize].age(now)
    }

    /// True if a newer routing table than the one in force has come and can't be read.
    pub(crate) fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// True if the feed's copy holds just these contents of these objects.
    pub(crate) fn holds(&self, feed: Feed, items: &[Item]) -> bool {
        let state = self.lock();
        let replica = &state.feeds[feed as usize];
        items.iter().all(|item| replica.get(&item.name) == item.body.as_ref())
    }

    /// Applies an update of a feed that was current at `as_of`.
    pub(crate) fn apply_delta(
        &self,
        now: Duration,
        feed: Feed,
        mut delta: Delta,
        as_of: Duration,
    ) -> AppliedDelta {
        let mut state = self.lock();
        // A VM that has stood still, or whose upstream was cut off, has an old table, too.
        let table_age = state.feeds[Feed::Table as usize].age(now);
        let outage = state.reads_failed && table_age.is_some_and(|age| age > STORE_OUTAGE_AGE);
        let restored = delta.full && state.feeds[feed as usize].is_restored_by(&delta);
        if outage || restored {
            state.recovering_until = now + RECOVERY_PERIOD;
        }
        if feed == Feed::Table {
            self.keep_newest_table(&state.feeds[feed as usize], &mut delta, restored);
        }
        if feed == Feed::Evacuations && restored {
            state.keep_lost_evacuations(now, &delta);
        }
        let changed = state.feeds[feed as usize].apply(delta, as_of);
        let table_age = state.feeds[Feed::Table as usize].age(now);
        if table_age.is_some_and(|age| age <= STORE_OUTAGE_AGE) {
            state.reads_failed = false;
        }
        let replica = &state.feeds[feed as usize];
        let with_body = |name: String| {
            let body = replica.get(&name).cloned();
            (name, body)
        };
        let bodies: Vec<(String, Option<Bytes>)> = changed.into_iter().map(with_body).collect();
        match feed {
            Feed::Table => {
                let index = self.apply_table(bodies);
                self.table_proof.notify_waiters();
                if let Some(index) = &index {
                    state.balancer.set_regional_demand(index.regional_demand());
                }
                let version = index.map(|index| index.table().version);
                return AppliedDelta { version, restored };
            }
            Feed::Targets => state.apply_targets(now, bodies, restored),
            Feed::Evacuations if !bodies.is_empty() => state.apply_evacuations(now),
            Feed::Evacuations => {}
            Feed::Vms => state.apply_vms(now, bodies, restored),
        }
        AppliedDelta { version: None, restored }
    }

    /// Puts the held routing table in place of an older one, or of none, which a restored store has until
    /// the operator writes the newer one again. Other VMs get it from here meanwhile.
    fn keep_newest_table(&self, held: &Replica, delta: &mut Delta, restored: bool) {
        let Some(version) = self.index.load().as_ref().map(|i| i.table().version) else { return };
        let Some(held) = held.get(TABLE_NAME) else { return };
        for body in delta.items.iter_mut().filter_map(|item| item.body.as_mut()) {
            let read: Option<TableVersion> = serde_json::from_slice(body).ok();
            if read.is_some_and(|read| read.version < version) {
                *body = held.clone();
            }
        }
        if restored && delta.items.is_empty() {
            let (name, revision) = (TABLE_NAME.to_owned(), delta.mark.revision);
            delta.items.push(Item { name, revision, body: Some(held.clone()) });
        }
    }

    /// Puts the received routing table in force if it is newer than the present one.
    fn apply_table(&self, bodies: Vec<(String, Option<Bytes>)>) -> Option<Arc<TableIndex>> {
        let (_, body) = bodies.into_iter().find(|(name, _)| name == TABLE_NAME)?;
        let table: Option<Table> = body.and_then(|b| decode("config", TABLE_NAME, &b));
        self.superseded.store(table.is_none(), Ordering::Relaxed);
        let table = table?;
        let version = table.version;
        let current = self.index.load().as_ref().map(|i| i.table().version);
        if current.is_some_and(|c| version <= c) {
            return None;
        }
        let index = Arc::new(TableIndex::new(table));
        self.index.store(Some(index.clone()));
        Some(index)
    }
}

impl SharedState {
    fn apply_targets(
        &mut self,
        now: Duration,
        bodies: Vec<(String, Option<Bytes>)>,
        restored: bool,
    ) {
        let confirmed = self.recovering_until <= now;
        for (name, body) in bodies {
            let id = TargetId::new(&name);
            match body.and_then(|b| decode("targets", &name, &b)) {
                Some(record) if restored => self.balancer.put_restored(now, id, record),
                Some(record) => self.balancer.put(now, id, record),
                None => self.balancer.remove(now, &id, confirmed),
            }
        }
    }

    fn apply_evacuations(&mut self, now: Duration) {
        let items = self.feeds[Feed::Evacuations as usize].items();
        let mut zones: BTreeSet<ZoneId> = items.map(|(name, _)| ZoneId::new(name)).collect();
        self.lost_evacuations.retain(|zone, _| !zones.contains(zone));
        zones.extend(self.lost_evacuations.keys().cloned());
        self.balancer.set_evacuated_zones(now, zones);
    }

    /// Keeps the evacuations that a restored store has lost: the operator writes them again.
    fn keep_lost_evacuations(&mut self, now: Duration, delta: &Delta) {
        let held = self.feeds[Feed::Evacuations as usize].items();
        let lost = held.filter(|(name, _)| delta.items.iter().all(|item| item.name != *name));
        let until = now + LOST_EVACUATION_TTL;
        self.lost_evacuations.extend(lost.map(|(name, _)| (ZoneId::new(name), until)));
    }

    /// Ends evacuations that a restored store has lost and that nobody has written again.
    pub(crate) fn expire_evacuations(&mut self, now: Duration) {
        let before = self.lost_evacuations.len();
        self.lost_evacuations.retain(|_, until| *until > now);
        if self.lost_evacuations.len() != before {
            self.apply_evacuations(now);
        }
    }

    /// Applies changes of the entry VMs' records. A record that a restored store has lost still holds, and
    /// so does one that has become older: its VM writes it again.
    fn apply_vms(&mut self, now: Duration, bodies: Vec<(String, Option<Bytes>)>, restored: bool) {
        for (name, body) in bodies {
            let vm = VmId::new(&name);
            let known = self.fleet.record(&vm).map(|known| known.incarnation);
            match body.and_then(|b| decode::<VmRecord>("vms", &name, &b)) {
                Some(record) if known.is_some_and(|known| known > record.incarnation) => {}
                Some(record) => self.fleet.put(vm, record),
                None if restored => {}
                None => self.fleet.remove(&vm),
            }
        }
        self.retries.set_share(self.fleet.own_share());
        let epoch = Duration::from_millis(unix_millis()).saturating_sub(now);
        self.balancer.set_limit_share(now, self.fleet.limit_share(epoch));
    }

    /// True if the store has this incarnation's record, as far as is known.
    pub(crate) fn has_record(&self, me: &Identity) -> bool {
        let body = self.feeds[Feed::Vms as usize].get(me.vm.as_str());
        let record = body.and_then(|b| decode::<VmRecord>("vms", me.vm.as_str(), b));
        record.is_some_and(|record| record.incarnation == me.incarnation)
    }

    /// Records whether an earlier incarnation of this VM had a record in the store. Only the first
    /// call counts.
    pub(crate) fn set_rejoined(&mut self, rejoined: bool) {
        self.rejoined.get_or_insert(rejoined);
    }

    /// Sets this VM's share of every customer's rate. A VM that has just joined uses its share only
    /// after the others know of it and have reduced theirs.
    pub(crate) fn update_share(&mut self, me: &Identity, start: Duration) {
        let Some(record) = self.fleet.record(&me.vm) else { return };
        if record.incarnation < me.incarnation {
            self.set_rejoined(true);
        }
        let Some(rejoined) = self.rejoined else { return };
        let delay = if rejoined { Duration::ZERO } else { JOIN_DELAY };
        self.limiter.set_share(self.fleet.own_share(), start + delay);
    }
}

/// Decodes an object. `part` is the prefix of the log line if it is invalid.
fn decode<T: DeserializeOwned>(part: &str, name: &str, body: &[u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(e) => {
            log::warn!("{part}: object {name} is invalid: {e}.");
            None
        }
    }
}
