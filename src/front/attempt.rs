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
use crate::net::{header_text, whole_body};
use crate::peer::Death;
use crate::steer::{Choice, Pick, Picked};

use super::Front;
use super::answer::{AttemptOutcome, forwarded_headers, read_response};
use super::outbound::SendFailure;
use super::request::{Admitted, RequestBody, RequestError, RequestLog, path_and_query};

/// Least time left for a request to be sent to a target.
const TIME_LEFT_MIN: Duration = Duration::from_millis(30);
/// Longest wait for a connection to a target that broke off an answer.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
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
    mut body: RequestBody,
    log: &mut RequestLog,
) -> Result<Response<Body>, RequestError> {
    check_quarantine(front, &admitted)?;
    front.state.lock().retries.earn(clock::now(), &admitted.service);
    let mut history = History::default();
    let most = admitted.route.attempts.max(1);
    loop {
        let pick = match pick(front, &admitted, &history) {
            Picked::Target(pick) => pick,
            Picked::Busy(late) => {
                let error = history.error("busy", "every target would answer too late");
                return Err(error.retry_after(late));
            }
            Picked::Nothing => {
                return Err(history.error("no-target", "no target may take the request"));
            }
        };
        if clock::now() + TIME_LEFT_MIN > admitted.deadline {
            return Err(history.error("no-time", "too little time is left"));
        }
        let Some(body) = take_body(&mut body) else {
            return Err(history.error("body-gone", "the body can't be sent again"));
        };
        let ended = attempt(front, &admitted, &pick, body, log).await?;
        match next_step(front, &admitted, &pick, ended, &mut history) {
            Next::Return(response) => return Ok(response),
            Next::Refuse(reason) => return Err(history.error(reason, "")),
            Next::Again => {}
        }
        if history.unreached > UNREACHED_MAX || history.arrivals >= most {
            return Err(history.error("attempts", "all attempts are used up"));
        }
        if history.arrivals > 0 && !spend_retry(front, &admitted) {
            return Err(history.error("retries", "the budget of repeats is used up"));
        }
    }
}

/// Sends a request once; fails if its time is over before the answer is there.
async fn attempt(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
    log: &mut RequestLog,
) -> Result<AttemptOutcome, RequestError> {
    // Noted before it is sent: the end of its time and its caller's leaving end it here.
    let _ = write!(log.targets, "{} in {}: ", pick.id, pick.region);
    let mut running = InFlight::new(front, pick);
    let left = admitted.deadline.saturating_sub(clock::now());
    let Ok(ended) = timeout(left, send(front, admitted, pick, body)).await else {
        running.cut(true);
        let timeout_ms = admitted.route.timeout_ms;
        let detail = format!("no answer within the route's {timeout_ms} ms or the deadline");
        return Err(RequestError::new(StatusCode::GATEWAY_TIMEOUT, "timeout", detail));
    };
    running.end(matches!(ended, AttemptOutcome::Answered(_)));
    record_outcome(front, pick, log, &ended);
    Ok(ended)
}

enum Next {
    Return(Response<Body>),
    Refuse(&'static str),
    Again,
}

/// Decides what follows an attempt.
fn next_step(
    front: &Arc<Front>,
    admitted: &Admitted,
    pick: &Pick,
    ended: AttemptOutcome,
    history: &mut History,
) -> Next {
    let idempotent = admitted.route.idempotent;
    match ended {
        AttemptOutcome::Answered(response) => return Next::Return(response),
        AttemptOutcome::NotRun { status } => {
            history.arrivals += 1;
            if status == StatusCode::MISDIRECTED_REQUEST {
                front.state.lock().balancer.replaced(&pick.id);
            }
            history.cause = format!("{} has not run it ({status})", pick.id);
        }
        AttemptOutcome::Failed(response) => {
            history.arrivals += 1;
            let again = idempotent && history.arrivals < admitted.route.attempts;
            if !again || !can_retry(front, admitted) {
                return Next::Return(response);
            }
            history.maybe_run = true;
        }
        AttemptOutcome::Unreached(cause) => {
            history.unreached += 1;
            front.state.lock().balancer.failed(clock::now(), &pick.id);
            history.cause = cause;
        }
        AttemptOutcome::Lost(cause) => {
            history.arrivals += 1;
            history.maybe_run = true;
            let (poison, id) = (admitted.poison.clone(), admitted.id.clone());
            tokio::spawn(check_for_crash(front.clone(), pick.clone(), poison, id));
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
    fn error(&self, reason: &'static str, cause: &str) -> RequestError {
        let detail = format!("{cause} {}", self.cause).trim().to_owned();
        if self.maybe_run {
            return RequestError::new(StatusCode::BAD_GATEWAY, reason, detail);
        }
        RequestError::not_run(reason, detail)
    }
}

fn spend_retry(front: &Front, admitted: &Admitted) -> bool {
    let may = front.state.lock().retries.spend(clock::now(), &admitted.service);
    if may {
        front.metrics.retries.inc();
    }
    may
}

/// True if a repeat could be paid for; it is paid when it is sent.
fn can_retry(front: &Front, admitted: &Admitted) -> bool {
    front.state.lock().retries.can_spend(clock::now(), &admitted.service)
}

fn check_quarantine(front: &Front, admitted: &Admitted) -> Result<(), RequestError> {
    let Some(fingerprint) = &admitted.poison else { return Ok(()) };
    let now = std::time::Instant::now();
    match front.state.lock().poison.quarantine(now, fingerprint) {
        Some(_) => Err(RequestError::not_run("quarantined", "this request has killed targets")),
        None => Ok(()),
    }
}

fn pick(front: &Front, admitted: &Admitted, history: &History) -> Picked {
    let choice = Choice {
        service: &admitted.service,
        object: admitted.affinity,
        region: &front.place.region,
        homes: admitted.homes.as_deref(),
        avoid: &history.avoid,
        left: admitted.deadline.saturating_sub(clock::now()),
        cold_rate: admitted.index.service(&admitted.service).map_or(0.0, |s| s.cold_rate),
    };
    front.state.lock().balancer.pick(clock::now(), &choice)
}

/// The body for one more attempt, if there is one.
fn take_body(body: &mut RequestBody) -> Option<Body> {
    match body {
        RequestBody::Buffered(bytes) => Some(whole_body(bytes.clone())),
        RequestBody::Streamed(read, rest) => {
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

async fn send(front: &Front, admitted: &Admitted, pick: &Pick, body: Body) -> AttemptOutcome {
    let request = match build_request(front, admitted, pick, body) {
        Ok(request) => request,
        Err(cause) => return AttemptOutcome::Unreached(cause),
    };
    match front.target_client.send(pick.addr, request, true).await {
        Ok((response, lease)) => {
            record_load(front, pick, response.headers());
            read_response(&front.headers, &admitted.id, response, lease).await
        }
        Err(SendFailure { maybe_sent: false, step, peer, cause }) => {
            AttemptOutcome::Unreached(format!("{step} at {peer}: {cause}"))
        }
        Err(e) => AttemptOutcome::Lost(e.to_string()),
    }
}

/// Takes in what a target says of its load: running and waiting requests, and slots.
fn record_load(front: &Front, pick: &Pick, headers: &HeaderMap) {
    let Some(value) = header_text(headers, &front.headers.load) else { return };
    let mut figures = value.split(',').map(|f| f.trim().parse::<u32>().ok());
    if let (Some(Some(running)), Some(Some(waiting))) = (figures.next(), figures.next()) {
        let requests = running.saturating_add(waiting);
        front.state.lock().balancer.reported(clock::now(), &pick.id, requests);
    }
}

/// Counts a request at its target. Dropped before its end, it was cut because its caller has left.
struct InFlight<'a> {
    front: &'a Front,
    pick: &'a Pick,
    start: Duration,
    ended: bool,
}

impl<'a> InFlight<'a> {
    fn new(front: &'a Front, pick: &'a Pick) -> Self {
        front.state.lock().balancer.sent(&pick.id);
        Self { front, pick, start: clock::now(), ended: false }
    }

    /// Learns that the target is done with the request.
    fn end(&mut self, answered: bool) {
        self.ended = true;
        if answered {
            let now = clock::now();
            let took = now.saturating_sub(self.start);
            self.front.state.lock().balancer.took(now, self.pick, took);
        }
    }

    /// Learns that the request is cut: since it was `due`, or else because its caller has left.
    fn cut(&mut self, timed_out: bool) {
        self.ended = true;
        self.front.metrics.record_attempt(self.pick.zone.as_str(), "cut");
        let now = clock::now();
        let waited = now.saturating_sub(self.start);
        self.front.state.lock().balancer.cut(now, self.pick, waited, timed_out);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.cut(false);
        }
        self.front.state.lock().balancer.ended(&self.pick.id);
    }
}

fn build_request(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
) -> Result<Request<Body>, String> {
    let names = &front.headers;
    let mut headers = forwarded_headers(&admitted.head.headers);
    for name in [AUTHORIZATION, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    let left = admitted.deadline.saturating_sub(clock::now()).as_millis().to_string();
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
    if let Some(length) = admitted.head.headers.get(CONTENT_LENGTH).filter(|_| admitted.streamed) {
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    let uri: Uri =
        path_and_query(&admitted.head).parse().map_err(|e| format!("read the path: {e}"))?;
    let mut request = Request::new(body);
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Ok(request)
}

fn record_outcome(front: &Front, pick: &Pick, log: &mut RequestLog, ended: &AttemptOutcome) {
    let outcome = match ended {
        AttemptOutcome::Answered(_) => "answered",
        AttemptOutcome::NotRun { .. } => "not run",
        AttemptOutcome::Failed(_) => "failed",
        AttemptOutcome::Unreached(_) => "unreached",
        AttemptOutcome::Lost(_) => "lost",
    };
    front.metrics.record_attempt(pick.zone.as_str(), outcome);
    let detail = match ended {
        AttemptOutcome::Answered(r) | AttemptOutcome::Failed(r) => r.status().to_string(),
        AttemptOutcome::NotRun { status } => format!("not run ({status})"),
        AttemptOutcome::Unreached(cause) => format!("unreached ({cause})"),
        AttemptOutcome::Lost(cause) => format!("lost ({cause})"),
    };
    // Writing to a string can't fail.
    let _ = write!(log.targets, "{detail}; ");
}

/// Looks whether a target that broke off an answer has died of the request.
async fn check_for_crash(front: Arc<Front>, pick: Pick, poison: Option<String>, id: String) {
    let connect = TcpStream::connect(pick.addr);
    let gone = match timeout(CRASH_CHECK_TIMEOUT, connect).await {
        Ok(Ok(_)) => return,
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    };
    front.state.lock().balancer.failed(clock::now(), &pick.id);
    if let Some(fingerprint) = poison.filter(|_| gone) {
        let event = format!("{id}/{}", pick.id);
        front.decision_log.log_limited("death", &CrashRecord { id: &id, target: pick.id.as_str() });
        front.record_crashes(&[Death { fingerprint, event }]);
    }
}

#[derive(Serialize)]
struct CrashRecord<'a> {
    id: &'a str,
    target: &'a str,
}
