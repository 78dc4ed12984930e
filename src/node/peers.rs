//! Messages between this VM and its peers: answers the peers' calls, sends heartbeats, and
//! exchanges configuration objects. Also converts objects to and from their wire form.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::clock;
use crate::model::{Object, ObjectId, ObjectKind};
use crate::peer::{
    Body, Empty, ExplainResponse, Heartbeat, Identity, Objects, PeerHandler, TargetCrash,
    VersionList, WireObject, WireVersion,
};
use crate::spread::ObjectVersion;

use super::mesh::{HEARTBEAT_INTERVAL, Peer};
use super::{Node, escrow, forwarded};

/// Longest wait for the response to a heartbeat. Shorter than [`HEARTBEAT_INTERVAL`], so that at most
/// one heartbeat to a peer is outstanding.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(480);
/// Connections in a row that a peer's port refuses before its process counts as ended, so that it
/// can spend no more tokens.
const REFUSALS_UNTIL_DEAD: u32 = 2;
/// Longest wait for the objects of a peer.
const OBJECTS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answers the calls and messages of peers.
pub(crate) struct PeerRequestHandler(pub(crate) Arc<Node>);

#[async_trait]
impl PeerHandler for PeerRequestHandler {
    async fn call(&self, from: &Identity, body: Body) -> Body {
        let node = &self.0;
        match body {
            Body::Heartbeat(heartbeat) => {
                escrow::update_homes(node, &heartbeat.homes);
                Body::Heartbeat(own_heartbeat(node, Instant::now()))
            }
            Body::Versions(list) => {
                let theirs = list.versions();
                let objects = node.with_catalog(|c| c.newer_than(&theirs));
                Body::Objects(Objects::from_objects(&objects))
            }
            Body::Objects(objects) => {
                node.offer(Instant::now(), objects.to_objects());
                Body::Empty(Empty {})
            }
            Body::Forward(forward) => {
                log::debug!("egress: Request {} was forwarded by {}.", forward.request, from.vm);
                Body::Answer(forwarded::run(node, forward).await)
            }
            Body::ExplainRequest(explain) => {
                let record = node.records.find(&explain.request);
                let record = record.and_then(|r| serde_json::to_string(&r).ok());
                Body::ExplainResponse(ExplainResponse { record: record.unwrap_or_default() })
            }
            _ => Body::Empty(Empty {}),
        }
    }

    fn notify(&self, from: &Identity, body: Body) {
        let node = &self.0;
        match body {
            Body::Escrow(note) => escrow::receive(node, &from.vm, note),
            Body::Objects(objects) => node.offer(Instant::now(), objects.to_objects()),
            Body::TargetCrash(crash) => record_crash(node, &crash),
            Body::Heartbeat(heartbeat) => {
                escrow::update_homes(node, &heartbeat.homes);
                if let Some(peer) = node.mesh.peer(&from.vm) {
                    peer.on_heartbeat(Instant::now(), &heartbeat);
                }
            }
            _ => {}
        }
    }

    fn session_opened(&self, from: &Identity) {
        log::debug!("peer: {} (incarnation {}) has opened a session.", from.vm, from.incarnation);
    }
}

/// Records that a target crashed while it ran a request.
pub(crate) fn record_crash(node: &Node, crash: &TargetCrash) {
    let now = Instant::now();
    let mut crashes = node.crashes.lock().expect("crashes lock");
    crashes.record_crash(now, &crash.as_report());
}

/// Sends heartbeats to all peers until the daemon ends.
pub(crate) async fn run_heartbeats(node: Arc<Node>) {
    loop {
        let now = Instant::now();
        let heartbeat = own_heartbeat(&node, now);
        let peers = node.mesh.peers();
        let live = peers.iter().filter(|p| p.is_live(now)).count();
        for peer in peers {
            let (node, heartbeat) = (node.clone(), heartbeat.clone());
            tokio::spawn(async move { send_heartbeat(&node, &peer, heartbeat).await });
        }
        node.metrics.live_peers.set(live as i64);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a heartbeat to all peers now, without waiting for the next interval.
pub(crate) fn broadcast_heartbeat(node: &Node) {
    let heartbeat = own_heartbeat(node, Instant::now());
    node.mesh.broadcast(&Body::Heartbeat(heartbeat));
}

async fn send_heartbeat(node: &Node, peer: &Peer, heartbeat: Heartbeat) {
    if peer.client.refusals() >= REFUSALS_UNTIL_DEAD {
        escrow::member_died(node, &peer.info.vm, peer.info.incarnation);
    }
    let sent = clock::now();
    let body = Body::Heartbeat(heartbeat);
    let Ok(Body::Heartbeat(heartbeat)) = peer.client.call(body, HEARTBEAT_TIMEOUT).await else {
        peer.on_missed_heartbeat();
        return;
    };
    peer.on_heartbeat(Instant::now(), &heartbeat);
    escrow::update_homes(node, &heartbeat.homes);
    let identical = heartbeat.digest == node.with_catalog(|c| c.digest());
    if identical || pull_objects(node, peer).await {
        // This VM now has every object that the peer has, so the age that the peer reported is
        // this VM's, too.
        let complete_at = heartbeat.age().and_then(|age| sent.checked_sub(age));
        if let Some(at) = complete_at {
            node.freshness.confirm(at);
        }
    }
}

/// Fetches the objects of which the peer has newer versions. Returns true on success.
async fn pull_objects(node: &Node, peer: &Peer) -> bool {
    let versions = node.with_catalog(|c| c.versions());
    let body = Body::Versions(VersionList::from_versions(&versions));
    match peer.client.call(body, OBJECTS_TIMEOUT).await {
        Ok(Body::Objects(objects)) => {
            let objects = objects.to_objects();
            if !objects.is_empty() {
                node.offer(Instant::now(), objects);
                node.lifecycle.apply(super::lifecycle::DaemonEvent::Configured);
            }
            true
        }
        _ => false,
    }
}

/// Sends objects to all peers. Returns for each VM whether it confirmed them within `timeout`.
pub(crate) async fn confirm(
    node: &Node,
    objects: &[Object],
    timeout: Duration,
) -> BTreeMap<String, bool> {
    let body = Body::Objects(Objects::from_objects(objects));
    let calls = node.mesh.peers().into_iter().map(|peer| {
        let body = body.clone();
        async move {
            let confirmed = peer.client.call(body, timeout).await.is_ok();
            (peer.info.vm.to_string(), confirmed)
        }
    });
    let mut confirmed: BTreeMap<String, bool> =
        futures_util::future::join_all(calls).await.into_iter().collect();
    confirmed.insert(node.me.vm.to_string(), true);
    confirmed
}

fn own_heartbeat(node: &Node, now: Instant) -> Heartbeat {
    // Before the digest: the catalog has at least what was complete then.
    let age = node.freshness.complete_at().map(|at| clock::now().saturating_sub(at));
    Heartbeat {
        digest: node.with_catalog(|c| c.digest()),
        age_ms: Heartbeat::age_ms_of(age),
        leaving: !node.lifecycle.names_vm(),
        loads: node.egress.loads(now),
        homes: node.escrow.with(|e| e.homes()),
    }
}

impl Objects {
    pub(crate) fn from_objects(objects: &[Object]) -> Self {
        let wire = |o: &Object| WireObject {
            kind: o.id.kind.as_str().to_owned(),
            name: o.id.name.clone(),
            version: o.version,
            deleted: o.deleted,
            body: o.body.clone(),
        };
        Self { objects: objects.iter().map(wire).collect() }
    }

    /// The objects in the message; those of unknown kinds are left out.
    pub(crate) fn to_objects(&self) -> Vec<Object> {
        let object = |w: &WireObject| {
            Some(Object {
                id: ObjectId::new(ObjectKind::parse(&w.kind)?, &w.name),
                version: w.version,
                operations: Vec::new(),
                deleted: w.deleted,
                body: w.body.clone(),
            })
        };
        self.objects.iter().filter_map(object).collect()
    }
}

impl VersionList {
    pub(crate) fn from_versions(versions: &[ObjectVersion]) -> Self {
        let wire = |v: &ObjectVersion| WireVersion {
            kind: v.id.kind.as_str().to_owned(),
            name: v.id.name.clone(),
            version: v.version,
        };
        Self { versions: versions.iter().map(wire).collect() }
    }

    pub(crate) fn versions(&self) -> Vec<ObjectVersion> {
        let version = |w: &WireVersion| {
            let id = ObjectId::new(ObjectKind::parse(&w.kind)?, &w.name);
            Some(ObjectVersion { id, version: w.version })
        };
        self.versions.iter().filter_map(version).collect()
    }
}
