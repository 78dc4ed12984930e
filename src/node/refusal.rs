//! Refusals, and what they say of whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::net::json_response;

/// Whether a request may have run.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Ran {
    /// No byte of it can have reached a target.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and its answer is no longer kept.
    Done,
}

/// Why a request is refused.
#[apply(record!)]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// The request can't be read or is not allowed as it is.
    BadRequest,
    /// No key, or not exactly one.
    NoKey,
    /// The key is unknown or withdrawn.
    BadKey,
    /// This VM can learn of no withdrawal, and the service refuses then.
    CutOff,
    /// No such service.
    NoService,
    /// No such route.
    NoRoute,
    /// The route is for other customers.
    NotAllowed,
    /// The customer has used up its rate.
    OverRate,
    /// The request has killed targets.
    Quarantined,
    /// The route needs an idempotency key.
    NoOnceKey,
    /// The idempotency key was used for another request.
    OnceMismatch,
    /// An attempt with this idempotency key is not finished, or its end is not known.
    OnceOpen,
    /// The request ran, and its answer is no longer kept.
    OnceDone,
    /// Keys can't be claimed now.
    OnceUnavailable,
    /// No target had a slot in time.
    Busy,
    /// No target could be reached.
    NoTarget,
    /// The time for an answer is over.
    TimedOut,
    /// The target failed.
    TargetFailed,
    /// The daemon is not ready.
    NotReady,
}

impl Reason {
    fn status(self) -> StatusCode {
        match self {
            Reason::BadRequest | Reason::NoOnceKey => StatusCode::BAD_REQUEST,
            Reason::NoKey | Reason::BadKey => StatusCode::UNAUTHORIZED,
            Reason::NoService | Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::NotAllowed => StatusCode::FORBIDDEN,
            Reason::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Reason::OnceMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::OnceOpen | Reason::OnceDone => StatusCode::CONFLICT,
            Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Reason::TargetFailed => StatusCode::BAD_GATEWAY,
            Reason::CutOff
            | Reason::Quarantined
            | Reason::OnceUnavailable
            | Reason::Busy
            | Reason::NoTarget
            | Reason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The reason as it stands in refusals and metrics.
    pub(crate) fn as_str(self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value.as_str().unwrap_or_default().to_owned()
    }
}

/// A refusal.
#[apply(record!)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) reason: Reason,
    /// Whether any attempt with the same idempotency key may have run; without a key, whether
    /// this request may have run.
    pub(crate) run: Ran,
    /// Whether this attempt may have run.
    pub(crate) attempt: Ran,
    /// The cause in words, with the step and the peer.
    pub(crate) detail: String,
    /// Time after which a retry can succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which no byte was sent.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        let (run, attempt) = (Ran::NotRun, Ran::NotRun);
        Self { reason, run, attempt, detail: detail.into(), retry_ms: None }
    }

    /// A refusal of a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        let (run, attempt) = (Ran::Unknown, Ran::Unknown);
        Self { reason, run, attempt, detail: detail.into(), retry_ms: None }
    }

    /// Says when a retry can succeed.
    pub(crate) fn retry(mut self, after: Duration) -> Self {
        self.retry_ms = Some(after.as_millis() as u64);
        self
    }

    /// Earlier attempts with the same idempotency key may have run, whatever became of this one.
    pub(crate) fn with_open_key(mut self) -> Self {
        if self.run == Ran::NotRun {
            self.run = Ran::Unknown;
        }
        self
    }

    pub(crate) fn response(&self) -> Response<Bytes> {
        let mut response = json_response(self.reason.status(), self);
        if let Some(ms) = self.retry_ms {
            let seconds = ms.div_ceil(1_000).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
