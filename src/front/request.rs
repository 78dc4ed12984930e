//! A caller's request on its way: what is known of it, and why it may end without a target's answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{StatusCode, request};

use crate::model::{RegionId, ServiceId};
use crate::steer::{Customer, NameHash, Route, TableIndex};

/// When to come back after a refusal for want of room or knowledge.
const RETRY_SOON: Duration = Duration::from_millis(400);

/// Why a request got an answer of the front's own.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) detail: String,
    pub(crate) retry: Option<Duration>,
}

impl Refused {
    pub(crate) fn new(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self { status, reason, detail: detail.into(), retry: None }
    }

    /// A refusal of a request that has not run.
    pub(crate) fn not_run(reason: &'static str, detail: impl Into<String>) -> Self {
        let refused = Self::new(StatusCode::SERVICE_UNAVAILABLE, reason, detail);
        Self { retry: Some(RETRY_SOON), ..refused }
    }

    /// Tells the caller to come back after `pause` at the least.
    pub(crate) fn retry_after(self, pause: Duration) -> Self {
        Self { retry: self.retry.map(|r| r.max(pause)), ..self }
    }
}

/// The body of a request.
pub(crate) enum Content {
    /// All of it.
    Whole(Bytes),
    /// What has been read, and the rest; it can be sent once.
    Rest(Vec<Bytes>, Body),
}

/// A request that may run.
pub(crate) struct Admitted {
    pub(crate) id: String,
    pub(crate) head: request::Parts,
    /// True if the body was not read whole before it is sent on.
    pub(crate) long: bool,
    pub(crate) index: Arc<TableIndex>,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<Customer>,
    pub(crate) homes: Option<Vec<RegionId>>,
    pub(crate) object: NameHash,
    /// When the final answer is due.
    pub(crate) due: Duration,
    /// Same for the same customer, method, path and body; none if the body is too long.
    pub(crate) poison: Option<String>,
}

/// What is known of a request for the log.
#[derive(Default)]
pub(crate) struct Trail {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) customer: String,
    pub(crate) object: String,
    /// Targets that it was sent to and what became of it there.
    pub(crate) targets: String,
}

/// The path with its query, as it was sent.
pub(crate) fn path_of(head: &request::Parts) -> String {
    head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string)
}
