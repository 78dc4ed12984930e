//! The balancer's knowledge of the limits that targets name.

use std::time::Duration;

use super::balancer::Balancer;
use super::target_limit::LimitNotice;
use crate::model::TargetId;

impl Balancer {
    /// Takes what a target, whose process started at `born_ms`, said of its limit at `now`. Returns the
    /// limit from now on, in requests per second, if it has changed: none if it has ended.
    pub fn record_limit(
        &mut self,
        now: Duration,
        id: &TargetId,
        born_ms: u64,
        notice: LimitNotice,
    ) -> Option<Option<f64>> {
        let known = self.targets.get_mut(id).filter(|k| k.record.born_ms == born_ms)?;
        known.limit.record(now, notice).then(|| known.limit.rate())
    }

    /// The number of targets that name a limit.
    pub fn limited_count(&self) -> usize {
        self.targets.values().filter(|k| k.limit.rate().is_some()).count()
    }
}
