//! A target's answer: what it means, and how it is passed on.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{PROXY_AUTHENTICATE, PROXY_AUTHORIZATION};
use http::{HeaderMap, HeaderName, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};

use crate::net::{connection_options, full_body, header_text, is_hop_by_hop};

use super::Headers;
use super::outbound::{Lease, read_up_to};

/// Longest answer that is read whole before it is passed on, in bytes.
const HELD_ANSWER: usize = 128 << 10;

/// Headers between a client and a proxy; a front is neither.
const PROXY_HEADERS: [HeaderName; 2] = [PROXY_AUTHENTICATE, PROXY_AUTHORIZATION];

/// What became of one attempt.
pub(crate) enum Ended {
    /// The answer to pass on.
    Answered(Response<Body>),
    /// The target has not run the request.
    NotRun { status: StatusCode },
    /// The target's own failure, which may be passed on.
    Failed(Response<Body>),
    /// No byte has reached the target.
    Unreached(String),
    /// The request may have run and its answer is lost.
    Lost(String),
}

/// Reads an answer and finds out what it means.
pub(crate) async fn receive(
    names: &Headers,
    attempt: &str,
    response: Response<Incoming>,
    lease: Lease,
) -> Ended {
    let (mut head, mut body) = response.into_parts();
    let not_run =
        head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    let echoed = header_text(&head.headers, &names.attempt);
    if echoed.is_some_and(|id| id != attempt) {
        return Ended::Lost("the answer belongs to another request".to_owned());
    }
    if !not_run && (echoed.is_none() || !head.headers.contains_key(&names.seal)) {
        return Ended::Lost(format!("the answer ({}) has no id or no seal", head.status));
    }
    head.headers = forwarded(&head.headers);
    head.version = Version::HTTP_11;
    let (parts, whole) = match read_up_to(&mut body, HELD_ANSWER).await {
        Ok(read) => read,
        Err(e) => return Ended::Lost(format!("the answer broke off: {e}")),
    };
    if not_run {
        if whole {
            lease.give_back();
        }
        return Ended::NotRun { status: head.status };
    }
    let server_error = head.status.is_server_error();
    let body = if whole {
        lease.give_back();
        full_body(parts.concat().into())
    } else {
        let read = parts.into_iter();
        Relay { read, rest: body, lease: Some(lease) }.map_err(std::io::Error::other).boxed_unsync()
    };
    let response = Response::from_parts(head, body);
    if server_error { Ended::Failed(response) } else { Ended::Answered(response) }
}

/// The headers that go on: all but those of one connection.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let listed = connection_options(headers);
    let mut out = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        if !is_hop_by_hop(name, &listed) && !PROXY_HEADERS.contains(name) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// A long answer on its way: what has been read, then the rest. If it breaks off, so does the
/// caller's answer.
struct Relay {
    read: std::vec::IntoIter<Bytes>,
    rest: Incoming,
    lease: Option<Lease>,
}

impl hyper::body::Body for Relay {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(bytes) = self.read.next() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if frame.is_none()
            && let Some(lease) = self.lease.take()
        {
            lease.give_back();
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        let read: usize = self.read.as_slice().iter().map(Bytes::len).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read as u64);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read as u64);
        }
        hint
    }
}
