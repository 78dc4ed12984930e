//! The ingress side: answers callers. Checks a request's key, service, route and customer, takes a
//! token of the customer's rate, and passes the request on to its attempts; then records the
//! outcome in metrics, spans and the request's record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Request, Response};

use crate::clock;
use crate::model::{Account, CustomerId, CutOff, Document, RegionId, Route, ServiceId};
use crate::net::{Respond, header_text};
use crate::plan::ShiftPlan;
use crate::route::RetryBudget;
use crate::spread::ConfigView;
use crate::targets::CrashTracker;

use super::freshness::RETRY_AFTER;
use super::records::RecordBuilder;
use super::refusal::{Reason, Refusal, RunStatus};
use super::trace::{SpanContext, SpanEnd};
use super::{Node, attempt, escrow, lookup, once, sanitize};

/// Path of look-ups.
const LOOKUP_PATH: &str = "/.shallot/lookup";
/// Path at which callers see whether this VM takes requests.
const READY_PATH: &str = "/.shallot/ready";
/// Header with the time for which a caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-shallot-deadline-ms";
/// Header with a caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;
/// Proof in records that a request has not run: no byte of it has been sent to a target.
const NEVER_SENT: &str = "never-sent";

/// The retry budgets of all services and the number of requests in progress.
#[derive(Default)]
pub(crate) struct Ingress {
    budgets: Mutex<BTreeMap<ServiceId, RetryBudget>>,
    active: AtomicU64,
}

impl Ingress {
    /// Number of requests that have no response yet.
    pub(crate) fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    /// Adds a request's fraction of a retry to the service's retry budget.
    fn deposit_retries(&self, service: &ServiceId, retries: f64) {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        budgets.entry(service.clone()).or_default().deposit(retries);
    }

    /// Takes one retry from the service's budget, if there is one.
    pub(crate) fn try_take_retry(&self, service: &ServiceId) -> bool {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        budgets.entry(service.clone()).or_default().try_withdraw()
    }
}

/// Counts a request as active while it exists.
struct ActiveGuard(Arc<Node>);

impl ActiveGuard {
    fn new(node: &Arc<Node>) -> Self {
        node.ingress.active.fetch_add(1, Ordering::Relaxed);
        Self(node.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.ingress.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that has passed all checks of its headers and path.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) id: String,
    pub(crate) service: ServiceId,
    pub(crate) document: Arc<Document>,
    pub(crate) plan: ShiftPlan,
    pub(crate) route: Route,
    pub(crate) customer: CustomerId,
    pub(crate) method: String,
    /// Path and query after the service's name.
    pub(crate) path: String,
    pub(crate) headers: Vec<crate::peer::HeaderField>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// The caller's idempotency key; never set on an idempotent route.
    pub(crate) once: Option<String>,
    /// Identifies equal requests of a customer, for the quarantine and for idempotency keys.
    pub(crate) fingerprint: String,
    pub(crate) span: SpanContext,
}

impl Admitted {
    pub(crate) fn account(&self) -> Account {
        Account::new(self.service.clone(), self.customer.clone())
    }

    /// The region to which a planned shift sends this request, if any. `sample` is a random number
    /// from 0 to 1.
    pub(crate) fn shift_region(&self, from: &RegionId, sample: f64) -> Option<&RegionId> {
        self.plan.region(from, sample)
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Answers callers.
pub(crate) struct CallerHandler(pub(crate) Arc<Node>);

#[async_trait]
impl Respond for CallerHandler {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let node = &self.0;
        match request.uri().path() {
            LOOKUP_PATH => lookup::respond(node, &request),
            READY_PATH => super::status::ready(node),
            _ => {
                log::debug!("ingress: {from} requests {}.", request.uri().path());
                serve(node, &request).await
            }
        }
    }
}

async fn serve(node: &Arc<Node>, request: &Request<Bytes>) -> Response<Bytes> {
    let id = node.records.next_id(node.me.vm.as_str(), node.me.incarnation);
    let mut builder = RecordBuilder::new(id.clone());
    let active = ActiveGuard::new(node);
    let parent = header_text(request.headers(), "traceparent").and_then(SpanContext::parse);
    let span = parent.as_ref().map_or_else(SpanContext::root, SpanContext::child);
    let outcome = match admit_known(node, request, &mut builder, span.clone()) {
        Ok(admitted) if admitted.once.is_some() => {
            // A request with an idempotency key runs to its end even if its caller disconnects, so
            // that its claim is settled.
            let node = node.clone();
            let task = tokio::spawn(async move {
                let _active = active;
                let outcome = run(&node, &admitted, &mut builder).await;
                (outcome, builder)
            });
            match task.await {
                Ok((outcome, finished)) => {
                    builder = finished;
                    outcome
                }
                Err(e) => {
                    builder = RecordBuilder::new(id.clone());
                    Err(Refusal::unknown(Reason::TargetFailed, e.to_string()))
                }
            }
        }
        Ok(admitted) => run(node, &admitted, &mut builder).await,
        Err(refusal) => Err(refusal),
    };
    finish(node, outcome, builder, &span, parent)
}

fn finish(
    node: &Node,
    outcome: Result<Response<Bytes>, Refusal>,
    mut builder: RecordBuilder,
    span: &SpanContext,
    parent: Option<SpanContext>,
) -> Response<Bytes> {
    let (mut response, text) = match outcome {
        Ok(response) => (response, super::metrics::ANSWERED.to_owned()),
        Err(refusal) => {
            builder.add_step("refuse", refusal.detail.clone());
            if refusal.attempt == RunStatus::NotRun {
                let proof = builder.shed_proof.take();
                builder.add_step("not-run", proof.unwrap_or_else(|| NEVER_SENT.to_owned()));
            }
            (refusal.response(), refusal.reason.as_str())
        }
    };
    let id = builder.record.request.clone();
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", value);
    }
    let labels = super::metrics::RequestLabels {
        service: builder.record.service.clone(),
        customer: builder.record.customer.clone(),
        outcome: text.clone(),
    };
    node.metrics.requests.get_or_create(&labels).inc();
    let labels = super::metrics::ServiceLabels { service: builder.record.service.clone() };
    node.metrics.latency.get_or_create(&labels).observe(builder.start.elapsed().as_secs_f64());
    let end = SpanEnd { start: builder.start, request: &id, peer: "caller", outcome: &text };
    node.tracer.finish(span, &parent.map_or_else(String::new, |p| p.span), "ingress", end);
    builder.record.outcome = text;
    node.records.keep(builder.record);
    response
}

/// Checks a request by the configuration in force, and refuses none for good if that may be out of date.
fn admit_known(
    node: &Node,
    request: &Request<Bytes>,
    builder: &mut RecordBuilder,
    span: SpanContext,
) -> Result<Admitted, Refusal> {
    let known = node.known_view();
    admit(node, &known.view, request, builder, span).map_err(|refusal| {
        let settled = node.freshness.settle(known.complete_at, clock::now(), refusal);
        match settled.reason == Reason::ConfigOld
            && request.headers().contains_key(IDEMPOTENCY_HEADER)
        {
            true => settled.with_unknown_run(),
            false => settled,
        }
    })
}

/// Checks key, service, route, customer and headers.
fn admit(
    node: &Node,
    view: &ConfigView,
    request: &Request<Bytes>,
    builder: &mut RecordBuilder,
    span: SpanContext,
) -> Result<Admitted, Refusal> {
    if !node.lifecycle.is_configured() {
        let refusal = Refusal::not_run(Reason::NotReady, "this VM has no configuration yet");
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let (headers, uri) = (request.headers(), request.uri());
    let key = sanitize::api_key(headers)?;
    sanitize::reject_leaked_key(uri, request.body(), &key)?;
    let unknown_key = || Refusal::not_run(Reason::BadKey, "the key is unknown or withdrawn");
    let customer = view.customer(&key).ok_or_else(unknown_key)?.clone();
    builder.record.customer = customer.to_string();
    let (name, path) = sanitize::split_path(uri)?;
    let no_service =
        || Refusal::not_run(Reason::NoService, format!("service {name} does not exist"));
    let service = view.services.get(&name).ok_or_else(no_service)?;
    builder.record.service = name.to_string();
    let document = service.document.clone();
    check_freshness(node, &document)?;
    let method = request.method().as_str().to_owned();
    let no_route =
        || Refusal::not_run(Reason::NoRoute, format!("{name} has no route for {method} {path}"));
    let route = document.route(&method, &path).ok_or_else(no_route)?.clone();
    builder.record.route = route.name.clone();
    check_customer(&document, &route, &customer)?;
    let once = idempotency_key(headers, &route)?;
    let deadline = builder.start + time_limit(headers, &document)?;
    builder.add_step("admit", format!("{customer} on route {}", route.name));
    Ok(Admitted {
        id: builder.record.request.clone(),
        fingerprint: CrashTracker::fingerprint(&customer, &method, &path, request.body()),
        headers: sanitize::target_headers(headers, &key),
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

/// Checks whether there is time for the request, takes a token, checks the quarantine, and sends it.
async fn run(
    node: &Node,
    admitted: &Admitted,
    builder: &mut RecordBuilder,
) -> Result<Response<Bytes>, Refusal> {
    // Until the idempotency key is claimed, it is not known whether an earlier request with it ran.
    let before_claim = |refusal: Refusal| match admitted.once {
        Some(_) => refusal.with_unknown_run(),
        None => refusal,
    };
    check_stop(node, admitted).map_err(before_claim)?;
    node.ingress.deposit_retries(&admitted.service, admitted.document.limits.retries);
    take_token(node, admitted, builder).await.map_err(before_claim)?;
    check_quarantine(node, admitted).map_err(before_claim)?;
    match &admitted.once {
        Some(key) => once::run(node, admitted, key, builder).await,
        None => attempt::run(node, admitted, builder).await,
    }
}

/// Refuses a request that a stopping daemon may not finish.
fn check_stop(node: &Node, admitted: &Admitted) -> Result<(), Refusal> {
    match node.lifecycle.accepts(admitted.left(Instant::now())) {
        true => Ok(()),
        false => Err(stopping()),
    }
}

/// The refusal of a request that was sent to no target, since this VM is stopping.
fn stopping() -> Refusal {
    Refusal::not_run(Reason::Stopping, "this VM is stopping")
}

async fn take_token(
    node: &Node,
    admitted: &Admitted,
    builder: &mut RecordBuilder,
) -> Result<(), Refusal> {
    let start = Instant::now();
    let limit = Duration::from_millis(admitted.document.limits.token_ms);
    let timeout = limit.min(admitted.left(start));
    let account = admitted.account();
    let outcome = tokio::select! {
        biased;
        outcome = escrow::take_token(node, &account, timeout) => outcome,
        () = node.lifecycle.requests_end() => return Err(stopping()),
    };
    match outcome {
        escrow::TokenOutcome::Taken => {
            builder.add_step("rate", format!("token after {} us", start.elapsed().as_micros()));
            Ok(())
        }
        escrow::TokenOutcome::Refused(retry) => {
            let detail =
                format!("{} has used up its rate at {}", admitted.customer, admitted.service);
            Err(Refusal::not_run(Reason::OverRate, detail).with_retry_after(retry))
        }
    }
}

fn check_quarantine(node: &Node, admitted: &Admitted) -> Result<(), Refusal> {
    let now = Instant::now();
    let crashes = node.crashes.lock().expect("crashes lock");
    let Some(quarantine) = crashes.quarantine(now, &admitted.fingerprint) else { return Ok(()) };
    let detail = "targets crashed while they ran this request";
    let retry = quarantine.until.saturating_duration_since(now);
    Err(Refusal::not_run(Reason::Quarantined, detail).with_retry_after(retry))
}

fn check_freshness(node: &Node, document: &Document) -> Result<(), Refusal> {
    let age = node.freshness.age(clock::now());
    let stale = age > Duration::from_millis(document.keys.stale_ms);
    if document.keys.cut_off == CutOff::Refuse && stale {
        let detail = format!("the list of withdrawn keys is {} ms old", age.as_millis());
        return Err(Refusal::not_run(Reason::CutOff, detail));
    }
    Ok(())
}

fn check_customer(
    document: &Document,
    route: &Route,
    customer: &CustomerId,
) -> Result<(), Refusal> {
    let listed = document.customer(customer).is_some();
    if listed && (route.open || route.customers.contains(customer)) {
        return Ok(());
    }
    let detail = format!("route {} is not open to {customer}", route.name);
    Err(Refusal::not_run(Reason::NotAllowed, detail))
}

fn idempotency_key(headers: &http::HeaderMap, route: &Route) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER).iter();
    let (first, second) = (values.next(), values.next());
    if route.idempotent {
        return Ok(None);
    }
    let bad = |detail: &str| Refusal::not_run(Reason::NoOnceKey, detail);
    match (first, second) {
        (None, _) if route.once => Err(bad("the route requires an idempotency-key header")),
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(bad("more than one idempotency-key header")),
        (Some(value), None) => {
            let text = value.to_str().map_err(|_| bad("idempotency-key is not visible ASCII"))?;
            if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
                return Err(bad("idempotency-key must have 1 to 200 characters"));
            }
            Ok(Some(text.to_owned()))
        }
    }
}

fn time_limit(headers: &http::HeaderMap, document: &Document) -> Result<Duration, Refusal> {
    let limit = Duration::from_millis(document.answer_ms);
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(limit) };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let bad = || Refusal::not_run(Reason::BadRequest, "x-shallot-deadline-ms is not a number");
    Ok(parsed.ok_or_else(bad)?.min(limit))
}
