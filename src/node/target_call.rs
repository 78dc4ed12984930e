//! Sends a request to the target whose slot it holds, and tells from the result whether the target
//! answered, failed or crashed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};

use crate::net::{HttpError, PortState, check_port};
use crate::peer::{Answer, Forward, Outcome};
use crate::targets::{AssignedSlot, AttemptResult, NoticeReport};

use super::egress::HeldSlot;
use super::metrics::UnprovedLabels;
use super::response_head::{HeadFault, HeadVerdict, has_own_id, is_reused, judge_head};
use super::trace::{SpanContext, SpanEnd};
use super::{Node, notices, probe, sanitize, unix_millis};

/// Duration of the check whether a target has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request and waits at most `left` for the answer. Stores the attempt's result in `held`.
pub(super) async fn send(
    node: &Node,
    forward: &Forward,
    span: &SpanContext,
    held: &mut HeldSlot<'_>,
    left: Duration,
) -> Answer {
    let start = Instant::now();
    let target = held.slot.target.to_string();
    let child = span.child();
    let Some(request) = to_request(forward, &held.slot, &child, left) else {
        return failed_answer(
            Outcome::NotReached,
            &target,
            format!("{} {}: not a valid HTTP request", forward.method, forward.path),
        );
    };
    let answer = match exchange(node, forward, request, left).await {
        Ok(response) => judge_response(node, forward, held, response, start.elapsed()),
        Err(e) => {
            held.result = AttemptResult::Failed;
            classify_failure(node, held, &target, &e).await
        }
    };
    let outcome = format!("{:?}", held.result);
    let end = SpanEnd { start, request: &forward.request, peer: &target, outcome: &outcome };
    node.tracer.finish(&child, &span.span, "target", end);
    answer
}

/// Sends a request and reads the response, on a pooled connection only if the request can be lost
/// there.
async fn exchange(
    node: &Node,
    forward: &Forward,
    request: Request<Bytes>,
    left: Duration,
) -> Result<Response<Bytes>, HttpError> {
    // A pooled connection may be dead, and the request lost on it. Only idempotent requests use
    // one, since they can be retried. On one that has carried an earlier attempt, a late copy of
    // that one's response would have the request's id, too.
    let is_retry = !forward.avoid.is_empty();
    if !forward.idempotent || is_retry {
        return node.client.send_unpooled(request, left).await;
    }
    let is_own = |headers: &HeaderMap| has_own_id(headers, &forward.request);
    node.client.send_if_own(request, left, is_own).await
}

/// The answer that a target's response proves.
fn judge_response(
    node: &Node,
    forward: &Forward,
    held: &mut HeldSlot<'_>,
    response: Response<Bytes>,
    took: Duration,
) -> Answer {
    let target = held.slot.target.to_string();
    match judge_head(&response, &forward.request) {
        HeadVerdict::Ran => {
            record_notice(node, forward, held, &response);
            held.result = AttemptResult::Answered(took);
            notices::record_limit(node, &held.service, &held.slot.target, &response);
            to_answer(response, &target)
        }
        HeadVerdict::Shed(proof) => {
            record_notice(node, forward, held, &response);
            held.result = AttemptResult::Shed;
            Answer { cause: proof.as_str().to_owned(), ..to_answer(response, &target) }
        }
        HeadVerdict::Unproved(fault) => {
            count_unproved(node, fault);
            held.result = AttemptResult::Failed;
            if fault.is_own() {
                record_notice(node, forward, held, &response);
                held.result = AttemptResult::Answered(took);
            }
            let connection = if is_reused(&response) { "in use again" } else { "new" };
            let status = response.status();
            let cause =
                format!("the response ({status}, connection {connection}) proves nothing: {fault}");
            failed_answer(Outcome::Unknown, &target, cause)
        }
    }
}

fn count_unproved(node: &Node, fault: HeadFault) {
    let labels = UnprovedLabels { cause: fault.as_str() };
    node.metrics.unproved.get_or_create(&labels).inc();
}

/// Records what the target says of itself, before its slot is free for another request.
fn record_notice(node: &Node, forward: &Forward, held: &HeldSlot<'_>, response: &Response<Bytes>) {
    let report = NoticeReport {
        target: &held.slot.target,
        addr: held.slot.addr,
        notice: notices::read_notice(response, &forward.request),
        said_ms: unix_millis(),
    };
    notices::record(node, &held.service, &report);
}

async fn classify_failure(
    node: &Node,
    held: &mut HeldSlot<'_>,
    target: &str,
    error: &HttpError,
) -> Answer {
    let cause = error.to_string();
    if !error.maybe_sent {
        if error.connection_refused {
            held.result = AttemptResult::Died;
        }
        return failed_answer(Outcome::NotReached, target, cause);
    }
    if error.spliced {
        count_unproved(node, HeadFault::Spliced);
        return failed_answer(Outcome::Unknown, target, cause);
    }
    if error.over_budget {
        held.result = AttemptResult::GivenUp;
        return failed_answer(Outcome::Unknown, target, cause);
    }
    if has_crashed(node, held.slot.addr).await {
        held.result = AttemptResult::Died;
        return failed_answer(Outcome::Died, target, cause);
    }
    failed_answer(Outcome::Unknown, target, cause)
}

/// True if the target has crashed: it then refuses new connections, as one that is only slow does
/// not.
async fn has_crashed(node: &Node, addr: SocketAddr) -> bool {
    match probe::probe(node, addr).await.outcome {
        Ok(_) => false,
        Err(e) if e.connection_refused => true,
        Err(_) => check_port(addr, CRASH_CHECK_TIMEOUT).await == PortState::Refused,
    }
}

fn to_request(
    forward: &Forward,
    slot: &AssignedSlot,
    span: &SpanContext,
    left: Duration,
) -> Option<Request<Bytes>> {
    let uri: Uri = format!("http://{}{}", slot.addr, forward.path).parse().ok()?;
    let mut request = Request::new(forward.body.clone());
    *request.method_mut() = forward.method.parse().ok()?;
    *request.uri_mut() = uri;
    *request.headers_mut() = sanitize::to_headers(&forward.headers);
    let own = [
        ("x-request-id", forward.request.clone()),
        ("x-shallot-customer", forward.customer.clone()),
        ("x-shallot-deadline-ms", left.as_millis().to_string()),
        ("traceparent", span.header()),
    ];
    for (name, value) in own {
        request.headers_mut().insert(name, HeaderValue::from_str(&value).ok()?);
    }
    Some(request)
}

fn to_answer(response: Response<Bytes>, target: &str) -> Answer {
    Answer {
        outcome: Outcome::Answered.into(),
        status: response.status().as_u16().into(),
        headers: sanitize::caller_headers(response.headers()),
        body: response.into_body(),
        target: target.to_owned(),
        ..Answer::default()
    }
}

pub(crate) fn failed_answer(outcome: Outcome, target: &str, cause: String) -> Answer {
    Answer { outcome: outcome.into(), target: target.to_owned(), cause, ..Answer::default() }
}
