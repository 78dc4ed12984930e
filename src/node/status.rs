//! The state of this VM as operators see it.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use http::{Response, StatusCode};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::net::text_response;

use super::Node;
use super::life::DaemonState;

/// The state of a VM.
#[apply(record!)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// Its life cycle state.
    pub state: String,
    /// Age of its knowledge of the store, in milliseconds.
    pub age_ms: u64,
    /// Parts of every rate that it owns, of 1048576.
    pub parts: u32,
    /// Slices of its zone that it owns, of 256.
    pub slices: usize,
    /// Versions of all objects.
    pub versions: BTreeMap<String, u64>,
    /// Objects that can't be used, with the cause.
    pub lapses: BTreeMap<String, String>,
    /// Peers, and whether they answer.
    pub peers: BTreeMap<String, bool>,
    /// Targets that it serves, with state and running requests.
    pub targets: BTreeMap<String, String>,
    /// Where the pool of each account is.
    pub homes: BTreeMap<String, String>,
}

/// Whether this VM takes new callers.
pub(crate) fn ready(node: &Node) -> Response<Bytes> {
    match node.life.state() {
        DaemonState::Ready => text_response(StatusCode::OK, "ready"),
        DaemonState::Starting => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration from the store or a peer yet",
        ),
        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    }
}

pub(super) fn metrics(node: &Node) -> String {
    let now = Instant::now();
    let metrics = &node.metrics;
    let late: u64 = node.mesh.peers().iter().map(|p| p.client.late_answers()).sum();
    metrics.late.set(late as i64);
    metrics.parts.set(node.escrow.with(|e| e.parts()).into());
    metrics.slices.set(node.fleet.slices().len() as i64);
    metrics.age_ms.set(node.freshness.age(now).as_millis() as i64);
    metrics.open_claims.set(node.desk.pending() as i64);
    metrics.text()
}

pub(super) fn status(node: &Node) -> Status {
    let now = Instant::now();
    let view = node.view();
    let peers = node.mesh.peers();
    let targets = node.egress.targets().into_iter().map(|(service, known, state, busy)| {
        (format!("{service}/{}", known.id), format!("{state}, {busy} of {} busy", known.slots))
    });
    let homes = node.escrow.with(|e| {
        let accounts: Vec<_> = e.accounts().cloned().collect();
        let name = |a: &crate::model::Account| format!("{}/{}", a.service, a.customer);
        accounts.iter().filter_map(|a| Some((name(a), e.home(a)?.to_string()))).collect()
    });
    Status {
        vm: node.me.vm.to_string(),
        zone: node.me.place.zone.to_string(),
        state: format!("{:?}", node.life.state()).to_lowercase(),
        age_ms: node.freshness.age(now).as_millis() as u64,
        parts: node.escrow.with(|e| e.parts()),
        slices: node.fleet.slices().len(),
        versions: node
            .with_catalog(|c| c.objects().map(|o| (o.id.to_string(), o.version)).collect()),
        lapses: view.invalid.iter().map(|l| (l.object.clone(), l.cause.clone())).collect(),
        peers: peers.iter().map(|p| (p.known.vm.to_string(), p.is_live(now))).collect(),
        targets: targets.collect(),
        homes,
    }
}

pub(super) fn services(node: &Node) -> BTreeMap<String, u64> {
    node.view().services.iter().map(|(n, s)| (n.to_string(), s.version)).collect()
}
