//! Sends a request to the target whose slot it holds, and tells from the result whether the target
//! answered, failed or crashed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri};

use crate::net::{HttpError, PortState, check_port};
use crate::peer::{Answer, Forward, Outcome};
use crate::targets::{AssignedSlot, AttemptResult, NoticeReport};

use super::egress::HeldSlot;
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
    // A pooled connection may be dead, and the request lost on it. Only idempotent requests use
    // one, since they can be retried.
    let sent = match forward.idempotent {
        true => node.client.send(request, left).await,
        false => node.client.send_unpooled(request, left).await,
    };
    let answer = match sent {
        Ok(response) => {
            record_notice(node, forward, held, &response);
            let shed = response.headers().contains_key("x-shed");
            held.result =
                if shed { AttemptResult::Shed } else { AttemptResult::Answered(start.elapsed()) };
            to_answer(response, &target)
        }
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
