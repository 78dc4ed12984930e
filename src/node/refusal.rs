//! Refusals: the JSON responses for requests that are not served. Each has a reason and says
//! whether the request may have run, so that a caller knows whether a retry is safe.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::net::{json_response, promises_not_run};

/// Whether a request may have run.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RunStatus {
    /// No byte of it can have reached a target.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and its response is not stored.
    Done,
}

/// Why a request is refused.
#[apply(record!)]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// The request is malformed, or has a header, path or body that is not allowed.
    BadRequest,
    /// The request has no key, or more than one.
    NoKey,
    /// The key is unknown or withdrawn.
    BadKey,
    /// This VM has not been able to read withdrawn keys for too long, and the service's policy is
    /// to refuse requests then.
    CutOff,
    /// The request would be refused for good, but by a configuration that may be out of date.
    ConfigOld,
    /// No such service.
    NoService,
    /// No such route.
    NoRoute,
    /// The route is not open to the customer.
    NotAllowed,
    /// The customer has used up its rate.
    OverRate,
    /// Targets have crashed while they ran the request.
    Quarantined,
    /// The route needs an idempotency key and there is none, or the one given is not valid.
    NoOnceKey,
    /// The idempotency key was used for another request.
    OnceMismatch,
    /// A request with this idempotency key is still running, or its outcome is not known.
    OnceOpen,
    /// The request ran, and its response is not stored.
    OnceDone,
    /// Idempotency keys can't be claimed now.
    OnceUnavailable,
    /// No target had a free slot in time, or the link to its region was full.
    Busy,
    /// Every target that may run the request leaves or has asked for a pause.
    Paused,
    /// No VM has a target of the service, all of them leave, or none could be reached.
    NoTarget,
    /// The deadline has passed.
    TimedOut,
    /// The target sent no valid response or crashed, the session with its VM failed, or there was no
    /// memory for the response.
    TargetFailed,
    /// The daemon has no configuration yet.
    NotReady,
    /// The daemon is stopping and may not finish the request.
    Stopping,
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
            | Reason::ConfigOld
            | Reason::Quarantined
            | Reason::OnceUnavailable
            | Reason::Busy
            | Reason::Paused
            | Reason::NoTarget
            | Reason::NotReady
            | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// True if the refusal is for good and follows from the configuration, so that a newer one could
    /// allow the request.
    pub(crate) fn rests_on_configuration(self) -> bool {
        matches!(
            self,
            Reason::BadKey
                | Reason::NoService
                | Reason::NoRoute
                | Reason::NotAllowed
                | Reason::NoOnceKey
        )
    }

    /// The reason as it stands in refusals and metrics.
    pub(crate) fn as_str(self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value.as_str().unwrap_or_default().to_owned()
    }
}

/// The body of a refusal.
#[apply(record!)]
pub(crate) struct Refusal {
    /// Why the request is refused.
    pub(crate) reason: Reason,
    /// Whether any request with the same idempotency key may have run; without a key, whether this
    /// request may have run.
    pub(crate) run: RunStatus,
    /// Whether this request may have run.
    pub(crate) attempt: RunStatus,
    /// The cause in words, with the VM or target concerned.
    pub(crate) detail: String,
    /// Time after which a retry can succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that reached no target.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        let (run, attempt) = (RunStatus::NotRun, RunStatus::NotRun);
        Self { reason, run, attempt, detail: detail.into(), retry_ms: None }
    }

    /// A refusal of a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        let (run, attempt) = (RunStatus::Unknown, RunStatus::Unknown);
        Self { reason, run, attempt, detail: detail.into(), retry_ms: None }
    }

    /// Adds the time after which a retry can succeed.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_ms = Some(after.as_nanos().div_ceil(1_000_000) as u64);
        self
    }

    /// Reports that earlier requests with the same idempotency key may have run, even though this
    /// one did not.
    pub(crate) fn with_unknown_run(mut self) -> Self {
        if self.run == RunStatus::NotRun {
            self.run = RunStatus::Unknown;
        }
        self
    }

    fn status(&self) -> StatusCode {
        let status = self.reason.status();
        match self.attempt {
            RunStatus::NotRun => status,
            _ if promises_not_run(status) => StatusCode::GATEWAY_TIMEOUT,
            _ => status,
        }
    }

    pub(crate) fn response(&self) -> Response<Bytes> {
        let mut response = json_response(self.status(), self);
        if let Some(ms) = self.retry_ms {
            let seconds = ms.div_ceil(1_000).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
