//! The daemon's metrics, and their text in the Prometheus format for the operators' port.

use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The outcome of what was not refused.
pub(crate) const ANSWERED: &str = "answered";

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) service: String,
    pub(crate) customer: String,
    /// [`ANSWERED`], or the reason of a refusal.
    pub(crate) outcome: String,
}

/// Labels of a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LookupLabels {
    /// [`ANSWERED`], or the reason of a refusal.
    pub(crate) outcome: String,
}

/// Labels of a metric that is counted by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// Labels of a notice of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving` or `pause`.
    pub(crate) kind: &'static str,
}

/// Labels of a response that proves nothing about its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UnprovedLabels {
    pub(crate) cause: &'static str,
}

/// All metrics. Counters change where the event happens, gauges when the metrics are read.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) lookups: Family<LookupLabels, Counter>,
    pub(crate) latency: Family<ServiceLabels, Histogram>,
    pub(crate) retries: Family<ServiceLabels, Counter>,
    pub(crate) notices: Family<NoticeLabels, Counter>,
    pub(crate) unproved: Family<UnprovedLabels, Counter>,
    pub(crate) transfers: Counter,
    pub(crate) forwards: Counter,
    pub(crate) deaths: Counter,
    pub(crate) late_answers: Gauge,
    pub(crate) live_peers: Gauge,
    pub(crate) parts: Gauge,
    pub(crate) slices: Gauge,
    pub(crate) age_ms: Gauge,
    pub(crate) open_claims: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("shallotstall");
        // From 0.5 ms to 16 s.
        let histogram = || Histogram::new(exponential_buckets(0.0005, 2.0, 16));
        let metrics = Self {
            requests: Family::default(),
            lookups: Family::default(),
            latency: Family::new_with_constructor(histogram as fn() -> Histogram),
            retries: Family::default(),
            notices: Family::default(),
            unproved: Family::default(),
            transfers: Counter::default(),
            forwards: Counter::default(),
            deaths: Counter::default(),
            late_answers: Gauge::default(),
            live_peers: Gauge::default(),
            parts: Gauge::default(),
            slices: Gauge::default(),
            age_ms: Gauge::default(),
            open_claims: Gauge::default(),
            registry: Mutex::new(Registry::default()),
        };
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register("lookups", "Look-ups by outcome", metrics.lookups.clone());
        registry.register("latency_seconds", "Time to answer", metrics.latency.clone());
        registry.register("retries", "Requests sent again", metrics.retries.clone());
        registry.register(
            "target_notices",
            "Targets that began to leave or to pause by their own word",
            metrics.notices.clone(),
        );
        registry.register(
            "unproved",
            "Responses of targets that prove nothing about their requests, by cause",
            metrics.unproved.clone(),
        );
        registry.register("transfers", "Messages of rate transfers", metrics.transfers.clone());
        registry.register("forwards", "Requests sent to other VMs", metrics.forwards.clone());
        registry.register("deaths", "Targets that died in flight", metrics.deaths.clone());
        registry.register(
            "late_answers",
            "Answers to calls given up",
            metrics.late_answers.clone(),
        );
        registry.register("live_peers", "Peers that answer", metrics.live_peers.clone());
        registry.register("parts", "Parts of every rate owned", metrics.parts.clone());
        registry.register("slices", "Slices of the zone owned", metrics.slices.clone());
        registry.register("config_age_ms", "Age of the configuration", metrics.age_ms.clone());
        registry.register("open_claims", "Claims being written", metrics.open_claims.clone());
        *metrics.registry.lock().expect("registry lock") = registry;
        metrics
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut out = String::new();
        let registry = self.registry.lock().expect("registry lock");
        match encode(&mut out, &registry) {
            Ok(()) => out,
            Err(e) => format!("# {e}\n"),
        }
    }
}
