//! The balancer's knowledge of the limits that targets name, and the callers that they keep waiting.

use std::time::Duration;

use super::balancer::Balancer;
use super::known::{KnownTarget, TargetTrust};
use super::pick::{PickRequest, PickResult};
use super::target_limit::{LimitNotice, LimitShare};
use crate::model::TargetId;

/// Longest wait that is told to a rejected caller; later, the estimate no longer holds.
const WAIT_MAX: Duration = Duration::from_secs(4);

impl Balancer {
    /// Sets this VM's part in the limits that targets name for all entry VMs.
    pub fn set_limit_share(&mut self, now: Duration, share: LimitShare) {
        let LimitShare { fraction, place, .. } = self.limit_share;
        if (fraction, place) == (share.fraction, share.place) {
            return;
        }
        self.limit_share = share;
        for known in self.targets.values_mut() {
            known.limit.plan(now, &share);
        }
    }

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
        known.limit.record(now, notice, &self.limit_share).then(|| known.limit.rate())
    }

    /// The number of targets that name a limit.
    pub fn limited_count(&self) -> usize {
        self.targets.values().filter(|k| k.limit.rate().is_some()).count()
    }

    /// The rejection of a request that no target can take but those at their limits; none if there are
    /// no such targets. Each rejected caller is told a later time, at the rate at which the limits let
    /// requests through.
    pub(super) fn reject_limited(
        &mut self,
        now: Duration,
        request: &PickRequest<'_>,
    ) -> Option<PickResult> {
        let share = self.limit_share;
        let (mut first, mut rate) = (None::<Duration>, 0.0);
        let others = self.targets.iter().filter(|(id, _)| !request.avoid.contains(id));
        let allowed = others.map(|(_, k)| k).filter(|k| self.is_allowed(k, request));
        for known in allowed.filter(|k| is_limited(k, now)) {
            let Some(wait) = known.limit.wait(now, &share) else { continue };
            first = Some(first.map_or(wait, |f| f.min(wait)));
            rate += known.limit.interval(&share).as_secs_f64().recip();
        }
        let room_at = self.room_at.entry(request.service.clone()).or_default();
        let at = now.saturating_add(first?).max(*room_at).min(now + WAIT_MAX);
        *room_at = at + Duration::from_secs_f64(rate.recip()).min(WAIT_MAX);
        Some(PickResult::Limited(at - now))
    }
}

/// True if nothing but its limit keeps requests from a target.
fn is_limited(known: &KnownTarget, now: Duration) -> bool {
    known.trust == TargetTrust::Trusted
        && known.notices.pause_left(now).is_none()
        && known.limit.rate().is_some()
}
