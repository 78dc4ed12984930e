//! The sessions with all other entry VMs, and the liveness and load that their heartbeats report.
//! Routing takes its candidates from here.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::escrow;
use crate::model::{Incarnation, Place, RegionId, ServiceId, VmId};
use crate::peer::{Body, Dialer, Heartbeat, Identity, PeerClient, Secret, ServiceLoad};
use crate::route::Candidate;
use crate::targets::ClosedTargets;

/// Interval of the heartbeats to each peer.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat or a response to one after which a peer counts as unresponsive: three
/// heartbeat intervals and a margin.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Heartbeats in a row without a response after which the session is reopened.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A peer known from the roster or the settings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerInfo {
    pub(crate) vm: VmId,
    pub(crate) place: Place,
    pub(crate) addr: SocketAddr,
    /// The incarnation on the roster; 0 for a peer known from the settings only.
    pub(crate) incarnation: Incarnation,
}

/// What the last heartbeats of a peer have shown.
#[derive(Debug, Default)]
struct HeartbeatState {
    last_heartbeat: Option<Instant>,
    /// Heartbeats sent in a row without a response.
    missed: u32,
    leaving: bool,
    loads: Vec<ServiceLoad>,
}

/// A peer and its session.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) info: PeerInfo,
    pub(crate) client: PeerClient,
    state: Mutex<HeartbeatState>,
    /// Requests forwarded to the peer that have no response yet, by service.
    in_flight: Mutex<BTreeMap<String, u32>>,
}

impl Peer {
    /// True if the peer has sent a heartbeat or responded to one within the liveness timeout, and its
    /// port does not refuse connections.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        if self.client.refusals() > 0 {
            return false;
        }
        let state = self.state.lock().expect("heartbeat state lock");
        state.last_heartbeat.is_some_and(|at| now < at + LIVENESS_TIMEOUT)
    }

    /// True if the peer has been told to stop and takes no new callers.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state.lock().expect("heartbeat state lock").leaving
    }

    /// Records a heartbeat of the peer or its response to one; both have the same content.
    pub(crate) fn on_heartbeat(&self, now: Instant, heartbeat: &Heartbeat) {
        let mut state = self.state.lock().expect("heartbeat state lock");
        state.last_heartbeat = Some(now);
        state.missed = 0;
        state.leaving = heartbeat.leaving;
        state.loads = heartbeat.loads.clone();
    }

    /// Records that a heartbeat had no response. After several, the session is reopened: a device
    /// between the two ends may have dropped the connection's state.
    pub(crate) fn on_missed_heartbeat(&self) {
        let mut state = self.state.lock().expect("heartbeat state lock");
        state.missed += 1;
        if state.missed >= MAX_MISSED_HEARTBEATS {
            state.missed = 0;
            self.client.reset();
        }
    }

    /// Counts a forwarded request until the guard is dropped.
    pub(crate) fn count_forward(self: &Arc<Self>, service: &str) -> ForwardGuard {
        *self.in_flight.lock().expect("in-flight lock").entry(service.to_owned()).or_default() += 1;
        ForwardGuard { peer: self.clone(), service: service.to_owned() }
    }

    /// The peer as a candidate for a request of `service`. The requests forwarded from here are
    /// known at once, and may be more than the last heartbeat reports.
    fn candidate(&self, service: &ServiceId) -> Option<Candidate> {
        let state = self.state.lock().expect("heartbeat state lock");
        let load = state.loads.iter().find(|l| l.service == service.as_str())?;
        let forwarded =
            self.in_flight.lock().expect("in-flight lock").get(&load.service).copied().unwrap_or(0);
        Some(Candidate {
            vm: self.info.vm.clone(),
            place: self.info.place.clone(),
            slots: load.slots,
            busy: load.busy.max(forwarded),
            queued: load.queued,
        })
    }
}

impl HeartbeatState {
    /// The targets of a service that take no requests by their own word.
    fn closed_targets(&self, now: Instant, service: &ServiceId) -> ClosedTargets {
        let load = self.loads.iter().find(|l| l.service == service.as_str());
        let Some((load, received)) = load.zip(self.last_heartbeat) else {
            return ClosedTargets::default();
        };
        let age = now.saturating_duration_since(received);
        let left = Duration::from_millis(load.pause_left_ms).saturating_sub(age);
        let pause_left = (load.paused > 0).then_some(left);
        ClosedTargets { leaving: load.leaving, paused: load.paused, pause_left }
    }
}

/// Counts one forwarded request while it exists.
pub(crate) struct ForwardGuard {
    peer: Arc<Peer>,
    service: String,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut in_flight = self.peer.in_flight.lock().expect("in-flight lock");
        if let Some(count) = in_flight.get_mut(&self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

/// The peers of this VM and the sessions with them.
#[derive(Debug)]
pub(crate) struct Mesh {
    dialer: Dialer,
    peers: RwLock<BTreeMap<VmId, Arc<Peer>>>,
}

impl Mesh {
    pub(crate) fn new(me: Identity, secret: Secret, bind: Option<IpAddr>) -> Self {
        Self { dialer: Dialer { me, secret, bind }, peers: RwLock::default() }
    }

    /// Sets the peers. A peer with a new address or incarnation gets a new session.
    pub(crate) fn sync(&self, infos: &[PeerInfo]) {
        let mut peers = self.peers.write().expect("peers lock");
        let others = || infos.iter().filter(|i| i.vm != self.dialer.me.vm);
        peers.retain(|vm, peer| others().any(|i| &i.vm == vm && *i == peer.info));
        for info in others() {
            peers.entry(info.vm.clone()).or_insert_with(|| {
                let dialer = self.dialer.clone();
                let client = PeerClient::start(info.vm.clone(), info.addr, dialer);
                let info = info.clone();
                Arc::new(Peer {
                    info,
                    client,
                    state: Mutex::default(),
                    in_flight: Mutex::default(),
                })
            });
        }
    }

    pub(crate) fn peers(&self) -> Vec<Arc<Peer>> {
        self.peers.read().expect("peers lock").values().cloned().collect()
    }

    pub(crate) fn peer(&self, vm: &VmId) -> Option<Arc<Peer>> {
        self.peers.read().expect("peers lock").get(vm).cloned()
    }

    /// Sends a message that has no response to all peers; it may be lost.
    pub(crate) fn broadcast(&self, body: &Body) {
        for peer in self.peers() {
            peer.client.notify(body.clone());
        }
    }

    /// Sends a message that has no response to one peer; it may be lost.
    pub(crate) fn notify(&self, to: &VmId, body: Body) {
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

    /// The targets of a service at live peers that take no requests by their own word. Those in
    /// `skipped` regions are left out.
    pub(crate) fn closed_targets(
        &self,
        now: Instant,
        service: &ServiceId,
        skipped: &[RegionId],
    ) -> ClosedTargets {
        self.peers()
            .iter()
            .filter(|p| p.is_live(now) && !skipped.contains(&p.info.place.region))
            .map(|p| p.state.lock().expect("heartbeat state lock").closed_targets(now, service))
            .fold(ClosedTargets::default(), ClosedTargets::merge)
    }

    /// This VM and its peers as the rate accounting sees them; `leaving` is true if this VM may no
    /// longer hold pools.
    pub(crate) fn members(&self, now: Instant, leaving: bool) -> Vec<escrow::PeerStatus> {
        let me = &self.dialer.me;
        let (vm, zone) = (me.vm.clone(), me.place.zone.clone());
        let own = escrow::PeerStatus { vm, zone, live: !leaving };
        let others = self.peers().into_iter().map(|p| escrow::PeerStatus {
            vm: p.info.vm.clone(),
            zone: p.info.place.zone.clone(),
            live: p.is_live(now) && !p.is_leaving(),
        });
        std::iter::once(own).chain(others).collect()
    }
}
