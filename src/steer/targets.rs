//! The targets as one entry VM sees them, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::affinity::{NameHash, name_hash, rendezvous_score, weighted_score};
use super::choice::{Pick, PickRequest, PickResult};
use super::entry::{TargetReadiness, TargetRecord};
use super::load::TargetLoad;
use super::reserve::Reserve;
use crate::model::{RegionId, ServiceId, TargetId, ZoneId};

/// Added to the time for which a target says it is cold.
const COLD_MARGIN: Duration = Duration::from_millis(400);
/// Pause before a target that failed is probed.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two probes of a target.
const PROBE_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Time for which a target that the store has lost is kept after the store's return.
const LAPSE: Duration = Duration::from_millis(2_300);
/// How much larger a target of the own region counts when an object's targets are ranked.
const NEAR_SIZE: f64 = 5.0;
/// Requests by which an object's second target must be less loaded to be used.
const SPILL_GAIN: f64 = 1.0;
/// Part of a cold target's rate that is used.
const COLD_USED: f64 = 0.8;

/// How far a target is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetTrust {
    /// It takes requests.
    Trusted,
    /// It has failed, or may have started again: it takes requests after a good probe.
    Unproven {
        /// When to probe.
        due: Duration,
        /// Probes that failed in a row.
        failures: u32,
    },
    /// A probe is on its way.
    Probing {
        /// Probes that failed in a row before.
        failures: u32,
    },
    /// Another process has its address.
    Replaced,
}

#[derive(Clone, Debug)]
struct Known {
    entry: TargetRecord,
    hash: NameHash,
    region: RegionId,
    sight: TargetTrust,
    cold_until: Duration,
    /// When the next request may go to it while it is cold.
    cold_next: Duration,
    load: TargetLoad,
    /// Set when the store has lost the entry at a time when it can't be believed.
    lapsed: Option<Duration>,
}

/// All targets known.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    targets: BTreeMap<TargetId, Known>,
    /// The region of each zone.
    regions: HashMap<ZoneId, RegionId>,
    evacuated: BTreeSet<ZoneId>,
    reserve: Reserve,
    /// Zones whose cold targets this entry VM may send to.
    cold_zones: BTreeSet<ZoneId>,
}

impl Balancer {
    /// An empty book for a deployment with these zones.
    pub fn new(regions: HashMap<ZoneId, RegionId>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Takes in a target's entry.
    pub fn put(&mut self, now: Duration, id: TargetId, entry: TargetRecord) {
        let cold_until = match entry.cold_ms {
            0 => Duration::ZERO,
            ms => now + Duration::from_millis(ms) + COLD_MARGIN,
        };
        // A zone that nobody has named counts as a region of its own.
        let region = self.regions.get(&entry.zone).cloned();
        let region = region.unwrap_or_else(|| RegionId::new(entry.zone.as_str()));
        match self.targets.get_mut(&id) {
            Some(known) => {
                let reborn = known.entry.born_ms != entry.born_ms || known.entry.addr != entry.addr;
                if reborn {
                    known.sight = TargetTrust::Trusted;
                }
                known.cold_until =
                    if reborn { cold_until } else { cold_until.max(known.cold_until) };
                known.lapsed = None;
                known.load.set_slots(entry.slots);
                known.entry = entry;
            }
            None => {
                let hash = name_hash(id.as_str().as_bytes());
                let known = Known {
                    load: TargetLoad::new(entry.slots),
                    entry,
                    hash,
                    region,
                    sight: TargetTrust::Trusted,
                    cold_until,
                    cold_next: Duration::ZERO,
                    lapsed: None,
                };
                self.targets.insert(id, known);
            }
        }
    }

    /// Learns that the store has no entry of a target any more. `sure` is false while the store
    /// may have lost entries of targets that run.
    pub fn remove(&mut self, now: Duration, id: &TargetId, sure: bool) {
        if sure {
            self.targets.remove(id);
        } else if let Some(known) = self.targets.get_mut(id) {
            log::info!("targets: The store has lost {id}; it is kept for a while.");
            known.lapsed = Some(now + LAPSE);
        }
    }

    /// Removes the targets that the store has not got back.
    pub fn expire(&mut self, now: Duration) {
        self.targets.retain(|_, k| k.lapsed.is_none_or(|until| now < until));
    }

    /// Learns which zones are to get no work. The targets of a zone that comes back may be cold.
    pub fn set_evacuated_zones(&mut self, now: Duration, zones: BTreeSet<ZoneId>) {
        let back: Vec<ZoneId> = self.evacuated.difference(&zones).cloned().collect();
        for known in self.targets.values_mut().filter(|k| back.contains(&k.entry.zone)) {
            known.sight = TargetTrust::Unproven { due: now, failures: 0 };
        }
        self.evacuated = zones;
    }

    /// Learns for which zones this entry VM sends to cold targets.
    pub fn set_paced_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.cold_zones = zones;
    }

    /// Learns each region's part of the demand by customers that are bound to it.
    pub fn set_regional_demand(&mut self, bound: HashMap<RegionId, f64>) {
        self.reserve.set(bound);
    }

    /// Works out anew how much each region counts for a request that is bound to none.
    fn resize_regions(&mut self, now: Duration, choice: &PickRequest<'_>) {
        if choice.allowed_regions.is_some() || self.reserve.is_idle() {
            return;
        }
        let mut slots: HashMap<&RegionId, f64> = HashMap::new();
        for known in self.targets.values().filter(|k| self.is_open(k, choice)) {
            *slots.entry(&known.region).or_default() += f64::from(known.entry.slots.max(1));
        }
        self.reserve.resize(now, choice.service, &slots);
    }

    /// Chooses a target: the first in the object's order that is usable, or the second if the
    /// first has no free slot and more to do.
    pub fn pick(&mut self, now: Duration, choice: &PickRequest<'_>) -> PickResult {
        self.resize_regions(now, choice);
        let sizes = self.reserve.sizes(choice.service).filter(|_| choice.allowed_regions.is_none());
        let usable = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_open(k, choice) && !choice.avoid.contains(id))
            .filter(|(_, k)| k.sight == TargetTrust::Trusted && k.cold_until <= now);
        let (mut first, mut second): (Option<(f64, &TargetId, &Known)>, _) = (None, None);
        for (id, known) in usable {
            let near = if known.region == *choice.region { NEAR_SIZE } else { 1.0 };
            let room = sizes.and_then(|s| s.get(&known.region)).map_or(1.0, |(size, _)| *size);
            let size = f64::from(known.entry.slots.max(1)) * near * room;
            let score = weighted_score(choice.affinity, known.hash, size);
            let candidate = Some((score, id, known));
            if first.is_none_or(|(best, ..)| score > best) {
                (first, second) = (candidate, first);
            } else if second.is_none_or(|(best, ..): (f64, _, _)| score > best) {
                second = candidate;
            }
        }
        let chosen = match (first, second) {
            (Some((_, _, a)), Some((_, id, b))) if spills(now, &a.load, &b.load) => Some((id, b)),
            (first, _) => first.map(|(_, id, k)| (id, k)),
        };
        if let Some((_, known)) = chosen {
            let expected = known.load.expected(now).unwrap_or_default();
            let late = expected - choice.time_left.as_secs_f64();
            if late > 0.0 || !known.load.is_open() {
                return PickResult::Busy(Duration::from_secs_f64(late.max(0.0)));
            }
        }
        let id = chosen.map(|(id, _)| id.clone()).or_else(|| self.pick_cold(now, choice));
        let Some((id, known)) = id.and_then(|id| self.targets.get_key_value(&id)) else {
            return PickResult::NoTarget;
        };
        PickResult::Target(Pick {
            id: id.clone(),
            addr: known.entry.addr,
            zone: known.entry.zone.clone(),
            region: known.region.clone(),
            queue: known.load.queue(now),
        })
    }

    /// Chooses a cold target if nothing else is there; one entry VM paces them.
    fn pick_cold(&mut self, now: Duration, choice: &PickRequest<'_>) -> Option<TargetId> {
        if choice.cold_rate <= 0.0 {
            return None;
        }
        let id = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_open(k, choice) && !choice.avoid.contains(id))
            .filter(|(_, k)| {
                k.sight == TargetTrust::Trusted && self.cold_zones.contains(&k.entry.zone)
            })
            .filter(|(_, k)| k.cold_next <= now)
            .max_by_key(|(_, k)| rendezvous_score(choice.affinity, k.hash))
            .map(|(id, _)| id.clone())?;
        let known = self.targets.get_mut(&id)?;
        known.cold_next = now + Duration::from_secs_f64(1.0 / (choice.cold_rate * COLD_USED));
        Some(id)
    }

    fn is_open(&self, known: &Known, choice: &PickRequest<'_>) -> bool {
        known.entry.service == *choice.service
            && known.entry.state == TargetReadiness::Ready
            && !self.evacuated.contains(&known.entry.zone)
            && choice.allowed_regions.is_none_or(|homes| homes.contains(&known.region))
    }

    /// Counts a request sent to a target.
    pub fn record_sent(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.sent();
        }
    }

    /// Counts a request that has ended at a target.
    pub fn record_end(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.ended();
        }
    }

    /// Learns how many requests a target has, with those of this entry VM.
    pub fn record_load(&mut self, now: Duration, id: &TargetId, requests: u32) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.reported(now, requests);
        }
    }

    /// Learns how long a target took to answer a request.
    pub fn record_latency(&mut self, now: Duration, pick: &Pick, took: Duration) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            known.load.took(now, pick.queue, took);
        }
    }

    /// Learns that a request had no answer after `waited`, when it was cut: by its timeout if it
    /// was `due`, or else because its caller left.
    pub fn record_unanswered(&mut self, now: Duration, pick: &Pick, waited: Duration, due: bool) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            known.load.cut(now, pick.queue, waited);
            if due {
                known.load.timed_out(now);
            }
        }
    }

    /// Learns that a target can't be reached or broke off.
    pub fn mark_failed(&mut self, now: Duration, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id)
            && known.sight == TargetTrust::Trusted
        {
            known.sight = TargetTrust::Unproven { due: now + PROBE_PAUSE, failures: 0 };
        }
    }

    /// Learns that another process has a target's address.
    pub fn mark_replaced(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.sight = TargetTrust::Replaced;
        }
    }

    /// The targets to probe now; each counts as being probed from here on.
    pub fn due_probes(&mut self, now: Duration) -> Vec<(TargetId, SocketAddr, ServiceId)> {
        let mut out = Vec::new();
        for (id, known) in &mut self.targets {
            let open = known.entry.state == TargetReadiness::Ready
                && !self.evacuated.contains(&known.entry.zone);
            match known.sight {
                TargetTrust::Unproven { due, failures } if due <= now && open => {
                    known.sight = TargetTrust::Probing { failures };
                    out.push((id.clone(), known.entry.addr, known.entry.service.clone()));
                }
                _ => {}
            }
        }
        out
    }

    /// Learns what a probe found: how long the target is still cold, or nothing if it failed.
    pub fn record_probe(&mut self, now: Duration, id: &TargetId, found: Option<Duration>) {
        let Some(known) = self.targets.get_mut(id) else { return };
        let TargetTrust::Probing { failures } = known.sight else { return };
        match found {
            Some(cold) => {
                known.sight = TargetTrust::Trusted;
                if !cold.is_zero() {
                    known.cold_until = now + cold + COLD_MARGIN;
                }
            }
            None => {
                let pause = PROBE_PAUSE * 2u32.saturating_pow(failures + 1);
                let due = now + pause.min(PROBE_PAUSE_MAX);
                known.sight = TargetTrust::Unproven { due, failures: failures + 1 };
            }
        }
    }

    /// The target's entry.
    pub fn record(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.get(id).map(|k| &k.entry)
    }

    /// How far a target is trusted.
    pub fn trust(&self, id: &TargetId) -> Option<TargetTrust> {
        self.targets.get(id).map(|k| k.sight)
    }

    /// Targets known, and those of them that would take a request now.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        let usable = |k: &&Known| k.sight == TargetTrust::Trusted && k.cold_until <= now;
        (self.targets.len(), self.targets.values().filter(usable).count())
    }
}

/// True if an object's second target is to be used in place of the first.
fn spills(now: Duration, first: &TargetLoad, second: &TargetLoad) -> bool {
    if !first.is_open() {
        return second.is_open();
    }
    !first.has_free_slot(now) && second.fill(now, SPILL_GAIN) < first.fill(now, 0.0)
}
