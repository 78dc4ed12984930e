//! Keeps the last final rejections, and reports those that a newer routing table proves wrong. Also
//! reports what never became a request.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Parts;
use serde::Serialize;

use crate::clock;
use crate::net::UnparsedCause;
use crate::steer::{OverturnedRejection, Rejection, RejectionReason, TableIndex, key_hash};

use super::Front;
use super::request_head::api_key;

/// The log line of a rejection that a newer routing table proves wrong.
#[derive(Serialize)]
struct OverturnedRecord<'a> {
    id: &'a str,
    reason: &'static str,
    /// The route that the request has now.
    route: &'a str,
    version_then: u64,
    version_now: u64,
    /// Time from the rejection to the newer table, in milliseconds.
    ms: u64,
}

impl<'a> OverturnedRecord<'a> {
    fn new(overturned: &'a OverturnedRejection, version_now: u64) -> Self {
        let OverturnedRejection { rejection, route, after } = overturned;
        Self {
            id: &rejection.id,
            reason: rejection.reason.as_str(),
            route,
            version_then: rejection.version,
            version_now,
            ms: after.as_millis() as u64,
        }
    }
}

/// The log line of a head that could not be parsed.
#[derive(Serialize)]
struct UnparsedRecord {
    /// The caller's address.
    from: SocketAddr,
    cause: &'static str,
}

impl Front {
    /// Keeps the rejection of a request for `host` by `index`, so that the next routing tables judge it
    /// again.
    pub(crate) fn keep_rejection(
        &self,
        reason: RejectionReason,
        id: &str,
        host: &str,
        head: &Parts,
        index: &TableIndex,
    ) {
        let rejection = Rejection {
            id: id.to_owned(),
            reason,
            host: host.to_owned(),
            path: head.uri.path().to_owned(),
            key: api_key(self, &head.headers).map(key_hash),
            at: clock::now(),
            version: index.table().version,
        };
        self.rejections.lock().expect("rejections lock").add(rejection);
    }

    /// Counts and logs the rejections that the routing table that came in force at `now` proves wrong.
    pub(crate) fn report_overturned(&self, now: Duration) {
        let Some(index) = self.state.index() else { return };
        let mut rejections = self.rejections.lock().expect("rejections lock");
        for overturned in rejections.take_overturned(now, &index) {
            self.metrics.decisions.record_overturned(overturned.rejection.reason);
            let record = OverturnedRecord::new(&overturned, index.table().version);
            self.decision_log.log_limited("overturned", &record);
        }
    }

    /// Counts and logs a request of the caller at `from` whose head could not be parsed.
    pub(crate) fn report_unparsed(&self, from: SocketAddr, cause: UnparsedCause) {
        self.metrics.decisions.record_unparsed(cause);
        self.decision_log.log_limited("unparsed", &UnparsedRecord { from, cause: cause.as_str() });
    }
}
