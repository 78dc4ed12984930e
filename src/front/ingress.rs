//! Callers' requests, from the route to the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use rand::Rng;
use serde::Serialize;

use crate::clock;
use crate::model::ServiceId;
use crate::net::{Respond, full_body, header_text, text_response};
use crate::steer::{Access, Index, Part, fingerprint};
use crate::targets::Poison;

use super::metrics::Outcome;
use super::outbound::read_up_to;
use super::request::{Admitted, Content, Refused, Trail, path_of};
use super::{Front, attempt, rates};

/// Longest body that is read whole before it is sent on, in bytes.
const HELD_BODY: usize = 64 << 10;
/// Age of the keys is kept below the bound by this much; watches may hear of a change late.
const REVOKE_MARGIN: Duration = Duration::from_millis(1_300);
/// Longest wait for the first configuration.
const TABLE_WAIT: Duration = Duration::from_millis(450);
/// Pause between looks for the first configuration.
const TABLE_LOOK: Duration = Duration::from_millis(20);
/// When to come back after a refusal for the rate.
const RETRY_RATE: Duration = Duration::from_millis(700);

/// What is logged of a request's end.
#[derive(Serialize)]
struct Ended<'a> {
    id: &'a str,
    route: &'a str,
    customer: &'a str,
    object: &'a str,
    status: u16,
    reason: &'a str,
    detail: &'a str,
    version: u64,
    table_age_ms: u64,
    targets: &'a str,
    ms: u64,
}

/// Answers callers.
pub(crate) struct Calling(pub(crate) Arc<Front>);

#[async_trait]
impl Respond for Calling {
    async fn respond(&self, _: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        text_response(StatusCode::NOT_IMPLEMENTED, "requests are streamed")
    }

    async fn respond_stream(&self, request: Request<Body>, _: SocketAddr) -> Response<Body> {
        let front = &self.0;
        let arrived = clock::now();
        let _active = Active::new(front);
        let mut trail = Trail::default();
        let outcome = serve(front, request, arrived, &mut trail).await;
        let took = clock::now().saturating_sub(arrived);
        let mut response = match outcome {
            Ok(response) => {
                front.note_end(&trail, response.status(), "answered", "", took);
                response
            }
            Err(refused) => {
                front.note_end(&trail, refused.status, refused.reason, &refused.detail, took);
                refusal(&refused)
            }
        };
        if front.is_leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Counts a request until it has its answer.
struct Active<'a>(&'a Front);

impl<'a> Active<'a> {
    fn new(front: &'a Front) -> Self {
        front.active.fetch_add(1, Ordering::Relaxed);
        Self(front)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    front: &Arc<Front>,
    request: Request<Body>,
    arrived: Duration,
    trail: &mut Trail,
) -> Result<Response<Body>, Refused> {
    let (head, body) = request.into_parts();
    trail.id = header_text(&head.headers, &front.headers.attempt).unwrap_or_default().to_owned();
    if front.is_closed() {
        return Err(Refused::not_run("stopping", "this VM is about to stop"));
    }
    let index = await_index(front).await;
    let index = index.ok_or_else(|| Refused::not_run("no-table", "no configuration is known"))?;
    let host = header_text(&head.headers, HOST).or_else(|| head.uri.host());
    let host =
        host.ok_or_else(|| Refused::new(StatusCode::BAD_REQUEST, "no-host", "Host is missing"))?;
    let found = index.route(host, head.uri.path()).cloned();
    let route =
        found.ok_or_else(|| Refused::new(StatusCode::NOT_FOUND, "no-route", "no route matches"))?;
    trail.route.clone_from(&route.name);
    let access = index.access(&route, key_of(front, &head.headers));
    let customer = match access {
        Access::Open => None,
        Access::Customer(c) => Some(c.clone()),
        Access::Denied => {
            return Err(Refused::new(StatusCode::UNAUTHORIZED, "no-key", "the key is nobody's"));
        }
    };
    trail.customer = customer.as_ref().map(|c| c.id.to_string()).unwrap_or_default();
    check_size(&head.headers, &index)?;
    if let Some(customer) = &customer {
        check_age(front, arrived)?;
        if let Err(cause) = rates::take(front, customer).await {
            let detail = format!("{} has used up its rate: {cause}", customer.id);
            let refused = Refused::new(StatusCode::TOO_MANY_REQUESTS, "over-rate", detail);
            return Err(Refused { retry: Some(RETRY_RATE), ..refused });
        }
    }
    let homes = index.homes(&route, access);
    let due = arrived + Duration::from_millis(route.timeout_ms).min(patience(front, &head.headers));
    let content = read_body(body, due).await?;
    let poison = match &content {
        Content::Whole(body) => {
            let id = customer.as_ref().map(|c| c.id.clone()).unwrap_or_default();
            Some(Poison::fingerprint(&id, head.method.as_str(), &path_of(&head), body))
        }
        Content::Rest(..) => None,
    };
    let object = object_of(front, &head.headers).filter(|_| route.sticky);
    trail.object = object.unwrap_or_default().to_owned();
    // A request without an object goes anywhere.
    let object = object.map_or_else(|| rand::rng().random(), |o| fingerprint(o.as_bytes()));
    let service = choose_part(&route.parts)
        .ok_or_else(|| Refused::not_run("no-service", "the route has no service"))?;
    let admitted = Admitted {
        id: trail.id.clone(),
        head,
        long: matches!(content, Content::Rest(..)),
        index: index.clone(),
        route,
        service,
        customer,
        homes,
        object,
        due,
        poison,
    };
    attempt::run(front, admitted, content, trail).await
}

/// The configuration; a process that has just started waits a little for it.
async fn await_index(front: &Front) -> Option<Arc<Index>> {
    let until = clock::now() + TABLE_WAIT;
    loop {
        let index = front.known.index();
        if index.is_some() || clock::now() >= until {
            return index;
        }
        tokio::time::sleep(TABLE_LOOK).await;
    }
}

/// The key that a caller shows.
fn key_of<'a>(front: &Front, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = header_text(headers, AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(&front.headers.key_scheme).then_some(key.trim())
}

fn check_size(headers: &HeaderMap, index: &Index) -> Result<(), Refused> {
    let bounds = index.table().bounds;
    let length = header_text(headers, CONTENT_LENGTH).and_then(|v| v.parse::<u64>().ok());
    if length.is_some_and(|l| l > bounds.body_bytes) {
        return Err(Refused::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "long-body",
            "the body is too long",
        ));
    }
    let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    if size as u64 > bounds.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refused::new(status, "long-head", "the headers are too long"));
    }
    Ok(())
}

/// A VM that can't know that a key is still valid refuses it.
fn check_age(front: &Front, now: Duration) -> Result<(), Refused> {
    let bounds = &front.config.bounds;
    let age = front.known.table_age(now).unwrap_or(Duration::MAX);
    if bounds.fail_closed && age.saturating_add(REVOKE_MARGIN) > bounds.revoke.0 {
        let detail = format!("no news of withdrawn keys for {} ms", age.as_millis());
        return Err(Refused::not_run("keys-old", detail));
    }
    Ok(())
}

/// How long the caller waits.
fn patience(front: &Front, headers: &HeaderMap) -> Duration {
    let value = header_text(headers, &front.headers.deadline).and_then(|v| v.parse().ok());
    value.map_or(Duration::MAX / 4, Duration::from_millis)
}

async fn read_body(mut body: Body, due: Duration) -> Result<Content, Refused> {
    let left = due.saturating_sub(clock::now());
    match tokio::time::timeout(left, read_up_to(&mut body, HELD_BODY)).await {
        Ok(Ok((parts, true))) => Ok(Content::Whole(parts.concat().into())),
        Ok(Ok((parts, false))) => Ok(Content::Rest(parts, body)),
        Ok(Err(e)) => Err(Refused::new(StatusCode::BAD_REQUEST, "bad-body", e)),
        Err(_) => Err(Refused::new(StatusCode::REQUEST_TIMEOUT, "slow-body", "the body is late")),
    }
}

/// The object of a request.
fn object_of<'a>(front: &Front, headers: &'a HeaderMap) -> Option<&'a str> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|p| p.trim().split_once('='));
    pairs.find(|(name, _)| *name == front.headers.object_cookie).map(|(_, object)| object)
}

/// Draws a service in proportion to the weights.
fn choose_part(parts: &[Part]) -> Option<ServiceId> {
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

fn refusal(refused: &Refused) -> Response<Body> {
    let mut response = text_response(refused.status, refused.reason);
    if let Some(retry) = refused.retry {
        let seconds = format!("{:.2}", retry.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response.map(full_body)
}

impl Front {
    fn note_end(
        &self,
        trail: &Trail,
        status: StatusCode,
        reason: &str,
        detail: &str,
        took: Duration,
    ) {
        let now = clock::now();
        let outcome = Outcome { status: status.as_u16(), reason: reason.to_owned() };
        self.metrics.ended(outcome, trail, took);
        let age = self.known.table_age(now).unwrap_or_default();
        let ended = Ended {
            id: &trail.id,
            route: &trail.route,
            customer: &trail.customer,
            object: &trail.object,
            status: status.as_u16(),
            reason,
            detail,
            version: self.known.index().map_or(0, |i| i.table().version),
            table_age_ms: age.as_millis() as u64,
            targets: &trail.targets,
            ms: took.as_millis() as u64,
        };
        let kind = if status.is_success() { "request" } else { "failure" };
        self.decisions.note(kind, &ended);
    }
}
