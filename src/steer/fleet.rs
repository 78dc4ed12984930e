//! The other entry VMs: whom to ask for news, who pools the rates, whom to name to callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::affinity::{NameHash, name_hash, rendezvous_score};
use crate::common::record;
use crate::model::{Incarnation, Place, RegionId, VmId, ZoneId};

/// Time without a word after which a VM is not named to callers any more.
const SILENT: Duration = Duration::from_millis(2_000);
/// Time for which a VM that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_millis(1_500);
/// Time for which a VM that will stop soon is passed over.
const LEAVING: Duration = Duration::from_millis(6_500);
/// Key of the order in which VMs pool the rates.
const POOL_ORDER: &[u8] = b"pool";
/// Key of the order in which VMs read the store for their zone and region.
const HEAD_ORDER: &[u8] = b"reader";

/// An entry VM's entry in the store.
#[apply(record!)]
pub struct VmRecord {
    /// Where it stands.
    pub place: Place,
    /// Its address for sessions with other entry VMs.
    pub peers: SocketAddr,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What one entry VM tells of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// The VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// True if it takes callers.
    pub serving: bool,
    /// How long ago it said so.
    pub age: Duration,
}

/// A VM that has an entry.
#[derive(Clone, Debug)]
struct Member {
    entry: VmRecord,
    /// Of its name.
    hash: NameHash,
}

/// A VM that was heard of.
#[derive(Clone, Debug)]
struct LiveVm {
    zone: ZoneId,
    callers: SocketAddr,
    serving: bool,
    at: Duration,
}

/// The entry VMs as one of them sees them.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: VmId,
    place: Place,
    regions: BTreeMap<ZoneId, RegionId>,
    vms: BTreeMap<VmId, Member>,
    live: BTreeMap<VmId, LiveVm>,
    /// VMs that did not answer, until when they are passed over.
    silent: BTreeMap<VmId, Duration>,
}

impl Fleet {
    /// A fleet of which only this VM is known.
    pub fn new(me: VmId, place: Place, regions: BTreeMap<ZoneId, RegionId>) -> Self {
        let (vms, live, silent) = Default::default();
        Self { me, place, regions, vms, live, silent }
    }

    /// Takes in the entry of a VM.
    pub fn put(&mut self, vm: VmId, entry: VmRecord) {
        let hash = vm_hash(&vm);
        self.vms.insert(vm, Member { entry, hash });
    }

    /// Learns that a VM has no entry any more.
    pub fn remove(&mut self, vm: &VmId) {
        self.vms.remove(vm);
    }

    /// VMs that have an entry.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// True if no VM has an entry.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// The entry of a VM.
    pub fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.get(vm).map(|m| &m.entry)
    }

    /// Hears of VMs.
    pub fn merge_liveness(&mut self, now: Duration, heard: impl IntoIterator<Item = Liveness>) {
        for word in heard.into_iter().filter(|w| w.vm != self.me) {
            let at = now.saturating_sub(word.age);
            let newer = self.live.get(&word.vm).is_none_or(|l| l.at < at);
            if newer {
                let Liveness { vm, zone, callers, serving, .. } = word;
                self.live.insert(vm, LiveVm { zone, callers, serving, at });
            }
        }
        self.live.retain(|_, l| now.saturating_sub(l.at) < SILENT);
    }

    /// What this VM tells of others.
    pub fn liveness(&self, now: Duration) -> Vec<Liveness> {
        let heard = |(vm, l): (&VmId, &LiveVm)| Liveness {
            vm: vm.clone(),
            zone: l.zone.clone(),
            callers: l.callers,
            serving: l.serving,
            age: now.saturating_sub(l.at),
        };
        self.live.iter().filter(|(_, l)| now.saturating_sub(l.at) < SILENT).map(heard).collect()
    }

    /// Learns that a VM has not answered.
    pub fn mark_unresponsive(&mut self, now: Duration, vm: &VmId) {
        self.silent.insert(vm.clone(), now + PASSED_OVER);
    }

    /// Learns that a VM will stop soon.
    pub fn mark_leaving(&mut self, now: Duration, vm: &VmId) {
        self.silent.insert(vm.clone(), now + LEAVING);
    }

    /// Learns that a VM has answered.
    pub fn mark_responsive(&mut self, vm: &VmId) {
        self.silent.remove(vm);
    }

    /// The head of a zone: the first in the zone's order that answers.
    pub fn leader_of(&self, now: Duration, zone: &ZoneId) -> Option<VmId> {
        let members = self.vms.iter().filter(|(_, m)| m.entry.place.zone == *zone);
        self.first(now, HEAD_ORDER, members)
    }

    /// The head of this VM's zone.
    pub fn zone_leader(&self, now: Duration) -> Option<VmId> {
        self.leader_of(now, &self.place.zone)
    }

    /// True if this VM is the head of its zone.
    pub fn is_zone_leader(&self, now: Duration) -> bool {
        self.zone_leader(now).as_ref() == Some(&self.me)
    }

    /// Whom to ask for news: the head of the zone; for a head, the first of the region's heads; this
    /// VM itself if it is that one.
    pub fn upstream(&self, now: Duration) -> Option<VmId> {
        let head = self.zone_leader(now)?;
        if head != self.me {
            return Some(head);
        }
        let zones = self.regions.keys().filter(|z| self.in_own_region(z));
        let heads: Vec<VmId> = zones.filter_map(|z| self.leader_of(now, z)).collect();
        self.first(now, HEAD_ORDER, heads.iter().filter_map(|vm| self.vms.get_key_value(vm)))
    }

    /// The VM that pools the rates.
    pub fn pool_vm(&self, now: Duration) -> Option<VmId> {
        self.first(now, POOL_ORDER, self.vms.iter())
    }

    fn first<'a>(
        &self,
        now: Duration,
        order: &[u8],
        members: impl Iterator<Item = (&'a VmId, &'a Member)>,
    ) -> Option<VmId> {
        let order = name_hash(order);
        members
            .filter(|(vm, _)| self.silent.get(*vm).is_none_or(|until| *until <= now))
            .max_by_key(|(_, member)| rendezvous_score(order, member.hash))
            .map(|(vm, _)| vm.clone())
    }

    /// Other zones, those of this region first.
    pub fn other_zones(&self) -> Vec<ZoneId> {
        let mut zones: Vec<(&ZoneId, &RegionId)> =
            self.regions.iter().filter(|(z, _)| **z != self.place.zone).collect();
        zones.sort_by_key(|(z, r)| (**r != self.place.region, (*z).clone()));
        zones.into_iter().map(|(z, _)| z.clone()).collect()
    }

    /// True if `zone` is in this VM's region.
    pub fn in_own_region(&self, zone: &ZoneId) -> bool {
        self.regions.get(zone) == Some(&self.place.region)
    }

    /// True if this VM paces the cold targets of its zone.
    pub fn paces_cold_targets(&self, now: Duration) -> bool {
        let serving = self
            .live
            .iter()
            .filter(|(_, l)| l.zone == self.place.zone && now.saturating_sub(l.at) < SILENT);
        let order = name_hash(self.place.zone.as_str().as_bytes());
        let mine = rendezvous_score(order, vm_hash(&self.me));
        serving.map(|(vm, _)| rendezvous_score(order, vm_hash(vm))).all(|r| r < mine)
    }

    /// The addresses to name to a caller of `zone`, at most `most`: of its own zone if two or more
    /// VMs there take callers, else of its region, else of all.
    pub fn lookup_addrs(
        &self,
        now: Duration,
        zone: &ZoneId,
        own: Option<SocketAddr>,
        most: usize,
    ) -> Vec<SocketAddr> {
        let region = self.regions.get(zone);
        let live = self.live.values().filter(|l| l.serving && now.saturating_sub(l.at) < SILENT);
        let mut all: Vec<(&ZoneId, SocketAddr)> = live.map(|l| (&l.zone, l.callers)).collect();
        all.extend(own.map(|addr| (&self.place.zone, addr)));
        let tiers: [&dyn Fn(&ZoneId) -> bool; 3] =
            [&|z| z == zone, &|z| region.is_some() && self.regions.get(z) == region, &|_| true];
        let mut best = Vec::new();
        for tier in tiers {
            best = all.iter().filter(|(z, _)| tier(z)).map(|(_, addr)| *addr).collect::<Vec<_>>();
            if best.len() > 1 {
                break;
            }
        }
        best.sort();
        best.truncate(most);
        best
    }
}

fn vm_hash(vm: &VmId) -> NameHash {
    name_hash(vm.as_str().as_bytes())
}
