//! The front's metrics, served in Prometheus text format.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::clock;
use crate::net::{AheadBudget, ByteBudget, HoldKind, Respond, bytes_response, text_response};
use crate::steer::{Pick, RankClass, TargetNotice};

use super::Front;
use super::decision_metrics::DecisionMetrics;
use super::in_flight::RequestStep;
use super::request::RequestLog;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0];

/// Upper bounds of the buckets of the age of knowledge, in seconds; syncs are 0.25 s apart.
const AGE_BUCKETS: [f64; 8] = [0.05, 0.125, 0.25, 0.5, 0.75, 1.0, 2.0, 5.0];

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) status: u16,
    pub(crate) reason: String,
}

/// Most routes, and most customers, with a counter of their own; the others share one.
const LABEL_NAMES_MAX: usize = 64;
/// The `name` label of the shared counter.
const OTHERS_LABEL: &str = "others";

/// Labels of the counters by route or by customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NamedLabels {
    name: String,
    outcome: &'static str,
}

/// Labels of the counter of attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    zone: String,
    outcome: &'static str,
}

/// Labels of the counter of targets' notices.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    kind: &'static str,
}

/// Labels of the counter of requests whose callers left.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AbortLabels {
    step: &'static str,
}

/// Labels of the gauge of bytes held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HoldLabels {
    kind: &'static str,
}

/// Labels of the counters of tokens and retries. Class 0 ranks highest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    class: u32,
    outcome: &'static str,
}

/// Labels of the counter of choices.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChoiceLabels {
    /// Place of the target in the key's order; 0 for a cold one.
    order: u8,
}

/// Counters by name, for a limited number of names.
#[derive(Default)]
struct NamedCounters {
    counters: Family<NamedLabels, Counter>,
    names: Mutex<HashSet<String>>,
}

impl NamedCounters {
    fn count(&self, name: &str, outcome: &'static str) {
        let mut names = self.names.lock().expect("names lock");
        let own = names.contains(name)
            || (names.len() < LABEL_NAMES_MAX && names.insert(name.to_owned()));
        let name = if own { name } else { OTHERS_LABEL }.to_owned();
        self.counters.get_or_create(&NamedLabels { name, outcome }).inc();
    }
}

/// The front's metrics.
pub(crate) struct FrontMetrics {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    routes: NamedCounters,
    customers: NamedCounters,
    attempts: Family<AttemptLabels, Counter>,
    latency: Histogram,
    notices: Family<NoticeLabels, Counter>,
    aborted: Family<AbortLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) probes: Counter,
    pub(crate) version: Gauge,
    age: Gauge,
    targets: Gauge,
    usable: Gauge,
    limited: Gauge,
    members: Gauge,
    in_flight: Gauge,
    unsent: Gauge,
    lag: Gauge,
    ahead_started: Counter,
    ahead_held: Counter,
    budget: ByteBudget,
    held_bytes: Family<HoldLabels, Gauge>,
    tokens: Family<RankLabels, Counter>,
    rank_retries: Family<RankLabels, Counter>,
    knowledge_age: Histogram,
    choices: Family<ChoiceLabels, Counter>,
    idle_slots: Counter<f64, AtomicU64>,
    pub(crate) decisions: DecisionMetrics,
}

impl FrontMetrics {
    /// The metrics, with the counters of `ahead`.
    pub(crate) fn new(ahead: &AheadBudget) -> Self {
        let mut registry = Registry::with_prefix("shallotstall");
        let metrics = Self {
            requests: Family::default(),
            routes: NamedCounters::default(),
            customers: NamedCounters::default(),
            attempts: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            notices: Family::default(),
            aborted: Family::default(),
            in_flight: Gauge::default(),
            unsent: Gauge::default(),
            lag: Gauge::default(),
            retries: Counter::default(),
            probes: Counter::default(),
            version: Gauge::default(),
            age: Gauge::default(),
            targets: Gauge::default(),
            usable: Gauge::default(),
            limited: Gauge::default(),
            members: Gauge::default(),
            tokens: Family::default(),
            rank_retries: Family::default(),
            registry: Mutex::default(),
            ahead_started: ahead.started.clone(),
            ahead_held: ahead.held.clone(),
            budget: ahead.bytes.clone(),
            held_bytes: Family::default(),
            knowledge_age: Histogram::new(AGE_BUCKETS),
            choices: Family::default(),
            idle_slots: Counter::default(),
            decisions: DecisionMetrics::new(&mut registry),
        };
        registry.register("requests", "Requests by how they ended", metrics.requests.clone());
        let counters = metrics.routes.counters.clone();
        registry.register("route_requests", "Requests of each route by outcome", counters);
        let counters = metrics.customers.counters.clone();
        registry.register("customer_requests", "Requests of each customer by outcome", counters);
        let help = "Attempts at targets, by the target's zone and outcome";
        registry.register("attempts", help, metrics.attempts.clone());
        registry.register(
            "request_seconds",
            "Time from a request's head to its answer's",
            metrics.latency.clone(),
        );
        let help =
            "What targets said of themselves: that they leave, want a pause, or name a limit";
        registry.register("target_notices", help, metrics.notices.clone());
        let help = "Requests whose callers left before a response, by how far they had come";
        registry.register("requests_aborted", help, metrics.aborted.clone());
        let help = "Requests read and not yet answered in full";
        registry.register("requests_in_flight", help, metrics.in_flight.clone());
        let help = "Requests whose responses are ready and have not been written in full";
        registry.register("responses_unsent", help, metrics.unsent.clone());
        let help = "How late timers fire, at most in the last seconds, in milliseconds";
        registry.register("timer_lag_ms", help, metrics.lag.clone());
        registry.register("retries", "Requests sent once more", metrics.retries.clone());
        registry.register("probes", "Health checks of targets", metrics.probes.clone());
        registry.register("table_version", "Configuration in force", metrics.version.clone());
        registry.register("table_age_ms", "Age of the configuration", metrics.age.clone());
        registry.register("targets", "Targets known", metrics.targets.clone());
        registry.register("targets_usable", "Targets that take requests", metrics.usable.clone());
        registry.register("targets_limited", "Targets that name a limit", metrics.limited.clone());
        registry.register("members", "Entry VMs known", metrics.members.clone());
        let help = "Pipelined requests started before their turn";
        registry.register("ahead_started", help, metrics.ahead_started.clone());
        let help = "Pipelined requests that a bound kept from starting before their turn";
        registry.register("ahead_held", help, metrics.ahead_held.clone());
        let help = "Bytes held for what is sent ahead, for requests and for responses";
        registry.register("held_bytes", help, metrics.held_bytes.clone());
        let help =
            "Requests refused and responses not buffered, since there was no room to hold them";
        registry.register("held_refused", help, metrics.budget.refused());
        let help = "Tokens taken and refused, by class of rank; 0 is the highest";
        registry.register("tokens", help, metrics.tokens.clone());
        let help = "Retries made and refused, by class of rank; 0 is the highest";
        registry.register("rank_retries", help, metrics.rank_retries.clone());
        let help = "Age of what was known of a target's load when it was chosen";
        registry.register("knowledge_age_seconds", help, metrics.knowledge_age.clone());
        let help =
            "Attempts by the target's place in the affinity key's order; 0 for a cold target";
        registry.register("target_choices", help, metrics.choices.clone());
        let help = "Estimated slot time idle beside a queue of the same service and region";
        registry.register("idle_slot_seconds", help, metrics.idle_slots.clone());
        Self { registry: Mutex::new(registry), ..metrics }
    }

    /// Records a finished request.
    pub(crate) fn record_request(&self, labels: RequestLabels, log: &RequestLog, took: Duration) {
        let outcome_class = match labels.status {
            200..400 => "served",
            408 | 421 | 429 | 503 => "refused",
            _ => "failed",
        };
        self.routes.count(&log.route, outcome_class);
        self.customers.count(&log.customer, outcome_class);
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Records a finished attempt at a target in `zone`.
    pub(crate) fn record_attempt(&self, zone: &str, outcome: &'static str) {
        self.attempts.get_or_create(&AttemptLabels { zone: zone.to_owned(), outcome }).inc();
    }

    /// Records that a request took a token, or was refused one.
    pub(crate) fn record_token(&self, class: RankClass, taken: bool) {
        let outcome = if taken { "taken" } else { "refused" };
        self.tokens.get_or_create(&RankLabels { class: class.number(), outcome }).inc();
    }

    /// Records that a retry was made, or refused by the budget.
    pub(crate) fn record_retry(&self, class: RankClass, allowed: bool) {
        let outcome = if allowed { "made" } else { "refused" };
        self.rank_retries.get_or_create(&RankLabels { class: class.number(), outcome }).inc();
        if allowed {
            self.retries.inc();
        }
    }

    /// Records the choice of a target for an attempt.
    pub(crate) fn record_choice(&self, pick: &Pick) {
        self.choices.get_or_create(&ChoiceLabels { order: pick.order }).inc();
        if let Some(age) = pick.age {
            self.knowledge_age.observe(age.as_secs_f64());
        }
    }

    /// Records slot time that was estimated to be idle beside a queue, in seconds.
    pub(crate) fn record_idle(&self, seconds: f64) {
        self.idle_slots.inc_by(seconds);
    }

    /// Records what a target said of itself.
    pub(crate) fn record_notice(&self, notice: TargetNotice) {
        let kinds = [("leaving", notice.leaving), ("pause", notice.pause.is_some())];
        for (kind, _) in kinds.into_iter().filter(|(_, said)| *said) {
            self.notices.get_or_create(&NoticeLabels { kind }).inc();
        }
    }

    /// Records that a target named a new limit, or that its limit ended.
    pub(crate) fn record_limit(&self, named: bool) {
        let kind = if named { "limit" } else { "limit-end" };
        self.notices.get_or_create(&NoticeLabels { kind }).inc();
    }

    /// Records a request whose caller left before a response.
    pub(crate) fn record_aborted(&self, step: RequestStep) {
        self.aborted.get_or_create(&AbortLabels { step: step.as_str() }).inc();
    }

    fn text(&self, front: &Front) -> String {
        let now = clock::now();
        self.in_flight.set(front.in_flight.len() as i64);
        self.unsent.set(front.in_flight.unsent() as i64);
        self.lag.set(front.lag.max(now).as_millis() as i64);
        for kind in HoldKind::ALL {
            let labels = HoldLabels { kind: kind.as_str() };
            self.held_bytes.get_or_create(&labels).set(self.budget.held(kind) as i64);
        }
        // -1 until the first routing table.
        let age = front.state.table_age(now).map_or(-1, |a| a.as_millis() as i64);
        self.age.set(age);
        {
            let state = front.state.lock();
            let (known, usable) = state.balancer.counts(now);
            self.targets.set(known as i64);
            self.usable.set(usable as i64);
            self.limited.set(state.balancer.limited_count() as i64);
            self.members.set(state.fleet.len() as i64);
        }
        let mut text = String::new();
        if encode(&mut text, &self.registry.lock().expect("registry lock")).is_err() {
            log::warn!("metrics: encoding the metrics failed.");
        }
        text
    }
}

/// Serves the metrics at `/metrics`.
pub(crate) struct MetricsHandler(pub(crate) Arc<Front>);

#[async_trait]
impl Respond for MetricsHandler {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        if request.uri().path() != "/metrics" {
            return text_response(StatusCode::NOT_FOUND, "metrics are at /metrics");
        }
        let text = self.0.metrics.text(&self.0);
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text.into())
    }
}
