//! Answers look-ups of callers: the entry VMs to use for a service, and for how long.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use macro_rules_attribute::apply;

use crate::clock;
use crate::common::record;
use crate::lookup::{LookupVm, nearest_vms};
use crate::model::{Place, ServiceId, VmId, VmState};
use crate::net::json_response;
use crate::spread::ConfigView;

use super::metrics::{ANSWERED, LookupLabels};
use super::refusal::{Reason, Refusal};
use super::{Node, sanitize};

/// An entry VM named by a look-up.
#[apply(record!)]
pub(crate) struct LookupEntry {
    pub(crate) vm: VmId,
    #[serde(flatten)]
    pub(crate) place: Place,
    pub(crate) addr: SocketAddr,
}

/// The answer to a look-up.
#[apply(record!)]
pub(crate) struct LookupAnswer {
    pub(crate) service: ServiceId,
    /// Time for which the answer may be kept, in milliseconds.
    pub(crate) ttl_ms: u64,
    /// The entry VMs, best first.
    pub(crate) entries: Vec<LookupEntry>,
}

/// Answers a look-up with JSON, or refuses it.
pub(crate) fn respond(node: &Node, request: &Request<Bytes>) -> Response<Bytes> {
    let known = node.known_view();
    let (outcome, response) = match look_up(node, &known.view, request) {
        Ok(answer) => (ANSWERED.to_owned(), json_response(StatusCode::OK, &answer)),
        Err(refusal) => {
            let refusal = node.freshness.settle(known.complete_at, clock::now(), refusal);
            (refusal.reason.as_str(), refusal.response())
        }
    };
    node.metrics.lookups.get_or_create(&LookupLabels { outcome }).inc();
    response
}

fn look_up(
    node: &Node,
    view: &ConfigView,
    request: &Request<Bytes>,
) -> Result<LookupAnswer, Refusal> {
    let key = sanitize::api_key(request.headers())?;
    let unknown_key = || Refusal::not_run(Reason::BadKey, "the key is unknown or withdrawn");
    let customer = view.customer(&key).ok_or_else(unknown_key)?;
    let query = request.uri().query().unwrap_or_default();
    let service = url::form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "service")
        .map(|(_, value)| ServiceId::new(value))
        .ok_or_else(|| {
            Refusal::not_run(Reason::BadRequest, "the query needs a service: ?service=NAME")
        })?;
    if !view.services.contains_key(&service) {
        return Err(Refusal::not_run(
            Reason::NoService,
            format!("service {service} does not exist"),
        ));
    }
    let entries = entry_vms(node, view, Instant::now());
    let ranking_key = format!("{service}/{customer}");
    let entries = nearest_vms(&entries, &node.me.place, &ranking_key)
        .into_iter()
        .map(|e| LookupEntry { vm: e.vm.clone(), place: e.place.clone(), addr: e.addr })
        .collect();
    let ttl_ms = node.config.lookup_ttl().as_millis() as u64;
    Ok(LookupAnswer { service, ttl_ms, entries })
}

/// The entry VMs that take new callers: neither drained, leaving nor unresponsive to this VM.
fn entry_vms(node: &Node, view: &ConfigView, now: Instant) -> Vec<LookupVm> {
    let leaving =
        |vm: &VmId| view.vms.entries.iter().any(|e| &e.vm == vm && e.state == VmState::Leaving);
    view.roster
        .members
        .iter()
        .filter(|m| !view.drains.covers_vm(&m.vm, &m.place) && !leaving(&m.vm))
        .filter(|m| match node.mesh.peer(&m.vm) {
            Some(peer) => peer.is_live(now) && !peer.is_leaving(),
            None => m.vm == node.me.vm && node.lifecycle.names_vm(),
        })
        .map(|m| LookupVm { vm: m.vm.clone(), place: m.place.clone(), addr: m.callers })
        .collect()
}
