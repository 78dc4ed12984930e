//! The other entry VMs of the deployment, as one entry VM knows them.
//!
//! Two sources are kept apart: the VMs' records in the store say which VMs exist, and liveness
//! reports exchanged between VMs say which of them run and accept callers. From these, [`Fleet`]
//! derives the leader of each zone, the VM to sync store changes from, the VM that runs the token
//! pool, and the addresses that look-ups return. All of these follow from one order of the VMs,
//! largest first and then by rendezvous hashing, without any election messages; VMs with different
//! knowledge may disagree for a short time.
//!
//! Callers are sent to the first VMs of each zone only. In a large fleet this keeps connections,
//! tokens and knowledge of targets on few VMs, each of which meets the same target often.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous::{NameHash, name_hash, rendezvous_score};
use super::target_limit::LimitShare;
use super::vm_record::{Liveness, VmRecord};
use crate::model::{Place, RegionId, VmId, ZoneId};

/// Time without a liveness report after which a VM no longer counts as running; look-ups then no
/// longer return it.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which a VM that did not respond is not chosen as leader or pool VM.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time for which a VM that is shutting down is not chosen as leader or pool VM.
const LEAVING_BACKOFF: Duration = Duration::from_millis(6_500);
/// Fewest VMs of a zone that look-ups return.
const CALLER_VMS_MIN: usize = 4;
/// Fraction of a zone's processor share that the VMs returned by look-ups have together.
const CALLER_CPU_RATIO: f64 = 1.0 / 3.0;
/// Liveness of this many times the VMs that look-ups return is passed on, so that others can take
/// the place of those that end.
const LIVENESS_FACTOR: usize = 2;
/// Fraction of a target's limit that the VMs which look-ups don't return have together.
const STANDBY_LIMIT_RATIO: f64 = 0.1;
/// Rendezvous key that chooses the VMs that look-ups return.
const CALLER_ORDER: &[u8] = b"callers";
/// Rendezvous key that chooses the pool VM.
const POOL_ORDER: &[u8] = b"pool";
/// Rendezvous key that chooses the leaders of zones and regions, through which VMs read the store.
const LEADER_ORDER: &[u8] = b"reader";

/// A VM that has a record in the store.
#[derive(Clone, Debug)]
struct RegisteredVm {
    record: VmRecord,
    /// Hash of its name.
    hash: NameHash,
}

/// The latest liveness report of a VM.
#[derive(Clone, Debug)]
struct LiveVm {
    zone: ZoneId,
    callers: SocketAddr,
    serving: bool,
    /// When the VM itself reported this.
    reported: Duration,
}

/// The entry VMs of the deployment, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: VmId,
    place: Place,
    regions: BTreeMap<ZoneId, RegionId>,
    /// Hash of [`CALLER_ORDER`].
    caller_order: NameHash,
    /// VMs with a record in the store.
    vms: BTreeMap<VmId, RegisteredVm>,
    /// Other VMs that were reported to run.
    live: BTreeMap<VmId, LiveVm>,
    /// VMs that did not respond or are shutting down, and until when they are not chosen.
    avoided: BTreeMap<VmId, Duration>,
    /// VMs whose data was too old, and until when they are not chosen to sync from.
    stale: BTreeMap<VmId, Duration>,
}

impl Fleet {
    /// A fleet with no records and no reports. `regions` maps each zone to its region.
    pub fn new(me: VmId, place: Place, regions: BTreeMap<ZoneId, RegionId>) -> Self {
        let (vms, live, avoided, stale) = Default::default();
        let caller_order = name_hash(CALLER_ORDER);
        Self { me, place, regions, caller_order, vms, live, avoided, stale }
    }

    /// Adds or replaces the record of a VM.
    pub fn put(&mut self, vm: VmId, record: VmRecord) {
        let hash = vm_hash(&vm);
        self.vms.insert(vm, RegisteredVm { record, hash });
    }

    /// Removes the record of a VM.
    pub fn remove(&mut self, vm: &VmId) {
        self.vms.remove(vm);
    }

    /// Number of VMs that have a record.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// True if no VM has a record.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// The record of a VM.
    pub fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.get(vm).map(|m| &m.record)
    }

    /// Merges liveness reports, keeping the newest of each VM, and forgets expired ones.
    pub fn merge_liveness(&mut self, now: Duration, reports: impl IntoIterator<Item = Liveness>) {
        for report in reports.into_iter().filter(|r| r.vm != self.me) {
            let reported = now.saturating_sub(report.age);
            let newer = self.live.get(&report.vm).is_none_or(|l| l.reported < reported);
            if newer {
                let Liveness { vm, zone, callers, serving, .. } = report;
                self.live.insert(vm, LiveVm { zone, callers, serving, reported });
            }
        }
        self.live.retain(|_, l| now.saturating_sub(l.reported) < LIVENESS_TIMEOUT);
    }

    /// Reports on the other VMs that run, to be passed on. Of each zone, only those that look-ups
    /// return or may return next.
    pub fn liveness(&self, now: Duration) -> Vec<Liveness> {
        let mut zones: BTreeMap<&ZoneId, Vec<(&VmId, &LiveVm)>> = BTreeMap::new();
        for (vm, live) in self.running(now) {
            zones.entry(&live.zone).or_default().push((vm, live));
        }
        let report = |(vm, l): (&VmId, &LiveVm)| Liveness {
            vm: vm.clone(),
            zone: l.zone.clone(),
            callers: l.callers,
            serving: l.serving,
            age: now.saturating_sub(l.reported),
        };
        let mut out = Vec::new();
        for (zone, mut vms) in zones {
            vms.sort_by_cached_key(|(vm, _)| Reverse(self.caller_rank(vm)));
            let passed_on = self.caller_vm_count(zone) * LIVENESS_FACTOR;
            out.extend(vms.into_iter().take(passed_on).map(report));
        }
        out
    }

    /// The other VMs that were recently reported to run.
    fn running(&self, now: Duration) -> impl Iterator<Item = (&VmId, &LiveVm)> {
        self.live.iter().filter(move |(_, l)| now.saturating_sub(l.reported) < LIVENESS_TIMEOUT)
    }

    /// Rank of a VM in the order in which callers are sent to a zone's VMs; the highest is first.
    fn caller_rank(&self, vm: &VmId) -> (u32, u64) {
        self.vms.get(vm).map_or((0, 0), |member| member.rank(self.caller_order))
    }

    /// The number of VMs of a zone that look-ups return: the first in the callers' order that have
    /// the needed processor share together.
    fn caller_vm_count(&self, zone: &ZoneId) -> usize {
        let mut shares: Vec<u32> = self.members(zone).map(|(_, m)| m.record.cpu_millis).collect();
        shares.sort_unstable_by_key(|&share| Reverse(share));
        let needed = shares.iter().sum::<u32>() as f64 * CALLER_CPU_RATIO;
        let mut sum = 0.0;
        let enough = shares.iter().position(|&share| {
            sum += f64::from(share);
            sum >= needed
        });
        enough.map_or(0, |last| last + 1).max(CALLER_VMS_MIN)
    }

    /// The VMs of a zone that have a record.
    fn members(&self, zone: &ZoneId) -> impl Iterator<Item = (&VmId, &RegisteredVm)> {
        self.vms.iter().filter(move |(_, m)| m.record.place.zone == *zone)
    }

    /// True if `vm` is of this VM's zone and among those that look-ups return while all VMs run. It
    /// depends on records only.
    pub fn serves_callers(&self, vm: &VmId) -> bool {
        let zone = &self.place.zone;
        if self.vms.get(vm).is_none_or(|member| member.record.place.zone != *zone) {
            return false;
        }
        let rank = self.caller_rank(vm);
        let before = self.members(zone).filter(|(other, _)| self.caller_rank(other) > rank);
        before.count() < self.caller_vm_count(zone)
    }

    /// The fraction of every limit of the whole fleet that this VM owns: of customers' rates and of
    /// retries. It is equal for the VMs that look-ups return while all VMs run, and 0 for the
    /// others. It depends on records only, so that VMs with the same records agree.
    pub fn own_share(&self) -> f64 {
        if !self.serves_callers(&self.me) {
            return 0.0;
        }
        let zones: BTreeSet<&ZoneId> = self.vms.values().map(|m| &m.record.place.zone).collect();
        let owners = zones.iter().map(|z| self.caller_vm_count(z).min(self.members(z).count()));
        1.0 / owners.sum::<usize>().max(1) as f64
    }

    /// This VM's part in every limit that a target names, for a machine that started at `epoch` after the
    /// Unix epoch. A VM that look-ups don't return has a small one, since callers may still use it.
    pub fn limit_share(&self, epoch: Duration) -> LimitShare {
        let vms = self.vms.len().max(1) as f64;
        let fraction = self.own_share().max(STANDBY_LIMIT_RATIO / vms);
        let before = self.vms.range(..&self.me).count() as f64;
        LimitShare { fraction, place: before / vms, epoch }
    }

    /// Excludes a VM for a while, since it did not respond.
    pub fn mark_unresponsive(&mut self, now: Duration, vm: &VmId) {
        self.avoided.insert(vm.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// Excludes a VM as an upstream for a while, since its data is too old. It goes on to grant
    /// tokens: another VM would have none yet.
    pub fn mark_stale(&mut self, now: Duration, vm: &VmId) {
        self.stale.insert(vm.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// Excludes a VM, since it is shutting down.
    pub fn mark_leaving(&mut self, now: Duration, vm: &VmId) {
        self.avoided.insert(vm.clone(), now + LEAVING_BACKOFF);
    }

    /// Ends the exclusion of a VM, since it has responded; its data may still be too old.
    pub fn mark_responsive(&mut self, vm: &VmId) {
        self.avoided.remove(vm);
    }

    /// Ends the exclusion of a VM, since it has responded with recent data.
    pub fn mark_fresh(&mut self, vm: &VmId) {
        self.avoided.remove(vm);
        self.stale.remove(vm);
    }

    /// The VM that draws the tokens of this VM's zone from the pool: the first VM in the leaders'
    /// order that responds.
    pub fn token_leader(&self, now: Duration) -> Option<VmId> {
        self.choose(now, LEADER_ORDER, self.members(&self.place.zone))
    }

    /// True if this VM draws the tokens of its zone.
    pub fn is_token_leader(&self, now: Duration) -> bool {
        self.token_leader(now).as_ref() == Some(&self.me)
    }

    /// The leader of a zone, through which its VMs sync: the first VM in the leaders' order that
    /// responds with recent data.
    pub fn leader_of(&self, now: Duration, zone: &ZoneId) -> Option<VmId> {
        self.choose(now, LEADER_ORDER, self.members(zone).filter(|(vm, _)| self.is_fresh(now, vm)))
    }

    fn is_fresh(&self, now: Duration, vm: &VmId) -> bool {
        self.stale.get(vm).is_none_or(|until| *until <= now)
    }

    /// The leader of this VM's zone.
    pub fn zone_leader(&self, now: Duration) -> Option<VmId> {
        self.leader_of(now, &self.place.zone)
    }

    /// True if this VM is the leader of its zone.
    pub fn is_zone_leader(&self, now: Duration) -> bool {
        self.zone_leader(now).as_ref() == Some(&self.me)
    }

    /// The VM to sync store changes from: the leader of the zone, or, for a leader, the leader of
    /// the region, chosen among its zones' leaders. This VM itself if it leads the region and so
    /// reads the store.
    pub fn upstream(&self, now: Duration) -> Option<VmId> {
        let leader = self.zone_leader(now)?;
        if leader != self.me {
            return Some(leader);
        }
        let zones = self.regions.keys().filter(|z| self.in_own_region(z));
        let leaders: Vec<VmId> = zones.filter_map(|z| self.leader_of(now, z)).collect();
        self.choose(now, LEADER_ORDER, leaders.iter().filter_map(|vm| self.vms.get_key_value(vm)))
    }

    /// The VM that runs the pool of rate tokens for the whole deployment.
    pub fn pool_vm(&self, now: Duration) -> Option<VmId> {
        self.choose(now, POOL_ORDER, self.vms.iter())
    }

    /// The first VM that is not excluded: the largest, among equals by the rendezvous order of
    /// `order`.
    fn choose<'a>(
        &self,
        now: Duration,
        order: &[u8],
        members: impl Iterator<Item = (&'a VmId, &'a RegisteredVm)>,
    ) -> Option<VmId> {
        let order = name_hash(order);
        members
            .filter(|(vm, _)| self.avoided.get(*vm).is_none_or(|until| *until <= now))
            .max_by_key(|(_, member)| member.rank(order))
            .map(|(vm, _)| vm.clone())
    }

    /// All zones but this VM's own, those of its region first.
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

    /// True if this VM is the one in its zone that sends requests to cold targets: the first one
    /// that look-ups return. A single sender can limit their rate without coordination.
    pub fn paces_cold_targets(&self, now: Duration) -> bool {
        let own = self.caller_rank(&self.me);
        let mut others = self.running(now).filter(|(_, l)| l.zone == self.place.zone);
        others.all(|(vm, _)| self.caller_rank(vm) < own)
    }

    /// The addresses that a look-up from `zone` returns, at most `max`: of the first VMs that
    /// accept callers, those of the zone if there are two or more, else those of its region, else
    /// all. `own` is this VM's address if it accepts callers.
    pub fn lookup_addrs(
        &self,
        now: Duration,
        zone: &ZoneId,
        own: Option<SocketAddr>,
        max: usize,
    ) -> Vec<SocketAddr> {
        let region = self.regions.get(zone);
        let others = self.running(now).filter(|(_, l)| l.serving);
        let mut candidates: Vec<Candidate<'_>> = others
            .map(|(vm, l)| Candidate { rank: self.caller_rank(vm), zone: &l.zone, addr: l.callers })
            .collect();
        let own_rank = self.caller_rank(&self.me);
        candidates.extend(own.map(|addr| Candidate {
            rank: own_rank,
            zone: &self.place.zone,
            addr,
        }));
        candidates.sort_by_key(|c| Reverse(c.rank));
        let tiers: [&dyn Fn(&ZoneId) -> bool; 3] =
            [&|z| z == zone, &|z| region.is_some() && self.regions.get(z) == region, &|_| true];
        let mut best = Vec::new();
        for tier in tiers {
            best = self.first_of_each_zone(candidates.iter().filter(|c| tier(c.zone)));
            if best.len() > 1 {
                break;
            }
        }
        best.truncate(max);
        best.sort();
        best
    }

    /// The addresses of the first candidates of each zone, as many as are sent callers there.
    fn first_of_each_zone<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Candidate<'a>>,
    ) -> Vec<SocketAddr> {
        let mut taken: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut out = Vec::new();
        for candidate in candidates {
            let taken = taken.entry(candidate.zone).or_default();
            if *taken < self.caller_vm_count(candidate.zone) {
                *taken += 1;
                out.push(candidate.addr);
            }
        }
        out
    }
}

/// A VM that a look-up may return.
struct Candidate<'a> {
    /// Its rank in the callers' order.
    rank: (u32, u64),
    zone: &'a ZoneId,
    addr: SocketAddr,
}

impl RegisteredVm {
    /// Rank in the rendezvous order of `order`; a larger VM ranks above all smaller ones.
    fn rank(&self, order: NameHash) -> (u32, u64) {
        (self.record.cpu_millis, rendezvous_score(order, self.hash))
    }
}

fn vm_hash(vm: &VmId) -> NameHash {
    name_hash(vm.as_str().as_bytes())
}
