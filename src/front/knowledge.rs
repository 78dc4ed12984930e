//! What a front knows: copies of the store's feeds, and the deciding parts that follow them.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::model::{TargetId, VmId, ZoneId};
use crate::peer::Identity;
use crate::steer::{
    Delta, Feed, Fleet, Index, Pool, Purse, Replica, Retries, Table, TargetBook, VmEntry,
};
use crate::targets::Poison;

use super::config::FrontConfig;

/// Age of the configuration from which on the store counts as having been away.
const STORE_OUTAGE_AGE: Duration = Duration::from_millis(2_600);
/// Time after the store's return for which lost entries of targets are not believed.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_300);

/// Time for which a new VM does not use its part of the rates.
const JOIN_DELAY: Duration = Duration::from_secs(5);
/// Time that the tokens of a VM should last: its zone's head is near.
const VM_TOKEN_HORIZON: Duration = Duration::from_millis(300);
/// Time that the tokens of a zone should last: the pool may be in another region.
const ZONE_TOKEN_HORIZON: Duration = Duration::from_millis(1_100);
/// Part of a burst that a zone keeps at hand.
const ZONE_BURST_FRACTION: f64 = 0.1;
/// Part of the fleet's slack above a rate that may be at hand as tokens.
const SLACK_FRACTION: f64 = 0.5;

/// The name of the one object of the table's feed.
const TABLE_NAME: &str = "main";

/// The parts that decide, behind one lock that is never held across an await.
pub(crate) struct SharedState {
    pub(crate) feeds: [Replica; 4],
    pub(crate) balancer: TargetBook,
    pub(crate) fleet: Fleet,
    pub(crate) token_pool: Pool,
    /// This VM's own tokens, and its part of every rate.
    pub(crate) limiter: Purse,
    /// Tokens for all VMs of the zone, while this VM is its head.
    pub(crate) zone_limiter: Purse,
    pub(crate) retries: Retries,
    pub(crate) poison: Poison,
    /// Until then, entries of targets that are missing may come back.
    recovering_until: Duration,
    /// Whether this VM's entry has replaced an older one; none until it is written.
    rejoined: Option<bool>,
}

/// What a front knows.
pub(crate) struct FrontState {
    locked: Mutex<SharedState>,
    index: ArcSwapOption<Index>,
}

impl FrontState {
    pub(crate) fn new(config: &FrontConfig, now: Duration) -> Self {
        let regions: HashMap<ZoneId, _> =
            config.zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        let locked = SharedState {
            feeds: Default::default(),
            balancer: TargetBook::new(regions),
            fleet: Fleet::new(config.vm.clone(), config.place(), config.zones.clone()),
            token_pool: Pool::new(config.bounds.rate_slack * SLACK_FRACTION),
            limiter: Purse::new(now, VM_TOKEN_HORIZON, 0.0),
            zone_limiter: Purse::new(now, ZONE_TOKEN_HORIZON, ZONE_BURST_FRACTION),
            retries: Retries::new(config.retry_bounds()),
            poison: Poison::default(),
            recovering_until: Duration::ZERO,
            rejoined: None,
        };
        Self { locked: Mutex::new(locked), index: ArcSwapOption::empty() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.locked.lock().expect("parts lock")
    }

    /// The configuration in force.
    pub(crate) fn index(&self) -> Option<Arc<Index>> {
        self.index.load_full()
    }

    /// The configuration's age.
    pub(crate) fn table_age(&self, now: Duration) -> Option<Duration> {
        self.lock().feeds[Feed::Table as usize].age(now)
    }

    /// Takes in news of a feed that were true at `fresh`. Returns the table's version if it is a
    /// new one.
    pub(crate) fn apply_delta(
        &self,
        now: Duration,
        feed: Feed,
        delta: Delta,
        as_of: Duration,
    ) -> Option<u64> {
        let mut state = self.lock();
        let outage =
            state.feeds[Feed::Table as usize].age(now).is_some_and(|age| age > STORE_OUTAGE_AGE);
        if outage {
            state.recovering_until = now + RECOVERY_PERIOD;
        }
        let changed = state.feeds[feed as usize].apply(delta, as_of);
        let replica = &state.feeds[feed as usize];
        let with_body = |name: String| {
            let body = replica.get(&name).cloned();
            (name, body)
        };
        let bodies: Vec<(String, Option<Bytes>)> = changed.into_iter().map(with_body).collect();
        match feed {
            Feed::Table => {
                let index = self.apply_table(bodies)?;
                state.balancer.bind(index.homed());
                return Some(index.table().version);
            }
            Feed::Targets => state.apply_targets(now, bodies),
            Feed::Evacuations if !bodies.is_empty() => state.apply_evacuations(now),
            Feed::Evacuations => {}
            Feed::Vms => state.apply_vms(bodies),
        }
        None
    }

    /// Takes a newer configuration into force.
    fn apply_table(&self, bodies: Vec<(String, Option<Bytes>)>) -> Option<Arc<Index>> {
        let (_, body) = bodies.into_iter().find(|(name, _)| name == TABLE_NAME)?;
        let table: Table = decode("config", TABLE_NAME, &body?)?;
        let version = table.version;
        let current = self.index.load().as_ref().map(|i| i.table().version);
        if current.is_some_and(|c| version <= c) {
            return None;
        }
        let index = Arc::new(Index::new(table));
        self.index.store(Some(index.clone()));
        Some(index)
    }
}

impl SharedState {
    fn apply_targets(&mut self, now: Duration, bodies: Vec<(String, Option<Bytes>)>) {
        let confirmed = self.recovering_until <= now;
        for (name, body) in bodies {
            let id = TargetId::new(&name);
            match body.and_then(|b| decode("targets", &name, &b)) {
                Some(entry) => self.balancer.put(now, id, entry),
                None => self.balancer.gone(now, &id, confirmed),
            }
        }
    }

    fn apply_evacuations(&mut self, now: Duration) {
        let items = self.feeds[Feed::Evacuations as usize].items();
        let zones: BTreeSet<ZoneId> = items.map(|(name, _)| ZoneId::new(name)).collect();
        self.balancer.evacuate(now, zones);
    }

    fn apply_vms(&mut self, bodies: Vec<(String, Option<Bytes>)>) {
        for (name, body) in bodies {
            let vm = VmId::new(&name);
            match body.and_then(|b| decode::<VmEntry>("vms", &name, &b)) {
                Some(entry) => self.fleet.put(vm, entry),
                None => self.fleet.remove(&vm),
            }
        }
        self.retries.share(self.fleet.len());
    }

    /// Learns that this VM's entry is written, and whether it has `replaced` an older one.
    pub(crate) fn announced(&mut self, replaced: bool) {
        self.rejoined.get_or_insert(replaced);
    }

    /// Learns this VM's part of every customer's rate. A VM that has just joined waits until the
    /// others can know that there is one more.
    pub(crate) fn update_share(&mut self, me: &Identity, start: Duration) {
        let Some(entry) = self.fleet.entry(&me.vm) else { return };
        if entry.incarnation < me.incarnation {
            self.announced(true);
        }
        let Some(rejoined) = self.rejoined else { return };
        let pause = if rejoined { Duration::ZERO } else { JOIN_DELAY };
        self.limiter.own(1.0 / self.fleet.len().max(1) as f64, start + pause);
    }
}

fn decode<T: DeserializeOwned>(part: &str, name: &str, body: &[u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(e) => {
            log::warn!("{part}: {name} can't be read: {e}.");
            None
        }
    }
}
