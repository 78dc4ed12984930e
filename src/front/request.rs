//! A caller's request while the front handles it, and the error responses of the front itself.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{StatusCode, request};

use crate::model::{RegionId, ServiceId};
use crate::steer::{Customer, NameHash, RankClass, Route, TableIndex};

use super::admission::HeldToken;
use super::in_flight::InFlightGuard;
use super::response_head::NotRunProof;

/// `Retry-After` of a 503 response.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(400);

/// An error response that the front produces itself, without a target's response.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    /// A fixed word for the response's body, the log and the metrics.
    pub(crate) reason: &'static str,
    /// The cause, for the log only.
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
    pub(crate) fn new(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self { status, reason, detail: detail.into(), retry_after: None }
    }

    /// A 503 for a request that no target has run.
    pub(crate) fn not_run(reason: &'static str, detail: impl Into<String>) -> Self {
        let error = Self::new(StatusCode::SERVICE_UNAVAILABLE, reason, detail);
        Self { retry_after: Some(RETRY_AFTER_DEFAULT), ..error }
    }

    /// Lets the caller retry at once, if it may retry: another VM can serve it.
    pub(crate) fn retry_at_once(self) -> Self {
        Self { retry_after: self.retry_after.map(|_| Duration::ZERO), ..self }
    }

    /// Raises `Retry-After`, if there is one, to at least `pause`.
    pub(crate) fn retry_after(self, pause: Duration) -> Self {
        Self { retry_after: self.retry_after.map(|r| r.max(pause)), ..self }
    }
}

/// The body of a request.
pub(crate) enum RequestBody {
    /// The whole body; it can be sent more than once.
    Buffered(Bytes),
    /// The chunks read so far and the unread rest; it can be sent only once.
    Streamed(Vec<Bytes>, Body),
}

impl RequestBody {
    /// Its first bytes, `limit` at most, however they are divided into chunks.
    pub(crate) fn start(&self, limit: usize) -> Bytes {
        let mut start = match self {
            Self::Buffered(body) => body.clone(),
            Self::Streamed(chunks, _) => chunks.concat().into(),
        };
        start.truncate(limit);
        start
    }
}

/// A request that has passed all checks and may be sent to targets.
pub(crate) struct Admitted {
    pub(crate) id: String,
    pub(crate) head: request::Parts,
    /// True if the body is streamed to the target instead of buffered.
    pub(crate) streamed: bool,
    pub(crate) index: Arc<TableIndex>,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<Customer>,
    /// Its token, if its customer has a rate.
    pub(crate) token: Option<HeldToken>,
    /// The class in which it makes retries.
    pub(crate) retry_class: RankClass,
    /// Regions in which it may run; none means all.
    pub(crate) allowed_regions: Option<Vec<RegionId>>,
    /// Hash of the affinity key; random if the request has none.
    pub(crate) affinity: NameHash,
    /// When the request times out if no target has responded; a streamed response may end later.
    pub(crate) deadline: Duration,
    /// When the caller stops waiting.
    pub(crate) caller_deadline: Duration,
    /// Fingerprint of customer, method, path and the start of the body.
    pub(crate) fingerprint: String,
}

impl Admitted {
    /// Records whether the request may have been sent, so that its token is used.
    pub(crate) fn set_token_spent(&self, spent: bool) {
        if let Some(token) = &self.token {
            token.set_spent(spent);
        }
    }
}

/// What is known of a request while it is handled, and its log line's fields.
#[derive(Default)]
pub(crate) struct RequestLog {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) customer: String,
    pub(crate) affinity: String,
    /// The customer's priority and the route's.
    pub(crate) rank: String,
    /// The targets that it was sent to, each with the attempt's outcome.
    pub(crate) targets: String,
    /// True while a target may have run the request.
    pub(crate) maybe_run: bool,
    /// Why it has not run, if it is rejected.
    pub(crate) proof: NotRunProof,
    /// How long it waited for its turn on its connection.
    pub(crate) wait: Duration,
    pub(crate) in_flight: InFlightGuard,
}

/// The path and query as the caller sent them.
pub(crate) fn path_and_query(head: &request::Parts) -> String {
    head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string)
}
