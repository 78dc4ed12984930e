//! Weights of regions that keep capacity free for customers bound to them.
//!
//! For a request that may run anywhere, the targets of a region weigh less the more of the region's
//! capacity is needed by customers that are bound to it.

use std::collections::HashMap;
use std::time::Duration;

use crate::model::{RegionId, ServiceId};

/// Factor on demand that is bound to a region, since it also takes space in the targets' caches.
const BOUND_DEMAND_FACTOR: f64 = 1.5;
/// Lowest weight of a region.
const WEIGHT_MIN: f64 = 0.05;
/// Largest change of a weight in a second, as a fraction of the weight, so that few affinity keys
/// move to other targets at a time.
const WEIGHT_SLEW_RATE: f64 = 0.1;

/// The weight of each region for requests that are not bound to any, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionWeights {
    /// For each region, the fraction of all demand that is bound to it; `None` until it is known.
    demand: Option<HashMap<RegionId, f64>>,
    /// True once the demand has changed after it was first known. A service that has no weights
    /// then has used full weight so far, and starts from it.
    changed: bool,
    weights: HashMap<ServiceId, Weights>,
}

/// The weight of each region, from 0 to 1, and when it was computed.
pub(crate) type Weights = HashMap<RegionId, (f64, Duration)>;

impl RegionWeights {
    /// Sets, for each region, the fraction of all demand that is bound to it.
    pub(crate) fn set_demand(&mut self, demand: HashMap<RegionId, f64>) {
        if self.demand.as_ref() != Some(&demand) {
            if !demand.is_empty() || self.demand.is_some() {
                log::info!("targets: Fractions of the demand bound to regions: {demand:?}.");
            }
            self.changed = self.demand.replace(demand).is_some();
        }
    }

    /// True if no customer is bound to a region and no weights are in use.
    pub(crate) fn is_idle(&self) -> bool {
        self.demand.as_ref().is_none_or(HashMap::is_empty) && self.weights.is_empty()
    }

    /// The weights for a service, as last computed.
    pub(crate) fn weights(&self, service: &ServiceId) -> Option<&Weights> {
        self.weights.get(service)
    }

    /// Recomputes the weights for a service from its `slots` in each region.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        service: &ServiceId,
        slots: &HashMap<&RegionId, f64>,
    ) {
        let weights = self.weights.entry(service.clone()).or_default();
        let total: f64 = slots.values().sum();
        for (&region, &regional) in slots {
            let bound = self.demand.as_ref().and_then(|b| b.get(region)).copied().unwrap_or(0.0);
            let wanted =
                (1.0 - BOUND_DEMAND_FACTOR * bound * total / regional.max(1.0)).max(WEIGHT_MIN);
            match weights.get_mut(region) {
                Some((weight, computed)) => {
                    let step = 1.0 + WEIGHT_SLEW_RATE * now.saturating_sub(*computed).as_secs_f64();
                    *weight = wanted.clamp(*weight / step, *weight * step);
                    *computed = now;
                }
                None => {
                    let first = if self.changed { 1.0 } else { wanted };
                    weights.insert(region.clone(), (first, now));
                }
            }
        }
    }
}
