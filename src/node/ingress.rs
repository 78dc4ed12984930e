//! The ingress side: callers' requests, from the key to the answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Request, Response};

use crate::model::{Account, CustomerId, CutOff, Document, RegionId, Route, ServiceId};
use crate::net::{Respond, header_text};
use crate::plan::ShiftPlan;
use crate::route::RetryBudget;
use crate::targets::CrashTracker;

use super::records::Trail;
use super::refusal::{Reason, Refusal};
use super::trace::{SpanEnd, SpanId};
use super::{Node, attempt, escrow, lookup, once, sanitize};

/// Path of look-ups.
const LOOKUP_PATH: &str = "/.shallot/lookup";
/// Path that says whether this VM takes requests.
const READY_PATH: &str = "/.shallot/ready";
/// Header in which a caller says how long it waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-shallot-deadline-ms";
/// Header in which a caller sends an idempotency key.
const ONCE_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const ONCE_BYTES_MAX: usize = 200;

/// What the ingress side remembers.
#[derive(Default)]
pub(crate) struct Ingress {
    budgets: Mutex<BTreeMap<ServiceId, RetryBudget>>,
    active: AtomicU64,
}

impl Ingress {
    /// Requests that have no answer yet.
    pub(crate) fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    /// Earns the retries of one request.
    fn earn(&self, service: &ServiceId, part: f64) {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        budgets.entry(service.clone()).or_default().deposit(part);
    }

    /// Spends one retry of the service, if there is one.
    pub(crate) fn may_retry(&self, service: &ServiceId) -> bool {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        budgets.entry(service.clone()).or_default().try_withdraw()
    }
}

/// Counts a request until it has its answer.
struct Active(Arc<Node>);

impl Active {
    fn new(node: &Arc<Node>) -> Self {
        node.ingress.active.fetch_add(1, Ordering::Relaxed);
        Self(node.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.ingress.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) id: String,
    pub(crate) service: ServiceId,
    pub(crate) document: Arc<Document>,
    pub(crate) plan: ShiftPlan,
    pub(crate) route: Route,
    pub(crate) customer: CustomerId,
    pub(crate) method: String,
    /// Path and query below the service.
    pub(crate) path: String,
    pub(crate) headers: Vec<crate::peer::HeaderField>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// The caller's idempotency key, if the route is not idempotent.
    pub(crate) once: Option<String>,
    pub(crate) fingerprint: String,
    pub(crate) span: SpanId,
}

impl Admitted {
    pub(crate) fn account(&self) -> Account {
        Account::new(self.service.clone(), self.customer.clone())
    }

    /// The region to which a planned shift sends this request.
    pub(crate) fn shifted(&self, from: &RegionId, draw: f64) -> Option<&RegionId> {
        self.plan.region(from, draw)
    }

    /// Time left.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Answers callers.
pub(crate) struct Calling(pub(crate) Arc<Node>);

#[async_trait]
impl Respond for Calling {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let node = &self.0;
        match request.uri().path() {
            LOOKUP_PATH => lookup::respond(node, &request),
            READY_PATH => super::status::ready(node),
            _ => {
                log::debug!("ingress: {from} calls {}.", request.uri().path());
                serve(node, &request).await
            }
        }
    }
}

async fn serve(node: &Arc<Node>, request: &Request<Bytes>) -> Response<Bytes> {
    let id = node.records.next_id(node.me.vm.as_str(), node.me.incarnation);
    let mut trail = Trail::new(id.clone());
    let active = Active::new(node);
    let parent = header_text(request.headers(), "traceparent").and_then(SpanId::parse);
    let span = parent.as_ref().map_or_else(SpanId::root, SpanId::child);
    let outcome = match admit(node, request, &mut trail, span.clone()) {
        Ok(admitted) if admitted.once.is_some() => {
            // A claimed request is carried to its end even if its caller hangs up.
            let node = node.clone();
            let task = tokio::spawn(async move {
                let _active = active;
                let outcome = run(&node, &admitted, &mut trail).await;
                (outcome, trail)
            });
            match task.await {
                Ok((outcome, finished)) => {
                    trail = finished;
                    outcome
                }
                Err(e) => {
                    trail = Trail::new(id.clone());
                    Err(Refusal::unknown(Reason::TargetFailed, e.to_string()))
                }
            }
        }
        Ok(admitted) => run(node, &admitted, &mut trail).await,
        Err(refusal) => Err(refusal),
    };
    finish(node, outcome, trail, &span, parent)
}

fn finish(
    node: &Node,
    outcome: Result<Response<Bytes>, Refusal>,
    mut trail: Trail,
    span: &SpanId,
    parent: Option<SpanId>,
) -> Response<Bytes> {
    let (mut response, text) = match outcome {
        Ok(response) => (response, "answered".to_owned()),
        Err(refusal) => {
            trail.note("refuse", refusal.detail.clone());
            (refusal.response(), refusal.reason.as_str())
        }
    };
    let id = trail.record.request.clone();
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", value);
    }
    let labels = super::metrics::Answered {
        service: trail.record.service.clone(),
        customer: trail.record.customer.clone(),
        outcome: text.clone(),
    };
    node.metrics.requests.get_or_create(&labels).inc();
    let labels = super::metrics::ByService { service: trail.record.service.clone() };
    node.metrics.latency.get_or_create(&labels).observe(trail.start.elapsed().as_secs_f64());
    let end = SpanEnd { start: trail.start, request: &id, peer: "caller", outcome: &text };
    node.tracer.finish(span, &parent.map_or_else(String::new, |p| p.span), "ingress", end);
    trail.record.outcome = text;
    node.records.keep(trail.record);
    response
}

/// Checks key, service, route and customer.
fn admit(
    node: &Node,
    request: &Request<Bytes>,
    trail: &mut Trail,
    span: SpanId,
) -> Result<Admitted, Refusal> {
    if !node.life.is_configured() {
        return Err(Refusal::not_run(Reason::NotReady, "no configuration yet"));
    }
    let view = node.view();
    let (headers, uri) = (request.headers(), request.uri());
    let key = sanitize::key_of(headers)?;
    sanitize::check_leaks(uri, request.body(), &key)?;
    let unknown = || Refusal::not_run(Reason::BadKey, "the key is unknown or withdrawn");
    let customer = view.customer(&key).ok_or_else(unknown)?.clone();
    trail.record.customer = customer.to_string();
    let (name, path) = split_path(uri)?;
    let no_service = || Refusal::not_run(Reason::NoService, format!("no service {name}"));
    let service = view.services.get(&name).ok_or_else(no_service)?;
    trail.record.service = name.to_string();
    let document = service.document.clone();
    check_freshness(node, &document)?;
    let method = request.method().as_str().to_owned();
    let no_route = || Refusal::not_run(Reason::NoRoute, format!("no route for {method} {path}"));
    let route = document.route(&method, &path).ok_or_else(no_route)?.clone();
    trail.record.route = route.name.clone();
    check_customer(&document, &route, &customer)?;
    let once = once_key(headers, &route)?;
    let deadline = trail.start + patience(headers, &document)?;
    trail.note("admit", format!("{customer} on route {}", route.name));
    Ok(Admitted {
        id: trail.record.request.clone(),
        fingerprint: CrashTracker::fingerprint(&customer, &method, &path, request.body()),
        headers: sanitize::for_target(headers, &key),
        body: request.body().clone(),
        plan: service.plan.clone(),
        service: name,
        document,
        route,
        customer,
        method,
        path,
        deadline,
        once,
        span,
    })
}

/// Serves an admitted request.
async fn run(
    node: &Node,
    admitted: &Admitted,
    trail: &mut Trail,
) -> Result<Response<Bytes>, Refusal> {
    // Until the key is claimed, an earlier attempt with it may have run.
    let before_claim = |refusal: Refusal| match admitted.once {
        Some(_) => refusal.with_open_key(),
        None => refusal,
    };
    node.ingress.earn(&admitted.service, admitted.document.limits.retries);
    take_token(node, admitted, trail).await.map_err(before_claim)?;
    check_quarantine(node, admitted).map_err(before_claim)?;
    match &admitted.once {
        Some(key) => once::run(node, admitted, key, trail).await,
        None => attempt::run(node, admitted, trail).await,
    }
}

async fn take_token(node: &Node, admitted: &Admitted, trail: &mut Trail) -> Result<(), Refusal> {
    let start = Instant::now();
    let limit = Duration::from_millis(admitted.document.limits.token_ms);
    let patience = limit.min(admitted.left(start));
    match escrow::take(node, &admitted.account(), patience).await {
        escrow::Token::Taken => {
            trail.note("rate", format!("token after {} us", start.elapsed().as_micros()));
            Ok(())
        }
        escrow::Token::Refused(retry) => {
            let detail =
                format!("{} has used up its rate at {}", admitted.customer, admitted.service);
            Err(Refusal::not_run(Reason::OverRate, detail).retry(retry))
        }
    }
}

fn check_quarantine(node: &Node, admitted: &Admitted) -> Result<(), Refusal> {
    let now = Instant::now();
    let poison = node.poison.lock().expect("poison lock");
    let Some(quarantine) = poison.quarantine(now, &admitted.fingerprint) else { return Ok(()) };
    let detail = "this request has killed the targets that ran it";
    let retry = quarantine.until.saturating_duration_since(now);
    Err(Refusal::not_run(Reason::Quarantined, detail).retry(retry))
}

fn check_freshness(node: &Node, document: &Document) -> Result<(), Refusal> {
    let age = node.freshness.age(Instant::now());
    let stale = age > Duration::from_millis(document.keys.stale_ms);
    if document.keys.cut_off == CutOff::Refuse && stale {
        let detail = format!("no news of withdrawn keys for {} ms", age.as_millis());
        return Err(Refusal::not_run(Reason::CutOff, detail));
    }
    Ok(())
}

fn check_customer(
    document: &Document,
    route: &Route,
    customer: &CustomerId,
) -> Result<(), Refusal> {
    let known = document.customer(customer).is_some();
    if known && (route.open || route.customers.contains(customer)) {
        return Ok(());
    }
    let detail = format!("route {} is not for {customer}", route.name);
    Err(Refusal::not_run(Reason::NotAllowed, detail))
}

fn once_key(headers: &http::HeaderMap, route: &Route) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(ONCE_HEADER).iter();
    let (first, second) = (values.next(), values.next());
    if route.idempotent {
        return Ok(None);
    }
    let bad = |detail: &str| Refusal::not_run(Reason::NoOnceKey, detail);
    match (first, second) {
        (None, _) if route.once => Err(bad("the route needs an idempotency-key header")),
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(bad("more than one idempotency-key")),
        (Some(value), None) => {
            let text = value.to_str().map_err(|_| bad("idempotency-key is not text"))?;
            if text.is_empty() || text.len() > ONCE_BYTES_MAX {
                return Err(bad("idempotency-key needs 1 to 200 characters"));
            }
            Ok(Some(text.to_owned()))
        }
    }
}

fn patience(headers: &http::HeaderMap, document: &Document) -> Result<Duration, Refusal> {
    let most = Duration::from_millis(document.answer_ms);
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(most) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let bad = || Refusal::not_run(Reason::BadRequest, "x-shallot-deadline-ms is not a number");
    Ok(parsed.ok_or_else(bad)?.min(most))
}

/// Splits `/service/rest` into the service and `/rest` with its query. Paths that a target could
/// read as another path are refused: a route would not bind it.
fn split_path(uri: &http::Uri) -> Result<(ServiceId, String), Refusal> {
    let bad = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
    let path = uri.path();
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8_lossy().into_owned();
    let odd = |s: &str| s == "." || s == ".." || s.contains('\\') || s.contains('\0');
    if decoded.split('/').any(odd) || path.to_ascii_lowercase().contains("%2f") {
        return Err(bad("the path has dot segments, backslashes or encoded slashes"));
    }
    if path.contains("//") {
        return Err(bad("the path has empty segments"));
    }
    let rest = path.strip_prefix('/').ok_or_else(|| bad("the path must start with '/'"))?;
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((ServiceId::new(service), format!("/{rest}{query}")))
}
