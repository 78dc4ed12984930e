//! A caller's request on its way: what is known of it, and why it may end without a target's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{StatusCode, request};

use crate::model::{RegionId, ServiceId};
use crate::steer::{Customer, Fingerprint, Index, Route};

/// When to come back after a refusal for want of room or knowledge.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(400);

/// Why a request got an answer of the front's own.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
    pub(crate) fn new(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self { status, reason, detail: detail.into(), retry_after: None }
    }

    /// A refusal of a request that has not run.
    pub(crate) fn not_run(reason: &'static str, detail: impl Into<String>) -> Self {
        let refused = Self::new(StatusCode::SERVICE_UNAVAILABLE, reason, detail);
        Self { retry_after: Some(RETRY_AFTER_DEFAULT), ..refused }
    }

    /// Tells the caller to come back after `pause` at the least.
    pub(crate) fn retry_after(self, pause: Duration) -> Self {
        Self { retry_after: self.retry_after.map(|r| r.max(pause)), ..self }
    }
}

/// The body of a request.
pub(crate) enum RequestBody {
    /// All of it.
    Buffered(Bytes),
    /// What has been read, and the rest; it can be sent once.
    Streamed(Vec<Bytes>, Body),
}

/// A request that may run.
pub(crate) struct Admitted {
    pub(crate) id: String,
    pub(crate) head: request::Parts,
    /// True if the body was not read whole before it is sent on.
    pub(crate) streamed: bool,
    pub(crate) index: Arc<Index>,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<Customer>,
    pub(crate) homes: Option<Vec<RegionId>>,
    pub(crate) affinity: Fingerprint,
    /// When the final answer is due.
    pub(crate) deadline: Duration,
    /// Same for the same customer, method, path and body; none if the body is too long.
    pub(crate) poison: Option<String>,
}

/// What is known of a request for the log.
#[derive(Default)]
pub(crate) struct RequestLog {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) customer: String,
    pub(crate) affinity: String,
    /// Targets that it was sent to and what became of it there.
    pub(crate) targets: String,
}

/// The path with its query, as it was sent.
pub(crate) fn path_and_query(head: &request::Parts) -> String {
    head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string)
}
