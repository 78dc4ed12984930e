//! The targets as one entry VM sees them, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::affinity::{Fingerprint, fingerprint, rank, sized_rank};
use super::choice::{Choice, Pick, Picked};
use super::entry::{TargetEntry, TargetState};
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
/// Time after which a target's report on its load counts for nothing.
const REPORT_LIFE: Duration = Duration::from_millis(2_000);
/// Requests by which an object's second target must be less loaded to be used.
const SPILL_GAIN: f64 = 1.0;
/// How fast the estimate of a target's running time follows what is seen.
const PACE_GAIN: f64 = 0.2;
/// Time after which a pace that nothing has confirmed counts for nothing, so that a target which
/// was stuck is tried again.
const PACE_LIFE: Duration = Duration::from_millis(2_500);
/// Part of a cold target's rate that is used.
const COLD_USED: f64 = 0.8;

/// How far a target is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
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
    entry: TargetEntry,
    hash: Fingerprint,
    region: RegionId,
    sight: Sight,
    cold_until: Duration,
    /// When the next request may go to it while it is cold.
    cold_next: Duration,
    /// Requests of this entry VM that run there.
    running: u32,
    /// Requests of others there, by its last report.
    others: f64,
    /// When it made the report.
    reported: Duration,
    /// Time for which a request runs there, smoothed, in seconds; 0 while unknown.
    pace: f64,
    /// When the last request taught the pace.
    paced: Duration,
    /// Set when the store has lost the entry at a time when it can't be believed.
    lapsed: Option<Duration>,
}

impl Known {
    /// Requests that are there now, as far as this entry VM can know.
    fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let trust = (1.0 - age / REPORT_LIFE.as_secs_f64()).max(0.0);
        f64::from(self.running) + self.others * trust
    }

    /// Requests that one more would wait for, for each slot.
    fn queue(&self, now: Duration) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        ((self.load(now) + 1.0 - slots) / slots).max(0.0)
    }

    /// Time until the answer to one more request, in seconds; none if nothing recent tells.
    fn expected(&self, now: Duration) -> Option<f64> {
        let known = now.saturating_sub(self.paced) < PACE_LIFE;
        known.then(|| self.pace * (1.0 + self.queue(now)))
    }

    /// Requests for each slot.
    fn fill(&self, now: Duration) -> f64 {
        self.load(now) / f64::from(self.entry.slots.max(1))
    }
}

/// All targets known.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: BTreeMap<TargetId, Known>,
    /// The region of each zone.
    regions: HashMap<ZoneId, RegionId>,
    evacuated: BTreeSet<ZoneId>,
    /// Zones whose cold targets this entry VM may send to.
    cold_zones: BTreeSet<ZoneId>,
}

impl TargetBook {
    /// An empty book for a deployment with these zones.
    pub fn new(regions: HashMap<ZoneId, RegionId>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Takes in a target's entry.
    pub fn put(&mut self, now: Duration, id: TargetId, entry: TargetEntry) {
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
                    known.sight = Sight::Trusted;
                }
                known.cold_until =
                    if reborn { cold_until } else { cold_until.max(known.cold_until) };
                known.lapsed = None;
                known.entry = entry;
            }
            None => {
                let hash = fingerprint(id.as_str().as_bytes());
                let known = Known {
                    entry,
                    hash,
                    region,
                    sight: Sight::Trusted,
                    cold_until,
                    cold_next: Duration::ZERO,
                    running: 0,
                    others: 0.0,
                    reported: Duration::ZERO,
                    pace: 0.0,
                    paced: Duration::ZERO,
                    lapsed: None,
                };
                self.targets.insert(id, known);
            }
        }
    }

    /// Learns that the store has no entry of a target any more. `sure` is false while the store
    /// may have lost entries of targets that run.
    pub fn gone(&mut self, now: Duration, id: &TargetId, sure: bool) {
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
    pub fn evacuate(&mut self, now: Duration, zones: BTreeSet<ZoneId>) {
        let back: Vec<ZoneId> = self.evacuated.difference(&zones).cloned().collect();
        for known in self.targets.values_mut().filter(|k| back.contains(&k.entry.zone)) {
            known.sight = Sight::Unproven { due: now, failures: 0 };
        }
        self.evacuated = zones;
    }

    /// Learns for which zones this entry VM sends to cold targets.
    pub fn own_cold(&mut self, zones: BTreeSet<ZoneId>) {
        self.cold_zones = zones;
    }

    /// Chooses a target: the first in the object's order that is usable, or the second if the
    /// first has no free slot and more to do.
    pub fn pick(&mut self, now: Duration, choice: &Choice<'_>) -> Picked {
        let usable = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_open(k, choice) && !choice.avoid.contains(id))
            .filter(|(_, k)| k.sight == Sight::Trusted && k.cold_until <= now);
        let (mut first, mut second): (Option<(f64, &TargetId, &Known)>, _) = (None, None);
        for (id, known) in usable {
            let near = if known.region == *choice.region { NEAR_SIZE } else { 1.0 };
            let size = f64::from(known.entry.slots.max(1)) * near;
            let score = sized_rank(choice.object, known.hash, size);
            let candidate = Some((score, id, known));
            if first.is_none_or(|(best, ..)| score > best) {
                (first, second) = (candidate, first);
            } else if second.is_none_or(|(best, ..): (f64, _, _)| score > best) {
                second = candidate;
            }
        }
        let chosen = match (first, second) {
            (Some((_, _, a)), Some((_, id, b))) if spills(now, a, b) => Some((id, b)),
            (first, _) => first.map(|(_, id, k)| (id, k)),
        };
        if let Some(expected) = chosen.and_then(|(_, known)| known.expected(now)) {
            let late = expected - choice.left.as_secs_f64();
            if late > 0.0 {
                return Picked::Busy(Duration::from_secs_f64(late));
            }
        }
        let id = chosen.map(|(id, _)| id.clone()).or_else(|| self.pick_cold(now, choice));
        let Some((id, known)) = id.and_then(|id| self.targets.get_key_value(&id)) else {
            return Picked::Nothing;
        };
        Picked::Target(Pick {
            id: id.clone(),
            addr: known.entry.addr,
            region: known.region.clone(),
            queue: known.queue(now),
        })
    }

    /// Chooses a cold target if nothing else is there; one entry VM paces them.
    fn pick_cold(&mut self, now: Duration, choice: &Choice<'_>) -> Option<TargetId> {
        if choice.cold_rate <= 0.0 {
            return None;
        }
        let id = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_open(k, choice) && !choice.avoid.contains(id))
            .filter(|(_, k)| k.sight == Sight::Trusted && self.cold_zones.contains(&k.entry.zone))
            .filter(|(_, k)| k.cold_next <= now)
            .max_by_key(|(_, k)| rank(choice.object, k.hash))
            .map(|(id, _)| id.clone())?;
        let known = self.targets.get_mut(&id)?;
        known.cold_next = now + Duration::from_secs_f64(1.0 / (choice.cold_rate * COLD_USED));
        Some(id)
    }

    fn is_open(&self, known: &Known, choice: &Choice<'_>) -> bool {
        known.entry.service == *choice.service
            && known.entry.state == TargetState::Ready
            && !self.evacuated.contains(&known.entry.zone)
            && choice.homes.is_none_or(|homes| homes.contains(&known.region))
    }

    /// Counts a request sent to a target.
    pub fn sent(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.running += 1;
        }
    }

    /// Counts a request that has ended at a target.
    pub fn ended(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.running = known.running.saturating_sub(1);
        }
    }

    /// Learns how many requests a target has, with those of this entry VM, and its slots.
    pub fn reported(&mut self, now: Duration, id: &TargetId, requests: u32) {
        if let Some(known) = self.targets.get_mut(id) {
            known.others = f64::from(requests.saturating_sub(known.running));
            known.reported = now;
        }
    }

    /// Learns how long a target took to answer a request.
    pub fn took(&mut self, now: Duration, pick: &Pick, took: Duration) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            known.paced = now;
            let run = took.as_secs_f64() / (1.0 + pick.queue);
            known.pace += if known.pace == 0.0 { run } else { (run - known.pace) * PACE_GAIN };
        }
    }

    /// Learns that a request got no answer within `waited`: its run would have taken longer.
    pub fn cut(&mut self, now: Duration, pick: &Pick, waited: Duration) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            let least = waited.as_secs_f64() / (1.0 + pick.queue);
            if least > known.pace {
                known.paced = now;
                known.pace += (least - known.pace) * PACE_GAIN;
            }
        }
    }

    /// Learns that a target can't be reached or broke off.
    pub fn failed(&mut self, now: Duration, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id)
            && known.sight == Sight::Trusted
        {
            known.sight = Sight::Unproven { due: now + PROBE_PAUSE, failures: 0 };
        }
    }

    /// Learns that another process has a target's address.
    pub fn replaced(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.sight = Sight::Replaced;
        }
    }

    /// The targets to probe now; each counts as being probed from here on.
    pub fn due_probes(&mut self, now: Duration) -> Vec<(TargetId, SocketAddr, ServiceId)> {
        let mut out = Vec::new();
        for (id, known) in &mut self.targets {
            let open = known.entry.state == TargetState::Ready
                && !self.evacuated.contains(&known.entry.zone);
            match known.sight {
                Sight::Unproven { due, failures } if due <= now && open => {
                    known.sight = Sight::Probing { failures };
                    out.push((id.clone(), known.entry.addr, known.entry.service.clone()));
                }
                _ => {}
            }
        }
        out
    }

    /// Learns what a probe found: how long the target is still cold, or nothing if it failed.
    pub fn probed(&mut self, now: Duration, id: &TargetId, found: Option<Duration>) {
        let Some(known) = self.targets.get_mut(id) else { return };
        let Sight::Probing { failures } = known.sight else { return };
        match found {
            Some(cold) => {
                known.sight = Sight::Trusted;
                if !cold.is_zero() {
                    known.cold_until = now + cold + COLD_MARGIN;
                }
            }
            None => {
                let pause = PROBE_PAUSE * 2u32.saturating_pow(failures + 1);
                let due = now + pause.min(PROBE_PAUSE_MAX);
                known.sight = Sight::Unproven { due, failures: failures + 1 };
            }
        }
    }

    /// The target's entry.
    pub fn entry(&self, id: &TargetId) -> Option<&TargetEntry> {
        self.targets.get(id).map(|k| &k.entry)
    }

    /// How far a target is trusted.
    pub fn sight(&self, id: &TargetId) -> Option<Sight> {
        self.targets.get(id).map(|k| k.sight)
    }

    /// Targets known, and those of them that would take a request now.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        let usable = |k: &&Known| k.sight == Sight::Trusted && k.cold_until <= now;
        (self.targets.len(), self.targets.values().filter(usable).count())
    }
}

/// True if an object's second target is to be used in place of the first.
fn spills(now: Duration, first: &Known, second: &Known) -> bool {
    let slots = f64::from(first.entry.slots.max(1));
    first.load(now) >= slots && second.fill(now) + SPILL_GAIN / slots < first.fill(now)
}
