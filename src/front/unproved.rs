//! Reports responses of targets that prove nothing about their requests.

use http::StatusCode;
use serde::Serialize;

use super::Front;
use super::response_head::{HeadFault, HeadOrigin};

/// The log line of such a response.
#[derive(Serialize)]
pub(crate) struct UnprovedRecord<'a> {
    id: &'a str,
    target: &'a str,
    status: u16,
    cause: &'static str,
    /// True if an earlier response came on the connection.
    reused: bool,
}

impl<'a> UnprovedRecord<'a> {
    /// The line for the response to the request with this `id`.
    pub(crate) fn new(
        id: &'a str,
        target: &'a str,
        status: StatusCode,
        fault: HeadFault,
        origin: HeadOrigin,
    ) -> Self {
        let HeadOrigin { reused, .. } = origin;
        Self { id, target, status: status.as_u16(), cause: fault.as_str(), reused }
    }
}

impl Front {
    /// Counts and logs a response that proves nothing about its request.
    pub(crate) fn report_unproved(&self, fault: HeadFault, record: &UnprovedRecord<'_>) {
        self.metrics.decisions.record_unproved(fault);
        self.decision_log.log_limited("unproved", record);
    }
}
