//! Metrics of what the front decides by its routing table: how old the table was, and which requests
//! were rejected for good. Also of what never became a request, and of responses that prove nothing.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::net::UnparsedCause;
use crate::steer::RejectionReason;

use super::Front;
use super::config::FleetBounds;
use super::response_head::HeadFault;

/// Upper bounds of the buckets of the routing table's age, in seconds.
const TABLE_AGE_BUCKETS: [f64; 14] =
    [0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.5, 10.0, 15.0, 30.0, 60.0];

/// The reasons of rejections after which a caller doesn't ask again.
const FINAL_REASONS: [&str; 6] =
    ["no-route", "no-key", "long-body", "long-head", "no-host", "bad-body"];

/// Labels of the counter of final rejections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RejectionLabels {
    reason: &'static str,
    /// True if the routing table was older than a configuration may take to be in force.
    old: bool,
}

/// Labels of the counter of overturned rejections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverturnedLabels {
    reason: &'static str,
}

/// Labels of the counter of heads that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnparsedLabels {
    cause: &'static str,
}

/// Labels of the counter of responses that prove nothing about their requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnprovedLabels {
    cause: &'static str,
}

/// Metrics of the decisions about requests.
pub(crate) struct DecisionMetrics {
    table_age: Histogram,
    final_rejections: Family<RejectionLabels, Counter>,
    overturned: Family<OverturnedLabels, Counter>,
    unparsed: Family<UnparsedLabels, Counter>,
    unproved: Family<UnprovedLabels, Counter>,
}

impl DecisionMetrics {
    /// The metrics, registered in `registry`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let table_age = Histogram::new(TABLE_AGE_BUCKETS);
        let final_rejections = Family::default();
        let overturned = Family::default();
        let unparsed = Family::default();
        let unproved = Family::default();
        let help = "Age of the routing table when a request was decided by it";
        registry.register("decision_table_age_seconds", help, table_age.clone());
        let help = "Final rejections by reason, and whether the routing table was too old for them";
        registry.register("final_rejections", help, final_rejections.clone());
        let help = "Final rejections of requests that a newer routing table allows, by reason";
        registry.register("rejections_overturned", help, overturned.clone());
        let help = "Connections that ended with a head that could not be parsed, by cause";
        registry.register("requests_unparsed", help, unparsed.clone());
        let help = "Responses of targets that prove nothing about their requests, by cause";
        registry.register("responses_unproved", help, unproved.clone());
        Self { table_age, final_rejections, overturned, unparsed, unproved }
    }

    /// Records that a request is decided by a routing table of this age.
    pub(crate) fn record_table_age(&self, age: Duration) {
        self.table_age.observe(age.as_secs_f64());
    }

    /// Records a rejection that a newer routing table has proved wrong.
    pub(crate) fn record_overturned(&self, reason: RejectionReason) {
        let labels = OverturnedLabels { reason: reason.as_str() };
        self.overturned.get_or_create(&labels).inc();
    }

    /// Records a head that could not be parsed.
    pub(crate) fn record_unparsed(&self, cause: UnparsedCause) {
        self.unparsed.get_or_create(&UnparsedLabels { cause: cause.as_str() }).inc();
    }

    /// Records a response that proves nothing about its request.
    pub(crate) fn record_unproved(&self, fault: HeadFault) {
        self.unproved.get_or_create(&UnprovedLabels { cause: fault.as_str() }).inc();
    }

    fn record_rejection(&self, labels: RejectionLabels) {
        self.final_rejections.get_or_create(&labels).inc();
    }
}

impl Front {
    /// Counts a request that ended for `reason`, if that is a final rejection, with a routing table of
    /// this age.
    pub(crate) fn count_rejection(&self, reason: &str, table_age: Duration) {
        if let Some(reason) = FINAL_REASONS.into_iter().find(|r| *r == reason) {
            let old = table_age > apply_limit(&self.config.bounds);
            self.metrics.decisions.record_rejection(RejectionLabels { reason, old });
        }
    }
}

/// Longest time that a configuration may take to be in force.
fn apply_limit(bounds: &FleetBounds) -> Duration {
    bounds.config_apply.0
}
