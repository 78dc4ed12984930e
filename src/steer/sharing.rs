//! The balancer's exchange of observations with the entry VMs of its zone, and its view of unused
//! slots.

use std::collections::HashMap;
use std::time::Duration;

use super::balancer::Balancer;
use super::known::{KnownTarget, TargetTrust};
use super::load_report::LoadReport;
use super::observations::{OBSERVATION_AGE_MAX, Observation};
use super::pick::Pick;
use super::spill_noise::SpillNoise;
use super::target_limit::LimitNotice;
use crate::model::{RegionId, ServiceId, TargetId, VmId};

/// Age up to which another VM's rejection starts a backoff here.
const REJECTION_AGE_MAX: Duration = Duration::from_millis(500);
/// Age up to which a target's slots are judged as idle or not.
const IDLE_AGE_MAX: Duration = Duration::from_millis(1_000);

impl Balancer {
    /// Sets the seed of the random part of choices; each entry VM should have its own.
    pub fn set_seed(&mut self, seed: u64) {
        self.noise = SpillNoise::new(seed);
    }

    /// Records the load that a target reports in a response to a request sent to `pick`. A report of
    /// an earlier incarnation is ignored.
    pub fn record_report(&mut self, now: Duration, pick: &Pick, report: LoadReport) {
        let Some(known) = self.targets.get_mut(&pick.id).filter(|k| k.is_same_run(pick)) else {
            return;
        };
        known.load.record_pace(now, report.pace);
        self.record_load(now, &pick.id, report.requests);
    }

    /// Records the load that a target reports: its running and waiting requests, including those of
    /// this entry VM.
    pub fn record_load(&mut self, now: Duration, id: &TargetId, requests: u32) {
        if let Some(known) = self.targets.get_mut(id) {
            known.load.record_report(now, requests);
            self.observations.record(now, known.observation(now, id, requests), None);
        }
    }

    /// The observations to send to `receiver`, an entry VM of the zone.
    pub fn observations_for(&mut self, now: Duration, receiver: &VmId) -> Vec<Observation> {
        self.observations.updates_for(now, receiver)
    }

    /// Takes observations that `sender`, an entry VM of the zone, sent at `sent`. Those of an unknown
    /// target, of another incarnation or with an impossible age are ignored.
    pub fn merge_observations(
        &mut self,
        now: Duration,
        sent: Duration,
        sender: &VmId,
        observations: impl IntoIterator<Item = Observation>,
    ) {
        for observation in observations {
            self.merge_observation(now, sent, sender, observation);
        }
    }

    fn merge_observation(
        &mut self,
        now: Duration,
        sent: Duration,
        sender: &VmId,
        observation: Observation,
    ) {
        let Some(known) = self.targets.get_mut(&observation.target) else { return };
        let Some(at) = sent.checked_sub(observation.age) else { return };
        let age = now.saturating_sub(at);
        if known.record.born_ms != observation.born_ms || age >= OBSERVATION_AGE_MAX {
            return;
        }
        if !known.load.record_shared(at, observation.requests, observation.own) {
            return;
        }
        known.load.record_pace(at, observation.pace);
        let limit = observation.limit.map_or(LimitNotice::Absent, LimitNotice::Named);
        known.limit.record(at, limit, &self.limit_share);
        // A target with a free slot has no cause to reject all requests, so the rejection says
        // nothing of this VM's.
        let is_loaded = f64::from(observation.requests) >= known.load.slots();
        if observation.rejected && is_loaded && age <= REJECTION_AGE_MAX {
            known.backoff.record_shared_rejection(at);
        }
        self.observations.record(at, observation, Some(sender));
    }

    /// Slots that are estimated to be idle while requests wait at other targets of the same service
    /// and region, which could use them. Only targets with a recent observation count.
    pub fn idle_beside_queue(&self, now: Duration) -> f64 {
        let mut groups: HashMap<(&ServiceId, &RegionId), (f64, f64)> = HashMap::new();
        for known in self.targets.values().filter(|k| is_recently_seen(k, now)) {
            let group = groups.entry((&known.record.service, &known.region)).or_default();
            let surplus = known.load.requests(now) - known.load.slots();
            group.0 += (-surplus).max(0.0);
            group.1 += surplus.max(0.0);
        }
        groups.values().map(|(idle, waiting)| idle.min(*waiting)).sum()
    }
}

fn is_recently_seen(known: &KnownTarget, now: Duration) -> bool {
    known.trust == TargetTrust::Trusted
        && known.load.observation_age(now).is_some_and(|age| age <= IDLE_AGE_MAX)
}
