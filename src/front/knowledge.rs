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
    Balancer, Delta, Feed, Fleet, RateLimiter, Replica, RetryBudgets, Table, TableIndex, TokenPool,
    VmRecord,
};
use crate::targets::CrashTracker;

use super::config::FrontConfig;

/// Age of the configuration from which on the store counts as having been away.
const AWAY: Duration = Duration::from_millis(2_600);
/// Time after the store's return for which lost entries of targets are not believed.
const RETURN: Duration = Duration::from_millis(2_300);

/// Time for which a new VM does not use its part of the rates.
const JOIN_PAUSE: Duration = Duration::from_secs(5);
/// Time that the tokens of a VM should last: its zone's head is near.
const OWN_AHEAD: Duration = Duration::from_millis(300);
/// Time that the tokens of a zone should last: the pool may be in another region.
const ZONE_AHEAD: Duration = Duration::from_millis(1_100);
/// Part of a burst that a zone keeps at hand.
const ZONE_SPARE: f64 = 0.1;
/// Part of the fleet's slack above a rate that may be at hand as tokens.
const EXTRA: f64 = 0.5;

/// The name of the one object of the table's feed.
const TABLE_NAME: &str = "main";

/// The parts that decide, behind one lock that is never held across an await.
pub(crate) struct Parts {
    pub(crate) feeds: [Replica; 4],
    pub(crate) book: Balancer,
    pub(crate) fleet: Fleet,
    pub(crate) pool: TokenPool,
    /// This VM's own tokens, and its part of every rate.
    pub(crate) purse: RateLimiter,
    /// Tokens for all VMs of the zone, while this VM is its head.
    pub(crate) zone_purse: RateLimiter,
    pub(crate) retries: RetryBudgets,
    pub(crate) poison: CrashTracker,
    /// Until then, entries of targets that are missing may come back.
    unsure_until: Duration,
    /// Whether this VM's entry has replaced an older one; none until it is written.
    rejoined: Option<bool>,
}

/// What a front knows.
pub(crate) struct Knowledge {
    parts: Mutex<Parts>,
    index: ArcSwapOption<TableIndex>,
}

impl Knowledge {
    pub(crate) fn new(config: &FrontConfig, now: Duration) -> Self {
        let regions: HashMap<ZoneId, _> =
            config.zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        let parts = Parts {
            feeds: Default::default(),
            book: Balancer::new(regions),
            fleet: Fleet::new(config.vm.clone(), config.place(), config.zones.clone()),
            pool: TokenPool::new(config.bounds.rate_slack * EXTRA),
            purse: RateLimiter::new(now, OWN_AHEAD, 0.0),
            zone_purse: RateLimiter::new(now, ZONE_AHEAD, ZONE_SPARE),
            retries: RetryBudgets::new(config.retry_bounds()),
            poison: CrashTracker::default(),
            unsure_until: Duration::ZERO,
            rejoined: None,
        };
        Self { parts: Mutex::new(parts), index: ArcSwapOption::empty() }
    }

    pub(crate) fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().expect("parts lock")
    }

    /// The configuration in force.
    pub(crate) fn index(&self) -> Option<Arc<TableIndex>> {
        self.index.load_full()
    }

    /// The configuration's age.
    pub(crate) fn table_age(&self, now: Duration) -> Option<Duration> {
        self.parts().feeds[Feed::Table as usize].age(now)
    }

    /// Takes in news of a feed that were true at `fresh`. Returns the table's version if it is a
    /// new one.
    pub(crate) fn offer(
        &self,
        now: Duration,
        feed: Feed,
        delta: Delta,
        fresh: Duration,
    ) -> Option<u64> {
        let mut parts = self.parts();
        let away = parts.feeds[Feed::Table as usize].age(now).is_some_and(|age| age > AWAY);
        if away {
            parts.unsure_until = now + RETURN;
        }
        let news = parts.feeds[feed as usize].apply(delta, fresh);
        let held = &parts.feeds[feed as usize];
        let with_body = |name: String| {
            let body = held.get(&name).cloned();
            (name, body)
        };
        let bodies: Vec<(String, Option<Bytes>)> = news.into_iter().map(with_body).collect();
        match feed {
            Feed::Table => {
                let index = self.follow_table(bodies)?;
                parts.book.set_regional_demand(index.regional_demand());
                return Some(index.table().version);
            }
            Feed::Targets => parts.follow_targets(now, bodies),
            Feed::Evacuations if !bodies.is_empty() => parts.follow_evacuations(now),
            Feed::Evacuations => {}
            Feed::Vms => parts.follow_vms(bodies),
        }
        None
    }

    /// Takes a newer configuration into force.
    fn follow_table(&self, bodies: Vec<(String, Option<Bytes>)>) -> Option<Arc<TableIndex>> {
        let (_, body) = bodies.into_iter().find(|(name, _)| name == TABLE_NAME)?;
        let table: Table = decode("config", TABLE_NAME, &body?)?;
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

impl Parts {
    fn follow_targets(&mut self, now: Duration, bodies: Vec<(String, Option<Bytes>)>) {
        let sure = self.unsure_until <= now;
        for (name, body) in bodies {
            let id = TargetId::new(&name);
            match body.and_then(|b| decode("targets", &name, &b)) {
                Some(entry) => self.book.put(now, id, entry),
                None => self.book.remove(now, &id, sure),
            }
        }
    }

    fn follow_evacuations(&mut self, now: Duration) {
        let items = self.feeds[Feed::Evacuations as usize].items();
        let zones: BTreeSet<ZoneId> = items.map(|(name, _)| ZoneId::new(name)).collect();
        self.book.set_evacuated_zones(now, zones);
    }

    fn follow_vms(&mut self, bodies: Vec<(String, Option<Bytes>)>) {
        for (name, body) in bodies {
            let vm = VmId::new(&name);
            match body.and_then(|b| decode::<VmRecord>("vms", &name, &b)) {
                Some(entry) => self.fleet.put(vm, entry),
                None => self.fleet.remove(&vm),
            }
        }
        self.retries.set_vm_count(self.fleet.len());
    }

    /// Learns that this VM's entry is written, and whether it has `replaced` an older one.
    pub(crate) fn joined(&mut self, replaced: bool) {
        self.rejoined.get_or_insert(replaced);
    }

    /// Learns this VM's part of every customer's rate. A VM that has just joined waits until the
    /// others can know that there is one more.
    pub(crate) fn own_part(&mut self, me: &Identity, start: Duration) {
        let Some(entry) = self.fleet.record(&me.vm) else { return };
        if entry.incarnation < me.incarnation {
            self.joined(true);
        }
        let Some(rejoined) = self.rejoined else { return };
        let pause = if rejoined { Duration::ZERO } else { JOIN_PAUSE };
        self.purse.set_share(1.0 / self.fleet.len().max(1) as f64, start + pause);
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
