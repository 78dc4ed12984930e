//! The status page, readiness and metrics of this VM, for the operators' port.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use http::{Response, StatusCode};
use macro_rules_attribute::apply;

use crate::clock;
use crate::common::record;
use crate::model::ServiceId;
use crate::net::text_response;
use crate::targets::{NoticeInForce, OwnedTarget, TargetState};

use super::Node;
use super::lifecycle::DaemonState;

/// The status page of an entry VM.
#[apply(record!)]
pub struct Status {
    /// The entry VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// The daemon's life cycle state.
    pub state: String,
    /// Time since its copy of the store's configuration was last complete, in milliseconds.
    pub age_ms: u64,
    /// Its share of every rate, in units of 1/1048576.
    pub parts: u32,
    /// Slices (hash ranges of its zone's targets) that it owns, of 256.
    pub slices: usize,
    /// Version of each object that it has.
    pub versions: BTreeMap<String, u64>,
    /// Objects whose newest version is invalid, with the cause.
    pub lapses: BTreeMap<String, String>,
    /// Peers, and whether they respond.
    pub peers: BTreeMap<String, bool>,
    /// Targets that it owns, with their states and running requests.
    pub targets: BTreeMap<String, String>,
    /// The pool home of each account.
    pub homes: BTreeMap<String, String>,
}

/// A target as its dispatcher knows it.
pub(crate) struct TargetStatus {
    pub(crate) service: ServiceId,
    pub(crate) target: OwnedTarget,
    pub(crate) state: TargetState,
    /// Requests of this VM that run there.
    pub(crate) busy: u32,
    /// What it says of itself, if that is in force.
    pub(crate) notice: Option<NoticeInForce>,
}

/// Answers whether this VM takes new callers.
pub(crate) fn ready(node: &Node) -> Response<Bytes> {
    match node.lifecycle.state() {
        DaemonState::Ready if node.lifecycle.names_vm() => text_response(StatusCode::OK, "ready"),
        DaemonState::Starting => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration from the store or a peer yet",
        ),
        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    }
}

/// The metrics as text, with all gauges updated.
pub(super) fn metrics(node: &Node) -> String {
    let metrics = &node.metrics;
    let late_answers: u64 = node.mesh.peers().iter().map(|p| p.client.late_answers()).sum();
    metrics.late_answers.set(late_answers as i64);
    metrics.parts.set(node.escrow.with(|e| e.parts()).into());
    metrics.slices.set(node.ownership.slices().len() as i64);
    metrics.age_ms.set(node.freshness.age(clock::now()).as_millis() as i64);
    metrics.open_claims.set(node.claims.pending() as i64);
    metrics.text()
}

pub(super) fn status(node: &Node) -> Status {
    let now = Instant::now();
    let view = node.view();
    let peers = node.mesh.peers();
    let targets = node.egress.targets(now).into_iter().map(|t| {
        let notice = t.notice.map(|n| format!("; {n}")).unwrap_or_default();
        let text = format!("{:?}, {} of {} busy{notice}", t.state, t.busy, t.target.slots);
        (format!("{}/{}", t.service, t.target.id), text)
    });
    let homes = node.escrow.with(|e| {
        let accounts: Vec<_> = e.accounts().cloned().collect();
        let name = |a: &crate::model::Account| format!("{}/{}", a.service, a.customer);
        accounts.iter().filter_map(|a| Some((name(a), e.home(a)?.to_string()))).collect()
    });
    Status {
        vm: node.me.vm.to_string(),
        zone: node.me.place.zone.to_string(),
        state: format!("{:?}", node.lifecycle.state()).to_lowercase(),
        age_ms: node.freshness.age(clock::now()).as_millis() as u64,
        parts: node.escrow.with(|e| e.parts()),
        slices: node.ownership.slices().len(),
        versions: node
            .with_catalog(|c| c.objects().map(|o| (o.id.to_string(), o.version)).collect()),
        lapses: view.invalid.iter().map(|l| (l.object.clone(), l.cause.clone())).collect(),
        peers: peers.iter().map(|p| (p.info.vm.to_string(), p.is_live(now))).collect(),
        targets: targets.collect(),
        homes,
    }
}

/// The versions of all services' documents.
pub(super) fn services(node: &Node) -> BTreeMap<String, u64> {
    node.view().services.iter().map(|(n, s)| (n.to_string(), s.version)).collect()
}
