//! Passes observations of targets between this VM and the entry VMs of its zone that serve callers,
//! within the sync messages, and samples the estimate of idle slots.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Identity, WireObservation};
use crate::steer::Observation;

use super::Front;

/// Interval of the samples of idle slots.
const IDLE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Adds up the slot time that is estimated to be idle beside a queue.
pub(super) async fn run(front: Arc<Front>) {
    let mut last = clock::now();
    loop {
        sleep(IDLE_SAMPLE_INTERVAL).await;
        let now = clock::now();
        let idle = front.state.lock().balancer.idle_beside_queue(now);
        front.metrics.record_idle(idle * now.saturating_sub(last).as_secs_f64());
        last = now;
    }
}

impl Front {
    /// What to tell the VM that this one syncs from: nothing unless it is the leader of the zone
    /// and this VM serves callers.
    pub(super) fn observations_to_leader(&self, leader: &VmId) -> Vec<WireObservation> {
        let now = clock::now();
        let serving = self.is_serving();
        let mut state = self.state.lock();
        let shares = serving
            && state.fleet.serves_callers(&self.me.vm)
            && state.fleet.zone_leader(now).as_ref() == Some(leader);
        if !shares {
            return Vec::new();
        }
        to_wire(state.balancer.observations_for(now, leader))
    }

    /// Takes what the leader of the zone answered to a request sent at `sent`.
    pub(super) fn merge_observations(
        &self,
        leader: &VmId,
        sent: Duration,
        observations: Vec<WireObservation>,
    ) {
        if observations.is_empty() {
            return;
        }
        let now = clock::now();
        let mut state = self.state.lock();
        let is_neighbour =
            state.fleet.record(leader).is_some_and(|r| r.place.zone == self.place.zone);
        if is_neighbour {
            let observations = observations.into_iter().map(Observation::from);
            state.balancer.merge_observations(now, sent, leader, observations);
        }
    }

    /// Takes the observations of a VM that syncs from this one, and returns those for it. VMs that
    /// do not serve callers of this zone neither send nor get any.
    pub(super) fn exchange_observations(
        &self,
        from: &Identity,
        serving: bool,
        observations: Vec<WireObservation>,
    ) -> Vec<WireObservation> {
        let now = clock::now();
        let mut state = self.state.lock();
        if !serving || !state.fleet.serves_callers(&from.vm) {
            return Vec::new();
        }
        let observations = observations.into_iter().map(Observation::from);
        state.balancer.merge_observations(now, now, &from.vm, observations);
        to_wire(state.balancer.observations_for(now, &from.vm))
    }
}

fn to_wire(observations: Vec<Observation>) -> Vec<WireObservation> {
    observations.into_iter().map(WireObservation::from).collect()
}
