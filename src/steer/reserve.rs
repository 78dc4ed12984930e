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
    /// Each region's part of the demand, by the customers bound to it.
    bound: HashMap<RegionId, f64>,
    /// True once that is known.
    started: bool,
    /// True once it has changed: what has been in use till then was the full size.
    moved: bool,
    /// The sizes in use, and since when.
    sizes: HashMap<(ServiceId, RegionId), (f64, Duration)>,
}

impl Reserve {
    /// Learns each region's part of the demand by customers that are bound to it.
    pub(crate) fn set(&mut self, bound: HashMap<RegionId, f64>) {
        if bound != self.bound {
            log::info!("targets: Demand bound to regions: {bound:?}.");
            self.moved = self.started;
            self.bound = bound;
        }
        self.started = true;
    }

    /// True if no customer is bound to a region and none was.
    pub(crate) fn is_idle(&self) -> bool {
        self.bound.is_empty() && self.sizes.is_empty()
    }

    /// The part of their size with which a region's targets of a service count for requests that
    /// are not bound to it. `slots` are those of the service in each region.
    pub(crate) fn sizes<'a>(
        &mut self,
        now: Duration,
        service: &ServiceId,
        slots: &HashMap<&'a RegionId, f64>,
    ) -> HashMap<&'a RegionId, f64> {
        let total: f64 = slots.values().sum();
        let regions = slots.iter().map(|(&region, &own)| {
            let bound = self.bound.get(region).copied().unwrap_or_default();
            let wanted = (1.0 - BOUND_WEIGHT * bound * total / own.max(1.0)).max(SIZE_MIN);
            let key = (service.clone(), region.clone());
            let first = if self.moved { 1.0 } else { wanted };
            let (size, since) = self.sizes.entry(key).or_insert((first, now));
            let step = 1.0 + SLEW * now.saturating_sub(*since).as_secs_f64();
            *size = wanted.clamp(*size / step, *size * step);
            *since = now;
            (region, *size)
        });
        regions.collect()
    }
}
