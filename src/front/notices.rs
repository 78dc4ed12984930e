//! Reads what targets say of themselves in the heads of their responses, and passes it on.

use http::{HeaderMap, StatusCode};
use rand::Rng;
use serde::Serialize;

use crate::clock;
use crate::model::TargetId;
use crate::node::unix_millis;
use crate::steer::{NoticeOrigin, TargetNotice};

use super::{Front, Headers};

/// The log line of a notice.
#[derive(Serialize)]
struct NoticeRecord<'a> {
    target: &'a str,
    leaving: bool,
    pause_ms: u64,
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
