//! Look-ups: which entry VMs a caller should use.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::lookup::{EntryVm, named};
use crate::model::{Place, ServiceId, VmId, VmState};
use crate::net::json_response;
use crate::spread::View;

use super::refusal::{Reason, Refusal};
use super::{Node, sanitize};

/// An entry VM in the answer, best first.
#[apply(record!)]
pub(crate) struct Named {
    pub(crate) vm: VmId,
    #[serde(flatten)]
    pub(crate) place: Place,
    pub(crate) addr: SocketAddr,
}

/// The answer to a look-up.
#[apply(record!)]
pub(crate) struct Answer {
    pub(crate) service: ServiceId,
    /// Time for which the answer may be kept, in milliseconds.
    pub(crate) ttl_ms: u64,
    pub(crate) entries: Vec<Named>,
}

/// Answers a look-up.
pub(crate) fn respond(node: &Node, request: &Request<Bytes>) -> Response<Bytes> {
    match answer(node, request) {
        Ok(answer) => json_response(StatusCode::OK, &answer),
        Err(refusal) => refusal.response(),
    }
}

fn answer(node: &Node, request: &Request<Bytes>) -> Result<Answer, Refusal> {
    let view = node.view();
    let key = sanitize::key_of(request.headers())?;
    let unknown = || Refusal::not_run(Reason::BadKey, "the key is unknown or withdrawn");
    let customer = view.customer(&key).ok_or_else(unknown)?;
    let query = request.uri().query().unwrap_or_default();
    let service = url::form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "service")
        .map(|(_, value)| ServiceId::new(value))
        .ok_or_else(|| Refusal::not_run(Reason::BadRequest, "name a service: ?service=NAME"))?;
    if !view.services.contains_key(&service) {
        return Err(Refusal::not_run(Reason::NoService, format!("no service {service}")));
    }
    let entries = entry_vms(node, &view, Instant::now());
    let spread = format!("{service}/{customer}");
    let entries = named(&entries, &node.me.place, &spread)
        .into_iter()
        .map(|e| Named { vm: e.vm.clone(), place: e.place.clone(), addr: e.addr })
        .collect();
    let ttl_ms = node.config.lookup_ttl().as_millis() as u64;
    Ok(Answer { service, ttl_ms, entries })
}

/// The entry VMs that take new callers, as far as this one knows.
fn entry_vms(node: &Node, view: &View, now: Instant) -> Vec<EntryVm> {
    let leaving =
        |vm: &VmId| view.vms.entries.iter().any(|e| &e.vm == vm && e.state == VmState::Leaving);
    view.roster
        .members
        .iter()
        .filter(|m| !view.drains.covers_vm(&m.vm, &m.place) && !leaving(&m.vm))
        .filter(|m| match node.mesh.peer(&m.vm) {
            Some(peer) => peer.is_live(now) && !peer.is_leaving(),
            None => m.vm == node.me.vm && !node.life.is_leaving(),
        })
        .map(|m| EntryVm { vm: m.vm.clone(), place: m.place.clone(), addr: m.callers })
        .collect()
}
