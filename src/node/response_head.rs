//! What the head of a target's response proves about its request. A caller is told that its request
//! has not run only by such a proof; without one, the request may have run.

use http::{HeaderMap, Response, StatusCode};

use crate::net::{ConnectionUse, header_text, is_undefined, promises_not_run};

/// Header with the id of the request that a response answers.
const ID_HEADER: &str = "x-request-id";
/// Header with which a target says that it has not run the request.
pub(super) const SHED_HEADER: &str = "x-shed";

/// What the head of a response proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadVerdict {
    /// The target has run the request, and this is its response.
    Ran,
    /// The target has not run the request.
    Shed(ShedProof),
    /// Nothing, so the request may have run.
    Unproved(HeadFault),
}

/// Why a response that says so proves that the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShedProof {
    /// It has the request's id.
    ById,
    /// It is the first response on its connection.
    First,
}

impl ShedProof {
    /// The proof as it stands in request records.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::ById => "shed-by-id",
            Self::First => "shed-first",
        }
    }
}

/// Why the head of a response proves nothing about its request, or may not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadFault {
    #[error("its head holds the status line of another response")]
    Spliced,
    #[error("it has a request id twice")]
    Repeated,
    #[error("it has another request's id")]
    OtherId,
    #[error("it has no request id")]
    NoId,
    #[error("it says that the request has not run, with a status that does not")]
    Contradictory,
    /// The request has run, so the status can't be passed on.
    #[error("its status promises that the request has not run, and the target doesn't say so")]
    FalsePromise,
    /// The request has run, and callers know no such status.
    #[error("HTTP defines no such status")]
    UndefinedStatus,
}

impl HeadFault {
    /// The fault as it stands in metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Spliced => "spliced",
            Self::Repeated => "repeated",
            Self::OtherId => "other-id",
            Self::NoId => "no-id",
            Self::Contradictory => "contradictory",
            Self::FalsePromise => "false-promise",
            Self::UndefinedStatus => "undefined-status",
        }
    }

    /// True if the response is the request's own all the same, so that the target's notices count.
    pub(super) fn is_own(self) -> bool {
        matches!(self, Self::FalsePromise | Self::UndefinedStatus)
    }
}

/// True if the headers of a response have the id of this request, once.
pub(super) fn has_own_id(headers: &HeaderMap, request: &str) -> bool {
    !is_repeated(headers) && header_text(headers, ID_HEADER) == Some(request)
}

/// Tells what a response's head proves about the request with this id.
pub(super) fn judge_head<B>(response: &Response<B>, request: &str) -> HeadVerdict {
    let headers = response.headers();
    let has_id = headers.contains_key(ID_HEADER);
    let fault = if is_repeated(headers) {
        Some(HeadFault::Repeated)
    } else if has_id && !has_own_id(headers, request) {
        Some(HeadFault::OtherId)
    } else if !has_id && is_reused(response) {
        Some(HeadFault::NoId)
    } else {
        find_contradiction(response)
    };
    match fault {
        Some(fault) => HeadVerdict::Unproved(fault),
        None if !headers.contains_key(SHED_HEADER) => HeadVerdict::Ran,
        None if has_id => HeadVerdict::Shed(ShedProof::ById),
        None => HeadVerdict::Shed(ShedProof::First),
    }
}

/// True if an earlier response came on the connection.
pub(super) fn is_reused<B>(response: &Response<B>) -> bool {
    response.extensions().get::<ConnectionUse>().is_some_and(|c| c.reused)
}

fn find_contradiction<B>(response: &Response<B>) -> Option<HeadFault> {
    let status = response.status();
    match response.headers().contains_key(SHED_HEADER) {
        true => (status != StatusCode::SERVICE_UNAVAILABLE).then_some(HeadFault::Contradictory),
        false if promises_not_run(status) => Some(HeadFault::FalsePromise),
        false => is_undefined(status).then_some(HeadFault::UndefinedStatus),
    }
}

fn is_repeated(headers: &HeaderMap) -> bool {
    headers.get_all(ID_HEADER).iter().nth(1).is_some()
}
