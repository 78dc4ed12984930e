//! The sessions with all other entry VMs, and what their heartbeats say.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::escrow as sums;
use crate::model::{Incarnation, Place, ServiceId, VmId};
use crate::peer::{Body, Dialer, Heartbeat, Identity, PeerClient, Secret, ServiceLoad};
use crate::route::Candidate;

/// Time between heartbeats.
pub(crate) const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
/// Time without a heartbeat's answer after which a peer counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);
/// Heartbeats without an answer after which the session is opened anew.
const MISSED_MAX: u32 = 3;

/// A peer known from the roster or the settings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Known {
    pub(crate) vm: VmId,
    pub(crate) place: Place,
    pub(crate) addr: SocketAddr,
    /// The life on the roster; 0 for a peer known from the settings only.
    pub(crate) incarnation: Incarnation,
}

/// What was heard of a peer.
#[derive(Debug, Default)]
struct Heard {
    at: Option<Instant>,
    missed: u32,
    leaving: bool,
    loads: Vec<ServiceLoad>,
}

/// A peer and its session.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) known: Known,
    pub(crate) client: PeerClient,
    heard: Mutex<Heard>,
    /// Requests forwarded and not yet answered, by service.
    sent: Mutex<BTreeMap<String, u32>>,
}

impl Peer {
    /// True if the peer has answered lately and its port is not refusing.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        if self.client.refusals() > 0 {
            return false;
        }
        let heard = self.heard.lock().expect("heard lock");
        heard.at.is_some_and(|at| now < at + SILENT_AFTER)
    }

    /// True if the peer takes no new callers.
    pub(crate) fn is_leaving(&self) -> bool {
        self.heard.lock().expect("heard lock").leaving
    }

    /// Learns the answer to a heartbeat.
    pub(crate) fn hear(&self, now: Instant, beat: &Heartbeat) {
        let mut heard = self.heard.lock().expect("heard lock");
        heard.at = Some(now);
        heard.missed = 0;
        heard.leaving = beat.leaving;
        heard.loads = beat.loads.clone();
    }

    /// Learns that a heartbeat had no answer. A session that stays silent is opened anew, since
    /// something between the two ends may have lost track of it.
    pub(crate) fn miss(&self) {
        let mut heard = self.heard.lock().expect("heard lock");
        heard.missed += 1;
        if heard.missed >= MISSED_MAX {
            heard.missed = 0;
            self.client.reset();
        }
    }

    /// Counts a forwarded request until the guard is dropped.
    pub(crate) fn count(self: &Arc<Self>, service: &str) -> Sent {
        *self.sent.lock().expect("sent lock").entry(service.to_owned()).or_default() += 1;
        Sent { peer: self.clone(), service: service.to_owned() }
    }

    fn candidate(&self, service: &ServiceId) -> Option<Candidate> {
        let heard = self.heard.lock().expect("heard lock");
        let load = heard.loads.iter().find(|l| l.service == service.as_str())?;
        let own = self.sent.lock().expect("sent lock").get(&load.service).copied().unwrap_or(0);
        Some(Candidate {
            vm: self.known.vm.clone(),
            place: self.known.place.clone(),
            slots: load.slots,
            busy: load.busy.max(own),
            queued: load.queued,
        })
    }
}

/// Counts one forwarded request.
pub(crate) struct Sent {
    peer: Arc<Peer>,
    service: String,
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut sent = self.peer.sent.lock().expect("sent lock");
        if let Some(count) = sent.get_mut(&self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

/// All peers.
#[derive(Debug)]
pub(crate) struct Mesh {
    dialer: Dialer,
    peers: RwLock<BTreeMap<VmId, Arc<Peer>>>,
}

impl Mesh {
    pub(crate) fn new(me: Identity, secret: Secret, bind: Option<IpAddr>) -> Self {
        Self { dialer: Dialer { me, secret, bind }, peers: RwLock::default() }
    }

    /// Sets the peers. A peer with a new address or life gets a new session.
    pub(crate) fn sync(&self, known: &[Known]) {
        let mut peers = self.peers.write().expect("peers lock");
        let others = || known.iter().filter(|k| k.vm != self.dialer.me.vm);
        peers.retain(|vm, peer| others().any(|k| &k.vm == vm && *k == peer.known));
        for known in others() {
            peers.entry(known.vm.clone()).or_insert_with(|| {
                let dialer = self.dialer.clone();
                let client = PeerClient::start(known.vm.clone(), known.addr, dialer);
                let known = known.clone();
                Arc::new(Peer { known, client, heard: Mutex::default(), sent: Mutex::default() })
            });
        }
    }

    /// All peers.
    pub(crate) fn peers(&self) -> Vec<Arc<Peer>> {
        self.peers.read().expect("peers lock").values().cloned().collect()
    }

    /// The peer `vm`.
    pub(crate) fn peer(&self, vm: &VmId) -> Option<Arc<Peer>> {
        self.peers.read().expect("peers lock").get(vm).cloned()
    }

    /// Sends a message to all peers; it may be lost.
    pub(crate) fn broadcast(&self, body: &Body) {
        for peer in self.peers() {
            peer.client.notify(body.clone());
        }
    }

    /// Sends a message to one peer; it may be lost.
    pub(crate) fn note(&self, to: &VmId, body: Body) {
        if let Some(peer) = self.peer(to) {
            peer.client.notify(body);
        }
    }

    /// The live peers that own targets of `service`.
    pub(crate) fn candidates(&self, now: Instant, service: &ServiceId) -> Vec<Candidate> {
        self.peers()
            .iter()
            .filter(|p| p.is_live(now))
            .filter_map(|p| p.candidate(service))
            .collect()
    }

    /// The members for the escrow; `leaving` is true if this VM holds no pools any more.
    pub(crate) fn members(&self, now: Instant, leaving: bool) -> Vec<sums::PeerStatus> {
        let me = &self.dialer.me;
        let (vm, zone) = (me.vm.clone(), me.place.zone.clone());
        let own = sums::PeerStatus { vm, zone, live: !leaving };
        let others = self.peers().into_iter().map(|p| sums::PeerStatus {
            vm: p.known.vm.clone(),
            zone: p.known.place.zone.clone(),
            live: p.is_live(now) && !p.is_leaving(),
        });
        std::iter::once(own).chain(others).collect()
    }
}
