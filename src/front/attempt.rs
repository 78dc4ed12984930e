//! The attempts of one request: which targets, how often, and what follows each.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gotham::helpers::http::Body;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;
use crate::model::TargetId;
use crate::net::{full_body, header_text};
use crate::peer::Death;
use crate::steer::{Choice, Pick, Picked};

use super::Front;
use super::answer::{Ended, forwarded, receive};
use super::outbound::SendFailure;
use super::request::{Admitted, Content, Refused, Trail, path_of};

/// Least time left for a request to be sent to a target.
const LEFT_MIN: Duration = Duration::from_millis(30);
/// Longest wait for a connection to a target that broke off an answer.
const EXAMINE_TIMEOUT: Duration = Duration::from_millis(400);
/// Most targets that may fail to be reached before a request is given up.
const UNREACHED_MAX: u32 = 4;

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
        let ended = attempt(front, &admitted, &pick, body, trail).await?;
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

/// Sends a request once; fails if its time is over before the answer is there.
async fn attempt(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
    trail: &mut Trail,
) -> Result<Ended, Refused> {
    // Noted before it is sent: the end of its time and its caller's leaving end it here.
    let _ = write!(trail.targets, "{} in {}: ", pick.id, pick.region);
    let mut running = Running::new(front, pick);
    let left = admitted.due.saturating_sub(clock::now());
    let Ok(ended) = timeout(left, send(front, admitted, pick, body)).await else {
        running.cut(true);
        let timeout_ms = admitted.route.timeout_ms;
        let detail = format!("no answer within the route's {timeout_ms} ms or the deadline");
        return Err(Refused::new(StatusCode::GATEWAY_TIMEOUT, "timeout", detail));
    };
    running.end(matches!(ended, Ended::Answered(_)));
    note_end(front, pick, trail, &ended);
    Ok(ended)
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
        Content::Whole(bytes) => Some(full_body(bytes.clone())),
        Content::Rest(read, rest) => {
            if read.is_empty() {
                return None;
            }
            let read = std::mem::take(read);
            let rest = std::mem::replace(rest, full_body(Bytes::new()));
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
    match front.outbound.send(pick.addr, request, true).await {
        Ok((response, lease)) => {
            note_load(front, pick, response.headers());
            receive(&front.headers, &admitted.id, response, lease).await
        }
        Err(SendFailure { sent: false, step, peer, cause }) => {
            Ended::Unreached(format!("{step} at {peer}: {cause}"))
        }
        Err(e) => Ended::Lost(e.to_string()),
    }
}

/// Takes in what a target says of its load: running and waiting requests, and slots.
fn note_load(front: &Front, pick: &Pick, headers: &HeaderMap) {
    let Some(value) = header_text(headers, &front.headers.load) else { return };
    let mut figures = value.split(',').map(|f| f.trim().parse::<u32>().ok());
    if let (Some(Some(running)), Some(Some(waiting))) = (figures.next(), figures.next()) {
        let requests = running.saturating_add(waiting);
        front.known.parts().book.reported(clock::now(), &pick.id, requests);
    }
}

/// Counts a request at its target. Dropped before its end, it was cut because its caller has left.
struct Running<'a> {
    front: &'a Front,
    pick: &'a Pick,
    start: Duration,
    ended: bool,
}

impl<'a> Running<'a> {
    fn new(front: &'a Front, pick: &'a Pick) -> Self {
        front.known.parts().book.sent(&pick.id);
        Self { front, pick, start: clock::now(), ended: false }
    }

    /// Learns that the target is done with the request.
    fn end(&mut self, answered: bool) {
        self.ended = true;
        if answered {
            let now = clock::now();
            let took = now.saturating_sub(self.start);
            self.front.known.parts().book.took(now, self.pick, took);
        }
    }

    /// Learns that the request is cut: since it was `due`, or else because its caller has left.
    fn cut(&mut self, due: bool) {
        self.ended = true;
        self.front.metrics.attempt(self.pick.zone.as_str(), "cut");
        let now = clock::now();
        let waited = now.saturating_sub(self.start);
        self.front.known.parts().book.cut(now, self.pick, waited, due);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.cut(false);
        }
        self.front.known.parts().book.ended(&self.pick.id);
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

fn note_end(front: &Front, pick: &Pick, trail: &mut Trail, ended: &Ended) {
    let outcome = match ended {
        Ended::Answered(_) => "answered",
        Ended::NotRun { .. } => "not run",
        Ended::Failed(_) => "failed",
        Ended::Unreached(_) => "unreached",
        Ended::Lost(_) => "lost",
    };
    front.metrics.attempt(pick.zone.as_str(), outcome);
    let what = match ended {
        Ended::Answered(r) | Ended::Failed(r) => r.status().to_string(),
        Ended::NotRun { status } => format!("not run ({status})"),
        Ended::Unreached(cause) => format!("unreached ({cause})"),
        Ended::Lost(cause) => format!("lost ({cause})"),
    };
    // Writing to a string can't fail.
    let _ = write!(trail.targets, "{what}; ");
}

/// Looks whether a target that broke off an answer has died of the request.
async fn examine(front: Arc<Front>, pick: Pick, poison: Option<String>, id: String) {
    let connect = TcpStream::connect(pick.addr);
    let gone = match timeout(EXAMINE_TIMEOUT, connect).await {
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
