//! The load balancer of a front: the known targets, their state, and the choice of one per request.
//!
//! It is fed with the targets' records, evacuated zones and routing table from the store, with what
//! the front observes of its requests, and with probe results. It does no I/O itself.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::known::{DueProbe, KnownTarget, LeftTarget, TargetTrust};
use super::notice::{NoticeOrigin, NoticeState, TargetNotice};
use super::observations::Observations;
use super::pick::{Pick, PickRequest, PickResult};
use super::ranking::{Choice, Ranked, choose};
use super::reach::refusal;
use super::record::{TargetReadiness, TargetRecord};
use super::region_weights::RegionWeights;
use super::rendezvous::{rendezvous_score, weighted_score};
use super::spill_noise::SpillNoise;
use super::target_limit::LimitShare;
use super::zone_failures::ZoneFailures;
use crate::model::{RegionId, ServiceId, TargetId, ZoneId};

/// Factor by which a target in this VM's region weighs more than one in another region.
const OWN_REGION_WEIGHT: f64 = 5.0;
/// Fraction of a cold target's allowed rate that is used.
const COLD_RATE_RATIO: f64 = 0.8;

/// The known targets, and the choice among them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) targets: BTreeMap<TargetId, KnownTarget>,
    /// The region of each zone.
    pub(super) regions: HashMap<ZoneId, RegionId>,
    /// Zones whose targets get no requests.
    evacuated: BTreeSet<ZoneId>,
    region_weights: RegionWeights,
    /// Zones whose cold targets this entry VM may send to.
    paced_zones: BTreeSet<ZoneId>,
    zone_failures: HashMap<ZoneId, ZoneFailures>,
    /// Removed targets, by id: their records may come back.
    pub(super) left: HashMap<TargetId, LeftTarget>,
    /// Observations of the zone's entry VMs, to be passed on.
    pub(super) observations: Observations,
    /// This VM's part in the limits that targets name.
    pub(super) limit_share: LimitShare,
    /// When there will be room for the next caller that is rejected for the limits of a service's targets.
    pub(super) room_at: HashMap<ServiceId, Duration>,
    /// Spreads the choices of entry VMs with the same information.
    pub(super) noise: SpillNoise,
}

impl Balancer {
    /// A balancer without targets for a deployment with these zones.
    pub fn new(regions: HashMap<ZoneId, RegionId>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Takes what a target says of itself in a response. `sample` is a random number from 0 to 1.
    pub fn record_notice(
        &mut self,
        now: Duration,
        id: &TargetId,
        origin: NoticeOrigin,
        notice: TargetNotice,
        sample: f64,
    ) {
        let Some(known) = self.targets.get_mut(id) else {
            // Its record is missing, but may come back.
            let mut notices = NoticeState::default();
            notices.record(now, origin, notice, sample);
            if notice.leaving {
                let left = self.left.entry(id.clone()).or_default();
                (left.notices, left.removed) = (notices, now);
            }
            return;
        };
        if !origin.is_from(known.record.born_ms) {
            return;
        }
        known.notices.record(now, origin, notice, sample);
        if notice.pause.is_some() {
            known.load.restart_window();
        }
    }

    /// Sets the zones that get no requests. Targets of a zone that is no longer evacuated may be
    /// cold and are probed first.
    pub fn set_evacuated_zones(&mut self, now: Duration, zones: BTreeSet<ZoneId>) {
        let restored: Vec<ZoneId> = self.evacuated.difference(&zones).cloned().collect();
        for known in self.targets.values_mut().filter(|k| restored.contains(&k.record.zone)) {
            known.trust = TargetTrust::Unproven { due: now, failures: 0 };
        }
        self.evacuated = zones;
    }

    /// Sets the zones whose cold targets this entry VM may send requests to.
    pub fn set_paced_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.paced_zones = zones;
    }

    /// Sets, for each region, the fraction of all demand that comes from customers bound to it.
    pub fn set_regional_demand(&mut self, demand: HashMap<RegionId, f64>) {
        self.region_weights.set_demand(demand);
    }

    /// Recomputes the weights of the regions for a request that is not bound to any.
    fn update_region_weights(&mut self, now: Duration, request: &PickRequest<'_>) {
        if request.allowed_regions.is_some() || self.region_weights.is_idle() {
            return;
        }
        let mut slots: HashMap<&RegionId, f64> = HashMap::new();
        for known in self.targets.values().filter(|k| self.is_allowed(k, request)) {
            *slots.entry(&known.region).or_default() += f64::from(known.record.slots.max(1));
        }
        self.region_weights.update(now, request.service, &slots);
    }

    /// Chooses a target: the first usable one in the rendezvous order of the affinity key, or a later
    /// one if the first is overloaded ([`choose`]). Only three are considered, so that a key's requests
    /// stay on few targets. Targets that keep failing requests are passed over while there are others.
    /// If no warm target is usable, a cold one may be chosen.
    pub fn pick(&mut self, now: Duration, request: &PickRequest<'_>) -> PickResult {
        self.update_region_weights(now, request);
        let noise = self.noise.draw();
        let weights = self
            .region_weights
            .weights(request.service)
            .filter(|_| request.allowed_regions.is_none());
        let usable = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_allowed(k, request) && !request.avoid.contains(id))
            .filter(|(_, k)| k.trust == TargetTrust::Trusted && k.cold_until <= now)
            .filter(|(_, k)| k.notices.pause_left(now).is_none())
            .filter(|(_, k)| k.limit.admits(now, &self.limit_share));
        let ranked = usable.map(|(id, known)| {
            let proximity = if known.region == *request.region { OWN_REGION_WEIGHT } else { 1.0 };
            let regional =
                weights.and_then(|w| w.get(&known.region)).map_or(1.0, |(weight, _)| *weight);
            let weight = f64::from(known.record.slots.max(1)) * proximity * regional;
            let score = weighted_score(request.affinity, known.hash, weight);
            Ranked { key: id, load: &known.load, accepts: !known.backoff.is_active(now), score }
        });
        let (id, order) = match choose(now, request.time_left, noise, ranked) {
            Some(Choice::Busy(late)) => return PickResult::Busy(Duration::from_secs_f64(late)),
            Some(Choice::Target(id, order)) => (Some(id.clone()), order),
            None => (self.pick_cold(now, request), 0),
        };
        let Some(id) = id else {
            let pause = self.pause_left(now, request);
            let limited = self.reject_limited(now, request);
            return limited.or(pause.map(PickResult::Paused)).unwrap_or(PickResult::NoTarget);
        };
        let Some(known) = self.targets.get_mut(&id) else { return PickResult::NoTarget };
        known.limit.record_sent(now, &self.limit_share);
        PickResult::Target(Pick {
            addr: known.record.addr,
            born_ms: known.record.born_ms,
            restarts: known.restarts,
            zone: known.record.zone.clone(),
            region: known.region.clone(),
            queue: known.load.queue_ahead(now),
            order,
            age: known.load.observation_age(now),
            id,
        })
    }

    /// Why no target can serve the request in time, whichever [`Self::pick`] would choose; `None` if
    /// one may, or while no target is known after a start. No target is reserved.
    pub fn refusal(&mut self, now: Duration, request: &PickRequest<'_>) -> Option<PickResult> {
        let allowed = self.targets.values().filter(|k| self.is_allowed(k, request));
        let refusal = refusal(now, request.time_left, &self.limit_share, allowed);
        match refusal.filter(|_| !self.targets.is_empty())? {
            PickResult::Limited(_) => self.reject_limited(now, request),
            refusal => Some(refusal),
        }
    }

    /// Time until the first pause ends of the targets that may run a request.
    fn pause_left(&self, now: Duration, request: &PickRequest<'_>) -> Option<Duration> {
        let allowed = self.targets.values().filter(|k| self.is_allowed(k, request));
        allowed.filter_map(|k| k.notices.pause_left(now)).min()
    }

    /// Chooses a cold target, at a limited rate, if no warm one is usable and this entry VM is the
    /// one that sends to the cold targets of its zone.
    fn pick_cold(&mut self, now: Duration, request: &PickRequest<'_>) -> Option<TargetId> {
        if request.cold_rate <= 0.0 {
            return None;
        }
        let id = self
            .targets
            .iter()
            .filter(|(id, k)| self.is_allowed(k, request) && !request.avoid.contains(id))
            .filter(|(_, k)| {
                k.trust == TargetTrust::Trusted && self.paced_zones.contains(&k.record.zone)
            })
            .filter(|(_, k)| k.next_cold_send <= now && k.notices.pause_left(now).is_none())
            .filter(|(_, k)| k.limit.admits(now, &self.limit_share))
            .max_by_key(|(_, k)| rendezvous_score(request.affinity, k.hash))
            .map(|(id, _)| id.clone())?;
        let known = self.targets.get_mut(&id)?;
        let pause = Duration::try_from_secs_f64(1.0 / (request.cold_rate * COLD_RATE_RATIO));
        known.next_cold_send = now.saturating_add(pause.unwrap_or(Duration::MAX));
        Some(id)
    }

    pub(super) fn is_allowed(&self, known: &KnownTarget, request: &PickRequest<'_>) -> bool {
        known.record.service == *request.service
            && known.record.state == TargetReadiness::Ready
            && !known.notices.is_leaving()
            && !self.evacuated.contains(&known.record.zone)
            && request.allowed_regions.is_none_or(|regions| regions.contains(&known.region))
    }

    /// Counts a request that is sent to a target.
    pub fn record_sent(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.record_sent();
        }
    }

    /// Counts a request that has ended at a target.
    pub fn record_end(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.record_end();
        }
    }

    /// Records that a target rejected a request without running it.
    pub fn record_rejection(&mut self, now: Duration, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.backoff.record_rejection(now);
            self.observations.record_rejection(id);
        }
    }

    /// Records that a target did not send a valid response.
    pub fn record_loss(&mut self, now: Duration, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.backoff.record_loss(now);
        }
    }

    /// Records the time from sending a request to its whole response.
    pub fn record_latency(&mut self, now: Duration, pick: &Pick, latency: Duration) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            known.backoff.record_answer(now);
            if let Some(failures) = self.zone_failures.get_mut(&pick.zone) {
                failures.record_answer();
            }
            known.load.record_latency(now, pick.queue, latency);
        }
    }

    /// Records a request that was aborted after `waited` without a response: because it
    /// `timed_out`, or else because its caller disconnected.
    pub fn record_unanswered(
        &mut self,
        now: Duration,
        pick: &Pick,
        waited: Duration,
        timed_out: bool,
    ) {
        if let Some(known) = self.targets.get_mut(&pick.id) {
            known.load.record_unanswered(now, pick.queue, waited);
            if timed_out {
                known.load.record_timeout(now);
            }
        }
    }

    /// Marks a target that refused a connection or broke off a response; it is probed next. If its
    /// whole zone seems to be gone, all targets of the zone are.
    pub fn mark_failed(&mut self, now: Duration, id: &TargetId) {
        let Some(known) = self.targets.get_mut(id) else { return };
        known.mark_failed(now);
        let zone = known.record.zone.clone();
        if self.zone_failures.entry(zone.clone()).or_default().record_failure(now, id) {
            self.distrust_zone(now, &zone);
        }
    }

    /// Marks the target of a request as failed because it has crashed.
    pub fn mark_crashed(&mut self, now: Duration, pick: &Pick) {
        let known = self.targets.get_mut(&pick.id);
        if let Some(known) = known.filter(|k| k.is_same_run(pick)) {
            known.crashed = true;
        }
        self.mark_failed(now, &pick.id);
    }

    /// Probes all targets of a zone before they get requests again.
    fn distrust_zone(&mut self, now: Duration, zone: &ZoneId) {
        let in_zone = self.targets.values_mut().filter(|k| k.record.zone == *zone);
        for known in in_zone.filter(|k| k.trust == TargetTrust::Trusted) {
            known.trust = TargetTrust::Unproven { due: now, failures: 0 };
        }
    }

    /// Marks a target at whose address another process responded.
    pub fn mark_replaced(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            known.trust = TargetTrust::Replaced;
        }
    }

    /// The targets to probe now. The caller must probe each and report to [`Self::record_probe`].
    pub fn due_probes(&mut self, now: Duration) -> Vec<DueProbe> {
        let mut out = Vec::new();
        for (id, known) in &mut self.targets {
            let allowed = known.record.state == TargetReadiness::Ready
                && !known.notices.is_leaving()
                && known.notices.pause_left(now).is_none()
                && !self.evacuated.contains(&known.record.zone);
            match known.trust {
                TargetTrust::Unproven { due, failures } if due <= now && allowed => {
                    known.trust = TargetTrust::Probing { failures };
                    known.limit.record_sent(now, &self.limit_share);
                    out.push(DueProbe {
                        id: id.clone(),
                        addr: known.record.addr,
                        service: known.record.service.clone(),
                        born_ms: known.record.born_ms,
                    });
                }
                _ => {}
            }
        }
        out
    }

    /// Records a probe: the time for which the target stays cold, or `None` if the probe failed.
    pub fn record_probe(&mut self, now: Duration, id: &TargetId, cold: Option<Duration>) {
        if let Some(known) = self.targets.get_mut(id) {
            known.record_probe(now, cold);
        }
    }

    /// The target's record.
    pub fn record(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.get(id).map(|k| &k.record)
    }

    /// Whether the target may take requests, judged by its failures and probes.
    pub fn trust(&self, id: &TargetId) -> Option<TargetTrust> {
        self.targets.get(id).map(|k| k.trust)
    }

    /// The number of known targets, and of those that are trusted and warm.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        let usable = |k: &&KnownTarget| k.trust == TargetTrust::Trusted && k.cold_until <= now;
        (self.targets.len(), self.targets.values().filter(usable).count())
    }
}
