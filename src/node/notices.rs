//! What targets say of themselves in the heads of their responses: reads it and passes it to the
//! dispatcher of the target's service.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderName, Response};

use crate::model::{ServiceId, TargetId};
use crate::net::header_text;
use crate::steer::{LimitNotice, TargetNotice};
use crate::targets::NoticeReport;

use super::metrics::NoticeLabels;
use super::{Node, peers};

/// Header with which a target says that it leaves.
pub(crate) const LEAVING_HEADER: &str = "x-shallot-leaving";

/// Header with the requests per second that a target takes.
const LIMIT_HEADER: &str = "x-shallot-limit";

/// Records what a response, which is known to be the target's own, says of its limit.
pub(super) fn record_limit(
    node: &Node,
    service: &ServiceId,
    target: &TargetId,
    response: &Response<Bytes>,
) {
    let name = HeaderName::from_static(LIMIT_HEADER);
    let notice = LimitNotice::from_head(&[name], response.headers());
    node.egress.with_dispatcher(service, |dispatcher, rng| {
        dispatcher.record_limit(Instant::now(), target, notice, rng)
    });
}

/// Reads the notice in the response to the request with this id. One that names another request came
/// late or twice, and says nothing.
pub(super) fn read_notice(response: &Response<Bytes>, request: &str) -> TargetNotice {
    let echoed = header_text(response.headers(), "x-request-id");
    if echoed.is_some_and(|id| id != request) {
        return TargetNotice::default();
    }
    read_own_notice(response)
}

/// Reads the notice in a response that came on a connection of its own.
pub(super) fn read_own_notice(response: &Response<Bytes>) -> TargetNotice {
    let leaving = HeaderName::from_static(LEAVING_HEADER);
    TargetNotice::from_head(&[leaving], response.status(), response.headers())
}

/// Records a notice, and tells the peers at once that the target has no slots for a while.
pub(super) fn record(node: &Node, service: &ServiceId, report: &NoticeReport<'_>) {
    if report.notice.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut is_new = false;
    node.egress.with_dispatcher(service, |dispatcher, rng| {
        let before = dispatcher.notice_of(now, report.target);
        let decisions = dispatcher.record_notice(now, report, rng);
        is_new = before.is_none() && dispatcher.notice_of(now, report.target).is_some();
        decisions
    });
    if is_new {
        let kind = if report.notice.leaving { "leaving" } else { "pause" };
        node.metrics.notices.get_or_create(&NoticeLabels { kind }).inc();
        log::info!("target: {} says of itself: {:?}.", report.target, report.notice);
        peers::broadcast_heartbeat(node);
    }
}
