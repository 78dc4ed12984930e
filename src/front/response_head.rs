//! What the head of a target's response proves about its request. A caller is told that its request has
//! not run only by such a proof; without one, the request may have run.

use http::response::Parts;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::net::{header_text, is_undefined, promises_not_run};

use super::Headers;

/// What the head of a response proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadVerdict {
    /// The target has run the request, and this is its response.
    Ran,
    /// The target has not run the request.
    NotRun(NotRunProof),
    /// Nothing, so the request may have run.
    Unproved(HeadFault),
}

/// Why a request that is rejected has certainly not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum NotRunProof {
    /// No byte of it has been sent to a target.
    #[default]
    NeverSent,
    /// The last target that got it has rejected it, with its id.
    RejectedById,
    /// The last target that got it has rejected it in the first response on a connection.
    RejectedFirst,
}

impl NotRunProof {
    /// The proof as it stands in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NeverSent => "never-sent",
            Self::RejectedById => "rejected-by-id",
            Self::RejectedFirst => "rejected-first",
        }
    }
}

/// Why the head of a response proves nothing about its request, or may not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadFault {
    #[error("its head holds the status line of another response")]
    Spliced,
    #[error("it switches protocols, which no request asks for")]
    Switched,
    #[error("it has a header twice that may come once")]
    Repeated,
    #[error("it has another request's id")]
    OtherId,
    #[error("it has no attempt id")]
    NoId,
    #[error("it has no seal")]
    NoSeal,
    #[error("it says both that the request has run and that it has not")]
    Contradictory,
    /// The request has run, so the status can't be passed on.
    #[error("its status promises that the request has not run, and the target doesn't say so")]
    FalsePromise,
    /// The request has run, and callers know no such status.
    #[error("HTTP defines no such status")]
    UndefinedStatus,
}

impl HeadFault {
    /// The fault as it stands in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Spliced => "spliced",
            Self::Switched => "switched",
            Self::Repeated => "repeated",
            Self::OtherId => "other-id",
            Self::NoId => "no-id",
            Self::NoSeal => "no-seal",
            Self::Contradictory => "contradictory",
            Self::FalsePromise => "false-promise",
            Self::UndefinedStatus => "undefined-status",
        }
    }

    /// True if the response is the request's own all the same: the target has run it, and its notices
    /// and load count.
    pub(crate) fn is_own(self) -> bool {
        matches!(self, Self::FalsePromise | Self::UndefinedStatus)
    }
}

/// What is known of the connection on which a head came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadOrigin {
    /// True if an earlier response came on the connection, so that late bytes may precede this one.
    pub(crate) reused: bool,
    /// True if the head holds the status line of another response.
    pub(crate) spliced: bool,
}

/// Tells what a response's head proves about the request with this `id`.
pub(crate) fn judge_head(
    names: &Headers,
    id: &str,
    head: &Parts,
    origin: HeadOrigin,
) -> HeadVerdict {
    match find_fault(names, id, head, origin) {
        Some(fault) => HeadVerdict::Unproved(fault),
        None if !is_rejection(names, head) => HeadVerdict::Ran,
        None if head.headers.contains_key(&names.attempt) => {
            HeadVerdict::NotRun(NotRunProof::RejectedById)
        }
        None => HeadVerdict::NotRun(NotRunProof::RejectedFirst),
    }
}

fn find_fault(
    names: &Headers,
    id: &str,
    head: &Parts,
    HeadOrigin { reused, spliced }: HeadOrigin,
) -> Option<HeadFault> {
    let headers = &head.headers;
    if spliced {
        return Some(HeadFault::Spliced);
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Some(HeadFault::Switched);
    }
    if [&names.attempt, &names.seal].into_iter().any(|name| is_repeated(headers, name)) {
        return Some(HeadFault::Repeated);
    }
    let has_id = headers.contains_key(&names.attempt);
    if has_id && header_text(headers, &names.attempt) != Some(id) {
        return Some(HeadFault::OtherId);
    }
    let sealed = headers.contains_key(&names.seal);
    if is_rejection(names, head) {
        return find_rejection_fault(names, head, has_id || !reused);
    }
    match (has_id, sealed) {
        (false, _) => Some(HeadFault::NoId),
        (true, false) => Some(HeadFault::NoSeal),
        (true, true) if promises_not_run(head.status) => Some(HeadFault::FalsePromise),
        (true, true) => is_undefined(head.status).then_some(HeadFault::UndefinedStatus),
    }
}

/// `own` is true if the head is known to answer the request; late bytes may look like a rejection.
fn find_rejection_fault(names: &Headers, head: &Parts, own: bool) -> Option<HeadFault> {
    let sealed = head.headers.contains_key(&names.seal);
    let is_error = head.status.is_client_error() || head.status.is_server_error();
    match own {
        false => Some(HeadFault::NoId),
        true => (sealed || !is_error).then_some(HeadFault::Contradictory),
    }
}

/// True if a target says that it has not run the request. A 421 comes from another process at the
/// target's address.
fn is_rejection(names: &Headers, head: &Parts) -> bool {
    head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn is_repeated(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}
