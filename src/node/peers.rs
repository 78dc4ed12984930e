//! What this VM says to its peers and answers them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::model::{Object, ObjectId, ObjectKind};
use crate::peer::{
    Body, Empty, ExplainResponse, Heartbeat, Identity, Objects, PeerHandler, TargetCrash,
    VersionList, WireObject, WireVersion,
};
use crate::spread::ObjectVersion;

use super::mesh::{HEARTBEAT_EVERY, Peer};
use super::{Node, egress, escrow};

/// Longest wait for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(480);
/// Refusals of a peer's port in a row after which it can spend no token any more.
const DEAD_REFUSALS: u32 = 2;
/// Longest wait for objects.
const OBJECTS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answers peers.
pub(crate) struct Answering(pub(crate) Arc<Node>);

#[async_trait]
impl PeerHandler for Answering {
    async fn call(&self, from: &Identity, body: Body) -> Body {
        let node = &self.0;
        match body {
            Body::Heartbeat(beat) => {
                escrow::hear(node, &beat.homes);
                Body::Heartbeat(own_beat(node, Instant::now()))
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
                log::debug!("egress: {} comes from {}.", forward.request, from.vm);
                Body::Answer(egress::run(node, forward).await)
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
            Body::TargetCrash(death) => learn_death(node, &death),
            Body::Heartbeat(beat) => {
                escrow::hear(node, &beat.homes);
                if let Some(peer) = node.mesh.peer(&from.vm) {
                    peer.hear(Instant::now(), &beat);
                }
            }
            _ => {}
        }
    }

    fn session_opened(&self, from: &Identity) {
        log::debug!("peer: {} of life {} has called.", from.vm, from.incarnation);
    }
}

/// Learns that a target died while it ran a request.
pub(crate) fn learn_death(node: &Node, death: &TargetCrash) {
    let now = Instant::now();
    let mut poison = node.poison.lock().expect("poison lock");
    poison.record_crash(now, &death.fingerprint, &death.event);
}

/// Sends heartbeats until the daemon ends.
pub(crate) async fn beat(node: Arc<Node>) {
    loop {
        let now = Instant::now();
        let beat = own_beat(&node, now);
        let peers = node.mesh.peers();
        let live = peers.iter().filter(|p| p.is_live(now)).count();
        for peer in peers {
            let (node, beat) = (node.clone(), beat.clone());
            tokio::spawn(async move { beat_one(&node, &peer, beat).await });
        }
        node.metrics.live_peers.set(live as i64);
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

/// Sends the state to all peers at once, without waiting for the next heartbeat.
pub(crate) fn beat_soon(node: &Node) {
    let beat = own_beat(node, Instant::now());
    node.mesh.broadcast(&Body::Heartbeat(beat));
}

async fn beat_one(node: &Node, peer: &Peer, beat: Heartbeat) {
    if peer.client.refusals() >= DEAD_REFUSALS {
        escrow::member_died(node, &peer.known.vm, peer.known.incarnation);
    }
    let sent = Instant::now();
    let body = Body::Heartbeat(beat);
    let Ok(Body::Heartbeat(beat)) = peer.client.call(body, BEAT_TIMEOUT).await else {
        peer.miss();
        return;
    };
    peer.hear(Instant::now(), &beat);
    escrow::hear(node, &beat.homes);
    let same = beat.digest == node.with_catalog(|c| c.digest());
    if same || pull(node, peer).await {
        // The peer's knowledge had this age when it answered, and now it is ours, too.
        let age = Duration::from_millis(beat.age_ms);
        if let Some(at) = sent.checked_sub(age) {
            node.freshness.confirm(at);
        }
    }
}

/// Fetches what the peer has and this VM lacks; true if that worked.
async fn pull(node: &Node, peer: &Peer) -> bool {
    let versions = node.with_catalog(|c| c.versions());
    let body = Body::Versions(VersionList::from_versions(&versions));
    match peer.client.call(body, OBJECTS_TIMEOUT).await {
        Ok(Body::Objects(objects)) => {
            let objects = objects.to_objects();
            if !objects.is_empty() {
                node.offer(Instant::now(), objects);
                node.life.apply(super::life::DaemonEvent::Configured);
            }
            true
        }
        _ => false,
    }
}

/// Sends objects to all peers and returns which VMs took them within `timeout`, by zone.
pub(crate) async fn confirm(
    node: &Node,
    objects: &[Object],
    timeout: Duration,
) -> BTreeMap<String, bool> {
    let body = Body::Objects(Objects::from_objects(objects));
    let calls = node.mesh.peers().into_iter().map(|peer| {
        let body = body.clone();
        async move {
            let taken = peer.client.call(body, timeout).await.is_ok();
            (peer.known.vm.to_string(), taken)
        }
    });
    let mut taken: BTreeMap<String, bool> =
        futures_util::future::join_all(calls).await.into_iter().collect();
    taken.insert(node.me.vm.to_string(), true);
    taken
}

fn own_beat(node: &Node, now: Instant) -> Heartbeat {
    Heartbeat {
        digest: node.with_catalog(|c| c.digest()),
        age_ms: node.freshness.age(now).as_millis() as u64,
        leaving: node.life.is_leaving(),
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

    /// The objects of known kinds.
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
