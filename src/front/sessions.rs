//! Sessions with other entry VMs: sends requests to them and handles theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::clock;
use crate::model::VmId;
use crate::peer::{
    Body, Dialer, DrawRequest, DrawResponse, Empty, FeedUpdate, Identity, PeerClient, PeerError,
    PeerHandler, SyncRequest, SyncResponse, TargetCrash, WireLiveness, WireTokenGrant,
};
use crate::steer::{Feed, Liveness, TokenGrant, TokenRequest};

use super::{Front, rates};

/// Time after which an unused session is closed.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Clients of other entry VMs, created on first use.
pub(crate) struct Sessions {
    dialer: Dialer,
    sessions: Mutex<HashMap<SocketAddr, Session>>,
}

struct Session {
    client: Arc<PeerClient>,
    last_used: Duration,
}

impl Sessions {
    pub(crate) fn new(dialer: Dialer) -> Self {
        Self { dialer, sessions: Mutex::default() }
    }

    /// Sends a request, which may arrive twice, to the VM at `addr`; an empty `vm` accepts whichever
    /// VM listens there. Resets a session without a response, since a middlebox may have dropped its
    /// connection.
    pub(crate) async fn call(
        &self,
        vm: &VmId,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let client = self.client(vm, addr);
        let response = client.call_idempotent(body, timeout).await;
        if response.as_ref().is_err_and(|e| e.maybe_sent) {
            client.reset();
        }
        response
    }

    fn client(&self, vm: &VmId, addr: SocketAddr) -> Arc<PeerClient> {
        let now = clock::now();
        let mut sessions = self.sessions.lock().expect("sessions lock");
        sessions.retain(|_, s| now.saturating_sub(s.last_used) < SESSION_IDLE_TIMEOUT);
        let session = sessions.entry(addr).or_insert_with(|| Session {
            client: Arc::new(PeerClient::start(vm.clone(), addr, self.dialer.clone())),
            last_used: now,
        });
        session.last_used = now;
        session.client.clone()
    }
}

/// Handles requests of other entry VMs.
pub(crate) struct PeerRequestHandler(pub(crate) Arc<Front>);

#[async_trait]
impl PeerHandler for PeerRequestHandler {
    async fn call(&self, from: &Identity, body: Body) -> Body {
        match body {
            Body::SyncRequest(sync) => Body::SyncResponse(self.0.handle_sync(from, sync)),
            Body::DrawRequest(draw) if draw.zone => {
                Body::DrawResponse(self.0.handle_zone_draw(&draw).await)
            }
            Body::DrawRequest(draw) => Body::DrawResponse(self.0.handle_pool_draw(from, &draw)),
            _ => Body::Empty(Empty {}),
        }
    }

    fn notify(&self, _: &Identity, _: Body) {}

    fn session_opened(&self, _: &Identity) {}
}

impl Front {
    fn handle_sync(&self, from: &Identity, mut sync: SyncRequest) -> SyncResponse {
        let now = clock::now();
        let observations = std::mem::take(&mut sync.observations);
        let observations = self.exchange_observations(from, sync.serving, observations);
        let mut state = self.state.lock();
        if let Ok(callers) = sync.callers.parse() {
            let (vm, zone) = (from.vm.clone(), from.place.zone.clone());
            let liveness =
                Liveness { vm, zone, callers, serving: sync.serving, age: Duration::ZERO };
            state.fleet.merge_liveness(now, [liveness]);
        }
        let mut live: Vec<WireLiveness> = state
            .fleet
            .liveness(now)
            .into_iter()
            .filter(|l| l.vm != from.vm)
            .map(Into::into)
            .collect();
        live.push(self.own_liveness().into());
        let wanted = Feed::ALL.into_iter().filter(|f| !sync.vms_only || *f == Feed::Vms);
        let feeds = wanted.filter_map(|feed| {
            let replica = &state.feeds[feed as usize];
            let mark = sync.mark(feed);
            // The sender has learnt of a restore of the store that this VM hasn't.
            if mark.era > replica.mark().era {
                return None;
            }
            let age = replica.age(now)?;
            Some(FeedUpdate::new(feed, age, replica.delta(mark)))
        });
        let store_unreachable = self.store_unreachable.load(Ordering::Relaxed);
        let (mut feeds, leaving): (Vec<_>, _) = (feeds.collect(), self.is_leaving());
        drop(state);
        if sync.deflate {
            feeds.iter_mut().for_each(|update| self.contents.compress(update));
        }
        SyncResponse { feeds, live, leaving, store_unreachable, observations }
    }

    /// This VM's own liveness report.
    pub(crate) fn own_liveness(&self) -> Liveness {
        Liveness {
            vm: self.me.vm.clone(),
            zone: self.place.zone.clone(),
            callers: self.config.listen.callers,
            serving: self.is_serving(),
            age: Duration::ZERO,
        }
    }

    fn handle_pool_draw(&self, from: &Identity, draw: &DrawRequest) -> DrawResponse {
        self.record_crashes(&draw.deaths);
        let wants: Vec<TokenRequest> = draw.wants.iter().map(|w| w.to_token_request()).collect();
        // A timestamp of an earlier incarnation of this VM is not valid for its present pool.
        let loan = (draw.incarnation == self.me.incarnation)
            .then(|| (draw.share, Duration::from_micros(draw.stamp_us)));
        let lent = self.state.lock().token_pool.has_loan(clock::now(), &from.vm);
        let (timestamp, grants) = self.draw_from_own_pool(&from.vm, loan, &wants);
        let grants = grants.iter().map(WireTokenGrant::from).collect();
        let stamp_us = timestamp.as_micros() as u64;
        let (incarnation, deaths, leaving) =
            (self.me.incarnation, self.recent_crashes(), self.is_leaving());
        DrawResponse { stamp_us, grants, incarnation, deaths, leaving, lent }
    }

    /// Grants tokens to a VM of this zone; waits briefly if there are none.
    async fn handle_zone_draw(&self, draw: &DrawRequest) -> DrawResponse {
        let wants: Vec<TokenRequest> = draw.wants.iter().map(|w| w.to_token_request()).collect();
        let grants = rates::grant_zone_tokens(self, &wants).await;
        let grants = grants.iter().map(WireTokenGrant::from).collect();
        let stamp_us = clock::now().as_micros() as u64;
        let leaving = self.is_leaving();
        DrawResponse {
            stamp_us,
            grants,
            incarnation: self.me.incarnation,
            leaving,
            ..DrawResponse::default()
        }
    }

    /// Draws from the pool on this VM. `loan` is the lent share, with the pool's timestamp that the
    /// lender returns. Returns the pool's next timestamp and the grants. A VM that is stopping
    /// releases all loans and grants nothing.
    pub(crate) fn draw_from_own_pool(
        &self,
        vm: &VmId,
        loan: Option<(f64, Duration)>,
        wants: &[TokenRequest],
    ) -> (Duration, Vec<TokenGrant>) {
        let now = clock::now();
        let Some(index) = self.state.index() else { return (now, Vec::new()) };
        let mut state = self.state.lock();
        if !self.holds_leases() {
            state.token_pool.release_loans();
            return (now, Vec::new());
        }
        if let Some((share, timestamp)) = loan.filter(|(share, _)| *share > 0.0 && *share <= 1.0) {
            state.token_pool.accept_loan(now, index.table(), vm, share, timestamp);
        }
        (now, state.token_pool.grant(now, index.table(), vm, wants))
    }

    /// Records crashes of targets that other entry VMs or this one have seen.
    pub(crate) fn record_crashes(&self, crashes: &[TargetCrash]) {
        let now = Instant::now();
        let mut state = self.state.lock();
        for crash in crashes {
            state.crashes.record_crash(now, &crash.as_report());
        }
    }

    /// Crashes of targets, to be reported to other entry VMs.
    pub(crate) fn recent_crashes(&self) -> Vec<TargetCrash> {
        let state = self.state.lock();
        state.crashes.reports(Instant::now()).into_iter().map(TargetCrash::from).collect()
    }
}
