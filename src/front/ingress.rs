//! Handles callers' requests: checks access and rate, then sends the request to a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use rand::Rng;
use serde::Serialize;

use crate::clock;
use crate::model::ServiceId;
use crate::net::{
    Arrival, HoldKind, LaterRequests, Respond, UnparsedCause, full_body, header_text,
    promises_not_run, text_response,
};
use crate::steer::{Customer, PickRequest, Rank, WeightedService, name_hash};
use crate::targets::CrashTracker;

use super::access::Grant;
use super::admission::TokenRefusal;
use super::body_buffer::{ReadEnd, read_start};
use super::metrics::RequestLabels;
use super::request::{Admitted, RequestBody, RequestError, RequestLog, path_and_query};
use super::request_head::affinity_key;
use super::{Front, access, admission, attempt, in_flight};

/// Longest request body that is buffered before it is forwarded, in bytes. A longer one is streamed,
/// so it can't be sent again.
const BUFFERED_BODY_MAX: usize = 64 << 10;

/// The log line of a finished request.
#[derive(Serialize)]
struct RequestRecord<'a> {
    id: &'a str,
    route: &'a str,
    customer: &'a str,
    object: &'a str,
    /// The customer's priority and the route's; 0 is the highest.
    rank: &'a str,
    status: u16,
    reason: &'a str,
    detail: &'a str,
    version: u64,
    table_age_ms: u64,
    /// Why it has not run, if the status promises that.
    #[serde(skip_serializing_if = "str::is_empty")]
    proof: &'a str,
    targets: &'a str,
    ms: u64,
    /// How long it waited for its turn on its connection, in milliseconds.
    wait_ms: u64,
}

/// Serves callers' requests.
pub(crate) struct CallerHandler(pub(crate) Arc<Front>);

#[async_trait]
impl Respond for CallerHandler {
    fn may_overlap(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> bool {
        let is_read = *method == Method::GET || *method == Method::HEAD;
        is_read
            && self.0.state.index().is_some_and(|index| {
                let host = header_text(headers, HOST).or_else(|| uri.host());
                let route = host.and_then(|host| index.route(host, uri.path()));
                route.is_some_and(|route| route.idempotent)
            })
    }

    fn unparsed(&self, from: SocketAddr, cause: UnparsedCause) {
        self.0.report_unparsed(from, cause);
    }

    async fn respond(&self, _: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        text_response(StatusCode::NOT_IMPLEMENTED, "requests are streamed")
    }

    async fn respond_stream(&self, request: Request<Body>, _: SocketAddr) -> Response<Body> {
        let front = &self.0;
        let now = clock::now();
        let arrived = request.extensions().get::<Arrival>().map_or(now, |arrival| arrival.0);
        let mut pending = PendingRequest::new(front, arrived);
        pending.log.wait = now.saturating_sub(arrived);
        let later = request.extensions().get::<LaterRequests>().cloned().unwrap_or_default();
        let outcome = tokio::select! {
            biased;
            outcome = handle(front, request, arrived, &mut pending.log) => outcome,
            () = front.wait_for_stop_failure(&later) => Err(stopped_error(&pending.log)),
        };
        let took = clock::now().saturating_sub(arrived);
        let mut response = match outcome {
            Ok(response) => {
                front.log_end(&pending.log, response.status(), "answered", "", took);
                response
            }
            Err(error) => {
                front.log_end(&pending.log, error.status, error.reason, &error.detail, took);
                error_response(&error)
            }
        };
        if front.is_leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        pending.answer(response)
    }
}

/// A request without a response yet; dropped as such, it logs that its caller has left.
struct PendingRequest<'a> {
    front: &'a Front,
    log: RequestLog,
    answered: bool,
}

impl<'a> PendingRequest<'a> {
    fn new(front: &'a Front, now: Duration) -> Self {
        let log = RequestLog { in_flight: front.in_flight.add(now), ..RequestLog::default() };
        Self { front, log, answered: false }
    }

    /// Passes the response on; the request is in flight until it has been written.
    fn answer(mut self, response: Response<Body>) -> Response<Body> {
        self.answered = true;
        in_flight::track(response, std::mem::take(&mut self.log.in_flight))
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Some(record) = self.log.in_flight.record(clock::now()) {
            self.front.metrics.record_aborted(record.step);
            self.front.decision_log.log_limited("aborted", &record);
        }
    }
}

/// Checks a request and sends it to a target.
async fn handle(
    front: &Arc<Front>,
    request: Request<Body>,
    arrived: Duration,
    log: &mut RequestLog,
) -> Result<Response<Body>, RequestError> {
    let (head, body) = request.into_parts();
    log.id = header_text(&head.headers, &front.headers.attempt).unwrap_or_default().to_owned();
    log.in_flight.update(|r| r.id.clone_from(&log.id));
    let grant = access::find_grant(front, &head, arrived, log).await;
    if let Some(age) = front.state.table_age(clock::now()) {
        front.metrics.decisions.record_table_age(age);
    }
    let Grant { index, route, customer, allowed_regions, deadline, caller_deadline } = grant?;
    front.check_stop(clock::now(), deadline)?;
    check_deadline(deadline)?;
    let affinity = affinity_key(front, &head.headers).filter(|_| route.sticky);
    log.affinity = affinity.unwrap_or_default().to_owned();
    // A request without an affinity key may go to any target.
    let affinity = affinity.map_or_else(|| rand::rng().random(), |key| name_hash(key.as_bytes()));
    let service = choose_service(&route.parts)
        .ok_or_else(|| RequestError::not_run("no-service", "the route has no services"))?;
    let rank = Rank::new(customer.as_ref(), &route);
    log.rank = rank.to_string();
    let choice = PickRequest {
        service: &service,
        affinity,
        region: &front.place.region,
        allowed_regions: allowed_regions.as_deref(),
        avoid: &[],
        time_left: front.time_left(clock::now(), deadline),
        cold_rate: index.service(&service).map_or(0.0, |s| s.cold_rate),
    };
    attempt::check_targets(front, deadline, &choice)?;
    let token = match &customer {
        Some(customer) => {
            let class = index.ranks().token_class(&route);
            let taken =
                admission::take_token(front, customer, class, deadline, caller_deadline).await;
            Some(taken.map_err(|refusal| over_rate(customer, refusal))?)
        }
        None => None,
    };
    let body = read_body(front, body, deadline).await?;
    let fingerprint = fingerprint(customer.as_ref(), &head, &body);
    let retry_class = index.ranks().retry_class(&service, rank);
    let admitted = Admitted {
        id: log.id.clone(),
        head,
        streamed: matches!(body, RequestBody::Streamed(..)),
        index: index.clone(),
        route,
        service,
        customer,
        token,
        retry_class,
        allowed_regions,
        affinity,
        deadline,
        caller_deadline,
        fingerprint,
    };
    attempt::run(front, admitted, body, log).await
}

fn over_rate(customer: &Customer, refusal: TokenRefusal) -> RequestError {
    let detail = format!("customer {} has exhausted its rate: {}", customer.id, refusal.cause);
    let error = RequestError::new(StatusCode::TOO_MANY_REQUESTS, "over-rate", detail);
    RequestError { retry_after: Some(refusal.retry_after), ..error }
}

/// The error of a request that has no response when the stop ends.
fn stopped_error(log: &RequestLog) -> RequestError {
    let detail = "this entry VM exits before the request ends";
    match log.maybe_run {
        true => RequestError::new(StatusCode::GATEWAY_TIMEOUT, "stopping", detail),
        false => RequestError::not_run("stopping", detail).retry_at_once(),
    }
}

/// Rejects a request whose deadline passed while it waited for its turn.
fn check_deadline(deadline: Duration) -> Result<(), RequestError> {
    match clock::now() < deadline {
        true => Ok(()),
        false => Err(RequestError::not_run("no-time", "the deadline has passed")),
    }
}

async fn read_body(
    front: &Front,
    mut body: Body,
    deadline: Duration,
) -> Result<RequestBody, RequestError> {
    let left = deadline.saturating_sub(clock::now());
    let held = front.target_client.budget.hold(HoldKind::Ahead);
    match tokio::time::timeout(left, read_start(&mut body, BUFFERED_BODY_MAX, held)).await {
        Ok(Ok(start)) => match start.end {
            ReadEnd::Whole => Ok(RequestBody::Buffered(start.into_bytes())),
            ReadEnd::Limit => Ok(RequestBody::Streamed(start.chunks, body)),
            ReadEnd::NoRoom => {
                Err(RequestError::not_run("no-memory", "too much is held for other bodies"))
            }
        },
        Ok(Err(e)) => Err(RequestError::new(StatusCode::BAD_REQUEST, "bad-body", e.to_string())),
        Err(_) => Err(RequestError::new(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            "the body did not arrive before the deadline",
        )),
    }
}

/// Identifies equal requests of a customer, for the quarantine. Of a long body only the start counts,
/// since the rest has not arrived when the request is sent.
fn fingerprint(customer: Option<&Customer>, head: &Parts, body: &RequestBody) -> String {
    let id = customer.map(|c| c.id.clone()).unwrap_or_default();
    let start = body.start(BUFFERED_BODY_MAX);
    CrashTracker::fingerprint(&id, head.method.as_str(), &path_and_query(head), &start)
}

/// Chooses a service at random, in proportion to the weights.
fn choose_service(parts: &[WeightedService]) -> Option<ServiceId> {
    let total: f64 = parts.iter().map(|p| p.weight.max(0.0)).sum();
    let mut draw = rand::rng().random_range(0.0..1.0) * total;
    for part in parts {
        draw -= part.weight.max(0.0);
        if draw < 0.0 {
            return Some(part.service.clone());
        }
    }
    parts.last().map(|p| p.service.clone())
}

fn error_response(error: &RequestError) -> Response<Body> {
    let mut response = text_response(error.status, error.reason);
    if let Some(retry_after) = error.retry_after {
        let seconds = format!("{:.2}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response.map(full_body)
}

impl Front {
    /// Logs a finished request and counts it in the metrics.
    fn log_end(
        &self,
        log: &RequestLog,
        status: StatusCode,
        reason: &str,
        detail: &str,
        took: Duration,
    ) {
        let now = clock::now();
        let outcome = RequestLabels { status: status.as_u16(), reason: reason.to_owned() };
        self.metrics.record_request(outcome, log, took);
        let age = self.state.table_age(now).unwrap_or_default();
        self.count_rejection(reason, age);
        let record = RequestRecord {
            id: &log.id,
            route: &log.route,
            customer: &log.customer,
            object: &log.affinity,
            rank: &log.rank,
            status: status.as_u16(),
            reason,
            detail,
            version: self.state.index().map_or(0, |i| i.table().version),
            table_age_ms: age.as_millis() as u64,
            proof: if promises_not_run(status) { log.proof.as_str() } else { "" },
            targets: &log.targets,
            ms: took.as_millis() as u64,
            wait_ms: log.wait.as_millis() as u64,
        };
        let kind = if status.is_success() { "request" } else { "failure" };
        self.decision_log.log_limited(kind, &record);
    }
}
