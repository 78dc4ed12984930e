//! Reads a target's response and prepares what is forwarded.

use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{PROXY_AUTHENTICATE, PROXY_AUTHORIZATION};
use http::{HeaderMap, HeaderName, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::time::Sleep;

use crate::clock;
use crate::net::{MeteredBody, connection_options, full_body, is_hop_by_hop};

use super::Headers;
use super::body_buffer::{ReadEnd, read_start};
use super::outbound::Lease;
use super::request::Admitted;
use super::response_head::NotRunProof;

/// Longest response body that is buffered before it is forwarded, in bytes; longer ones are
/// streamed, and so is what there is no room for.
const BUFFERED_RESPONSE_MAX: usize = 128 << 10;

/// Time after the caller's deadline for which a streamed body may go on: a late answer is still
/// delivered, but a body without end must end.
const LATE_BODY_PERIOD: Duration = Duration::from_secs(5);

/// Headers between a client and its forward proxy, which a front is not.
const PROXY_HEADERS: [HeaderName; 2] = [PROXY_AUTHENTICATE, PROXY_AUTHORIZATION];

/// The outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// A response to forward.
    Responded(Response<Body>),
    /// The target has not run the request.
    NotRun { status: StatusCode, proof: NotRunProof },
    /// A 5xx response, to be forwarded unless the request is retried.
    Failed(Response<Body>),
    /// The target has run the request, and its response may not be forwarded.
    Withheld { status: StatusCode },
    /// No byte of the request has reached the target.
    Unreached(String),
    /// The request may have run, but there is no response that may be forwarded.
    Lost(String),
}

/// Reads a rejection.
pub(crate) async fn read_rejection(
    response: Response<MeteredBody>,
    proof: NotRunProof,
    lease: Lease,
) -> AttemptOutcome {
    let status = response.status();
    match drain(response, lease).await {
        Ok(()) => AttemptOutcome::NotRun { status, proof },
        Err(e) => AttemptOutcome::Lost(format!("the rejection was aborted: {e}")),
    }
}

/// Reads a response that may not be forwarded.
pub(crate) async fn read_withheld(response: Response<MeteredBody>, lease: Lease) -> AttemptOutcome {
    let status = response.status();
    match drain(response, lease).await {
        Ok(()) => AttemptOutcome::Withheld { status },
        Err(e) => AttemptOutcome::Lost(format!("the response was aborted: {e}")),
    }
}

/// Reads a response whose body isn't needed to its end, so that its connection can be used again.
async fn drain(response: Response<MeteredBody>, lease: Lease) -> Result<(), hyper::Error> {
    let mut body = response.into_body();
    let start = read_start(&mut body, BUFFERED_RESPONSE_MAX, lease.hold()).await?;
    if start.end == ReadEnd::Whole {
        lease.release();
    }
    Ok(())
}

/// Reads the response of a target that has run the request.
pub(crate) async fn read_response(
    names: &Headers,
    admitted: &Admitted,
    response: Response<MeteredBody>,
    lease: Lease,
) -> AttemptOutcome {
    let (mut head, mut body) = response.into_parts();
    head.headers = forwarded_headers(names, &head.headers);
    head.version = Version::HTTP_11;
    let start = match read_start(&mut body, BUFFERED_RESPONSE_MAX, lease.hold()).await {
        Ok(start) => start,
        Err(e) => return AttemptOutcome::Lost(format!("the response was aborted: {e}")),
    };
    let server_error = head.status.is_server_error();
    let body = if start.end == ReadEnd::Whole {
        lease.release();
        full_body(start.into_bytes())
    } else {
        let chunks = start.chunks.into_iter();
        let left = admitted.caller_deadline.saturating_sub(clock::now());
        let deadline = Box::pin(tokio::time::sleep(left.saturating_add(LATE_BODY_PERIOD)));
        StreamedBody { chunks, rest: body, lease: Some(lease), deadline }.boxed_unsync()
    };
    let response = Response::from_parts(head, body);
    if server_error {
        AttemptOutcome::Failed(response)
    } else {
        AttemptOutcome::Responded(response)
    }
}

/// The headers to forward: all but the hop-by-hop ones. The id and the seal are forwarded even if the
/// `connection` header names them.
pub(crate) fn forwarded_headers(names: &Headers, headers: &HeaderMap) -> HeaderMap {
    let mut listed = connection_options(headers);
    listed.retain(|option| ![&names.attempt, &names.seal].iter().any(|n| n.as_str() == option));
    let mut out = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        if !is_hop_by_hop(name, &listed) && !PROXY_HEADERS.contains(name) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// A response body too long to buffer: the chunks read so far, then the rest. If the target aborts
/// the response, or its end has not come [`LATE_BODY_PERIOD`] after the caller's deadline, the response
/// to the caller is aborted, too.
struct StreamedBody {
    chunks: std::vec::IntoIter<Bytes>,
    rest: MeteredBody,
    lease: Option<Lease>,
    deadline: Pin<Box<Sleep>>,
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(bytes) = self.chunks.next() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.lease = None;
            return Poll::Ready(Some(Err(ErrorKind::TimedOut.into())));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if frame.is_none()
            && let Some(lease) = self.lease.take()
        {
            lease.release();
        }
        Poll::Ready(frame.map(|f| f.map_err(std::io::Error::other)))
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.chunks.as_slice().iter().map(Bytes::len).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + held as u64);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + held as u64);
        }
        hint
    }
}
