//! Reads what targets say of themselves in the heads of their responses, and passes it on.

use http::{HeaderMap, StatusCode};
use rand::Rng;
use serde::Serialize;

use crate::clock;
use crate::model::TargetId;
use crate::node::unix_millis;
use crate::steer::{LimitNotice, NoticeOrigin, TargetNotice};

use super::{Front, Headers};

/// The log line of a notice.
#[derive(Serialize)]
struct NoticeRecord<'a> {
    target: &'a str,
    leaving: bool,
    pause_ms: u64,
}

/// The log line of a limit that a target names, or no longer names.
#[derive(Serialize)]
struct LimitRecord<'a> {
    target: &'a str,
    /// Requests per second from all entry VMs; none when the limit ends.
    per_s: Option<f64>,
}

/// Reads the notice in a response's head, which must be known to come from the target itself.
pub(crate) fn read_notice(
    names: &Headers,
    status: StatusCode,
    headers: &HeaderMap,
) -> TargetNotice {
    TargetNotice::from_head(&names.leaving, status, headers)
}

impl Front {
    /// Records what a target, whose record says that it started at `born_ms`, says of its limit.
    pub(crate) fn record_limit(&self, id: &TargetId, born_ms: u64, notice: LimitNotice) {
        let changed = self.state.lock().balancer.record_limit(clock::now(), id, born_ms, notice);
        if notice == LimitNotice::Invalid {
            log::debug!("targets: {id} names a limit that can't be read.");
        }
        let Some(per_s) = changed else { return };
        self.metrics.record_limit(per_s.is_some());
        self.decision_log.log_limited("limit", &LimitRecord { target: id.as_str(), per_s });
    }

    /// Records a notice of a target whose record says that it started at `born_ms`.
    pub(crate) fn record_notice(&self, id: &TargetId, born_ms: u64, notice: TargetNotice) {
        if notice.is_empty() {
            return;
        }
        let sample = rand::rng().random();
        let origin = NoticeOrigin { born_ms, said_ms: unix_millis() };
        self.state.lock().balancer.record_notice(clock::now(), id, origin, notice, sample);
        self.metrics.record_notice(notice);
        let record = NoticeRecord {
            target: id.as_str(),
            leaving: notice.leaving,
            pause_ms: notice.pause.unwrap_or_default().as_millis() as u64,
        };
        self.decision_log.log_limited("notice", &record);
    }
}
