//! The attempts of one request: which targets, how often, and what their answers mean.

use std::fmt::Write;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gotham::helpers::http::Body;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Frame, Incoming, SizeHint};
use serde::Serialize;
use tokio::net::TcpStream;

use crate::clock;
use crate::model::TargetId;
use crate::net::whole_body;
use crate::peer::Death;
use crate::steer::{Choice, Pick, Picked};

use super::ingress::{Admitted, Content, Refused, Trail, path_of};
use super::outbound::{Lease, SendFailure, read_up_to};
use super::{Front, is_hop_header};

/// Longest answer that is read whole before it is passed on, in bytes.
const HELD_ANSWER: usize = 128 << 10;
/// Least time left for a request to be sent to a target.
const LEFT_MIN: Duration = Duration::from_millis(30);
/// Longest wait for a connection to a target that broke off an answer.
const EXAMINE_TIMEOUT: Duration = Duration::from_millis(400);
/// Most targets that may fail to be reached before a request is given up.
const UNREACHED_MAX: u32 = 4;

/// What became of one attempt.
enum Ended {
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

/// What earlier attempts have taught.
#[derive(Default)]
struct History {
    avoid: Vec<TargetId>,
    /// Targets that the request has reached.
    arrivals: u32,
    unreached: u32,
    /// True once the request may have run.
    maybe_run: bool,
    cause: String,
}

/// Sends a request until it is answered or may not be sent again.
pub(crate) async fn run(
    front: &Arc<Front>,
    admitted: Admitted,
    mut content: Content,
    trail: &mut Trail,
) -> Result<Response<Body>, Refused> {
    check_quarantine(front, &admitted)?;
    front.known.parts().retries.earn(clock::now(), &admitted.service);
    let mut history = History::default();
    let most = admitted.route.attempts.max(1);
    loop {
        let pick = match pick(front, &admitted, &history) {
            Picked::Target(pick) => pick,
            Picked::Busy(late) => {
                let refused = history.refuse("busy", "every target would answer too late");
                return Err(refused.retry_after(late));
            }
            Picked::Nothing => {
                return Err(history.refuse("no-target", "no target may take the request"));
            }
        };
        if clock::now() + LEFT_MIN > admitted.due {
            return Err(history.refuse("no-time", "too little time is left"));
        }
        let Some(body) = take_body(&mut content) else {
            return Err(history.refuse("body-gone", "the body can't be sent again"));
        };
        let ended = send(front, &admitted, &pick, body).await;
        note_attempt(trail, &pick, &ended);
        match judge(front, &admitted, &pick, ended, &mut history) {
            Next::Return(response) => return Ok(response),
            Next::Refuse(reason) => return Err(history.refuse(reason, "")),
            Next::Again => {}
        }
        if history.unreached > UNREACHED_MAX || history.arrivals >= most {
            return Err(history.refuse("attempts", "all attempts are used up"));
        }
        if history.arrivals > 0 && !may_repeat(front, &admitted) {
            return Err(history.refuse("retries", "the budget of repeats is used up"));
        }
    }
}

enum Next {
    Return(Response<Body>),
    Refuse(&'static str),
    Again,
}

/// Decides what follows an attempt.
fn judge(
    front: &Arc<Front>,
    admitted: &Admitted,
    pick: &Pick,
    ended: Ended,
    history: &mut History,
) -> Next {
    let idempotent = admitted.route.idempotent;
    match ended {
        Ended::Answered(response) => return Next::Return(response),
        Ended::NotRun { status } => {
            history.arrivals += 1;
            if status == StatusCode::MISDIRECTED_REQUEST {
                front.known.parts().book.replaced(&pick.id);
            }
            history.cause = format!("{} has not run it ({status})", pick.id);
        }
        Ended::Failed(response) => {
            history.arrivals += 1;
            let again = idempotent && history.arrivals < admitted.route.attempts;
            if !again || !may_repeat_later(front, admitted) {
                return Next::Return(response);
            }
            history.maybe_run = true;
        }
        Ended::Unreached(cause) => {
            history.unreached += 1;
            front.known.parts().book.failed(clock::now(), &pick.id);
            history.cause = cause;
        }
        Ended::Lost(cause) => {
            history.arrivals += 1;
            history.maybe_run = true;
            let (poison, id) = (admitted.poison.clone(), admitted.id.clone());
            tokio::spawn(examine(front.clone(), pick.clone(), poison, id));
            history.cause = cause;
            if !idempotent {
                return Next::Refuse("answer-lost");
            }
        }
    }
    history.avoid.push(pick.id.clone());
    Next::Again
}

impl History {
    fn refuse(&self, reason: &'static str, what: &str) -> Refused {
        let detail = format!("{what} {}", self.cause).trim().to_owned();
        if self.maybe_run {
            return Refused::new(StatusCode::BAD_GATEWAY, reason, detail);
        }
        Refused::not_run(reason, detail)
    }
}

fn may_repeat(front: &Front, admitted: &Admitted) -> bool {
    let may = front.known.parts().retries.spend(clock::now(), &admitted.service);
    if may {
        front.metrics.retries.inc();
    }
    may
}

/// True if a repeat could be paid for; it is paid when it is sent.
fn may_repeat_later(front: &Front, admitted: &Admitted) -> bool {
    front.known.parts().retries.can_spend(clock::now(), &admitted.service)
}

fn check_quarantine(front: &Front, admitted: &Admitted) -> Result<(), Refused> {
    let Some(print) = &admitted.poison else { return Ok(()) };
    let now = std::time::Instant::now();
    match front.known.parts().poison.quarantine(now, print) {
        Some(_) => Err(Refused::not_run("quarantined", "this request has killed targets")),
        None => Ok(()),
    }
}

fn pick(front: &Front, admitted: &Admitted, history: &History) -> Picked {
    let choice = Choice {
        service: &admitted.service,
        object: admitted.object,
        region: &front.place.region,
        homes: admitted.homes.as_deref(),
        avoid: &history.avoid,
        left: admitted.due.saturating_sub(clock::now()),
        cold_rate: admitted.index.service(&admitted.service).map_or(0.0, |s| s.cold_rate),
    };
    front.known.parts().book.pick(clock::now(), &choice)
}

/// The body for one more attempt, if there is one.
fn take_body(content: &mut Content) -> Option<Body> {
    match content {
        Content::Whole(bytes) => Some(whole_body(bytes.clone())),
        Content::Rest(read, rest) => {
            if read.is_empty() {
                return None;
            }
            let read = std::mem::take(read);
            let rest = std::mem::replace(rest, whole_body(Bytes::new()));
            let read = stream::iter(read.into_iter().map(|b| Ok(Frame::data(b))));
            let all = read.chain(BodyStream::new(rest));
            Some(StreamBody::new(all).boxed_unsync())
        }
    }
}

async fn send(front: &Front, admitted: &Admitted, pick: &Pick, body: Body) -> Ended {
    let request = match outgoing(front, admitted, pick, body) {
        Ok(request) => request,
        Err(cause) => return Ended::Unreached(cause),
    };
    let _running = Running::new(front, pick);
    let start = clock::now();
    let sent = front.outbound.send(pick.addr, request, true).await;
    match sent {
        Ok((response, lease)) => {
            note_load(front, pick, response.headers());
            let ended = receive(front, admitted, response, lease).await;
            if matches!(ended, Ended::Answered(_)) {
                front.known.parts().book.took(pick, clock::now().saturating_sub(start));
            }
            ended
        }
        Err(SendFailure { sent: false, step, peer, cause }) => {
            Ended::Unreached(format!("{step} at {peer}: {cause}"))
        }
        Err(e) => Ended::Lost(e.to_string()),
    }
}

/// Takes in what a target says of its load: running and waiting requests, and slots.
fn note_load(front: &Front, pick: &Pick, headers: &HeaderMap) {
    let value = headers.get(&front.headers.load).and_then(|v| v.to_str().ok());
    let Some(value) = value else { return };
    let mut figures = value.split(',').map(|f| f.trim().parse::<u32>().ok());
    if let (Some(Some(running)), Some(Some(waiting))) = (figures.next(), figures.next()) {
        let requests = running.saturating_add(waiting);
        front.known.parts().book.reported(clock::now(), &pick.id, requests);
    }
}

/// Counts a request at its target.
struct Running<'a> {
    front: &'a Front,
    target: &'a TargetId,
}

impl<'a> Running<'a> {
    fn new(front: &'a Front, pick: &'a Pick) -> Self {
        front.known.parts().book.sent(&pick.id);
        Self { front, target: &pick.id }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.front.known.parts().book.ended(self.target);
    }
}

fn outgoing(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
) -> Result<Request<Body>, String> {
    let names = &front.headers;
    let mut headers = forwarded(&admitted.head.headers);
    for name in [AUTHORIZATION, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    let left = admitted.due.saturating_sub(clock::now()).as_millis().to_string();
    let customer = admitted.customer.as_ref().map(|c| c.id.as_str());
    for (name, value) in [
        (&names.deadline, Some(left.as_str())),
        (&names.customer, customer),
        (&names.target, Some(pick.id.as_str())),
    ] {
        headers.remove(name);
        if let Some(value) = value {
            let value = HeaderValue::from_str(value).map_err(|e| format!("set {name}: {e}"))?;
            headers.insert(name.clone(), value);
        }
    }
    if let Some(length) = admitted.head.headers.get(CONTENT_LENGTH).filter(|_| admitted.long) {
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    let uri: Uri = path_of(&admitted.head).parse().map_err(|e| format!("read the path: {e}"))?;
    let mut request = Request::new(body);
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Ok(request)
}

/// The headers that go on: all but those of one connection.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|w| w.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        if !is_hop_header(name) && !named.iter().any(|n| n == name.as_str()) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Reads an answer and finds out what it means.
async fn receive(
    front: &Front,
    admitted: &Admitted,
    response: Response<Incoming>,
    lease: Lease,
) -> Ended {
    let names = &front.headers;
    let (mut head, mut body) = response.into_parts();
    let not_run =
        head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    let echoed = head.headers.get(&names.attempt).and_then(|v| v.to_str().ok());
    if echoed.is_some_and(|id| id != admitted.id) {
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
        whole_body(parts.concat().into())
    } else {
        let read = parts.into_iter();
        Relay { read, rest: body, lease: Some(lease) }.map_err(std::io::Error::other).boxed_unsync()
    };
    let response = Response::from_parts(head, body);
    if server_error { Ended::Failed(response) } else { Ended::Answered(response) }
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

fn note_attempt(trail: &mut Trail, pick: &Pick, ended: &Ended) {
    let what = match ended {
        Ended::Answered(r) | Ended::Failed(r) => r.status().to_string(),
        Ended::NotRun { status } => format!("not run ({status})"),
        Ended::Unreached(cause) => format!("unreached ({cause})"),
        Ended::Lost(cause) => format!("lost ({cause})"),
    };
    // Writing to a string can't fail.
    let _ = write!(trail.targets, "{} in {}: {what}; ", pick.id, pick.region);
}

/// Looks whether a target that broke off an answer has died of the request.
async fn examine(front: Arc<Front>, pick: Pick, poison: Option<String>, id: String) {
    let connect = TcpStream::connect(pick.addr);
    let gone = match tokio::time::timeout(EXAMINE_TIMEOUT, connect).await {
        Ok(Ok(_)) => return,
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    };
    front.known.parts().book.failed(clock::now(), &pick.id);
    if let Some(fingerprint) = poison.filter(|_| gone) {
        let event = format!("{id}/{}", pick.id);
        front.decisions.note("death", &Died { id: &id, target: pick.id.as_str() });
        front.learn_deaths(&[Death { fingerprint, event }]);
    }
}

#[derive(Serialize)]
struct Died<'a> {
    id: &'a str,
    target: &'a str,
}
