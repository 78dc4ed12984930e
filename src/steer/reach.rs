//! Whether any target can serve a request in time, asked before a token is taken for it.

use std::time::Duration;

use super::known::{KnownTarget, TargetTrust};
use super::pick::PickResult;
use super::target_limit::LimitShare;

/// Why none of the targets that a request is `allowed` to run at would serve it within `time_left`;
/// `None` if one may. Cold targets count as able: their rate is limited when one is chosen. `share` is
/// this VM's part in the limits that targets name. Counts and reserves nothing.
pub(super) fn refusal<'a>(
    now: Duration,
    time_left: Duration,
    share: &LimitShare,
    allowed: impl Iterator<Item = &'a KnownTarget>,
) -> Option<PickResult> {
    let (mut pause, mut late): (Option<Duration>, Option<Duration>) = (None, None);
    let mut permit: Option<Duration> = None;
    let mut any_cold = false;
    for known in allowed {
        if let Some(left) = known.notices.pause_left(now) {
            pause = Some(pause.map_or(left, |p| p.min(left)));
        } else if known.trust == TargetTrust::Trusted && !known.limit.admits(now, share) {
            permit = permit.into_iter().chain(known.limit.wait(now, share)).min();
        } else if known.trust == TargetTrust::Trusted && known.cold_until > now {
            any_cold = true;
        } else if known.trust == TargetTrust::Trusted {
            let expected = known.load.expected_latency(now).unwrap_or_default();
            let excess = (expected - time_left.as_secs_f64()).max(0.0);
            if excess == 0.0 && known.load.has_window() {
                return None;
            }
            let excess = Duration::from_secs_f64(excess);
            late = Some(late.map_or(excess, |l| l.min(excess)));
        }
    }
    match late.map(PickResult::Busy) {
        None if any_cold => None,
        None if permit.is_some() => permit.map(PickResult::Limited),
        None => Some(pause.map_or(PickResult::NoTarget, PickResult::Paused)),
        busy => busy,
    }
}
