//! Room in a region that is left to customers who are bound to it: others can go elsewhere.

use std::collections::HashMap;
use std::time::Duration;

use crate::model::{RegionId, ServiceId};

/// How heavily demand that is bound to a region counts: it fills the targets' caches, too.
const BOUND_WEIGHT: f64 = 1.5;
/// Least part of their size with which targets of a region count for requests that are not bound.
const SIZE_MIN: f64 = 0.05;
/// Most by which that part changes in a second, as a part of itself, so that few objects move at a
/// time.
const SLEW: f64 = 0.1;

/// How much of their size the targets of each region have for requests that are not bound to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reserve {
    /// Each region's part of the demand, by the customers bound to it; none until that is known.
    bound: Option<HashMap<RegionId, f64>>,
    /// True once it has changed: what has been in use till then was the full size.
    moved: bool,
    sizes: HashMap<ServiceId, Sizes>,
}

/// The size in use in each region, and since when.
pub(crate) type Sizes = HashMap<RegionId, (f64, Duration)>;

impl Reserve {
    /// Learns each region's part of the demand by customers that are bound to it.
    pub(crate) fn set(&mut self, bound: HashMap<RegionId, f64>) {
        if self.bound.as_ref() != Some(&bound) {
            if !bound.is_empty() || self.bound.is_some() {
                log::info!("targets: Demand bound to regions: {bound:?}.");
            }
            self.moved = self.bound.replace(bound).is_some();
        }
    }

    /// True if no customer is bound to a region and none was.
    pub(crate) fn is_idle(&self) -> bool {
        self.bound.as_ref().is_none_or(HashMap::is_empty) && self.sizes.is_empty()
    }

    /// The sizes of a service, as last worked out.
    pub(crate) fn sizes(&self, service: &ServiceId) -> Option<&Sizes> {
        self.sizes.get(service)
    }

    /// Works out the sizes of a service anew, by its `slots` in each region.
    pub(crate) fn resize(
        &mut self,
        now: Duration,
        service: &ServiceId,
        slots: &HashMap<&RegionId, f64>,
    ) {
        let sizes = self.sizes.entry(service.clone()).or_default();
        let total: f64 = slots.values().sum();
        for (&region, &own) in slots {
            let bound = self.bound.as_ref().and_then(|b| b.get(region)).copied().unwrap_or(0.0);
            let wanted = (1.0 - BOUND_WEIGHT * bound * total / own.max(1.0)).max(SIZE_MIN);
            match sizes.get_mut(region) {
                Some((size, since)) => {
                    let step = 1.0 + SLEW * now.saturating_sub(*since).as_secs_f64();
                    *size = wanted.clamp(*size / step, *size * step);
                    *since = now;
                }
                None => {
                    let first = if self.moved { 1.0 } else { wanted };
                    sizes.insert(region.clone(), (first, now));
                }
            }
        }
    }
}
