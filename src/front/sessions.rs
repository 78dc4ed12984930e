//! Sessions with other entry VMs: calls to them, and answers to theirs.

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

/// Time for which a call waits for its session to open.
const OPEN_WAIT: Duration = Duration::from_millis(250);
/// Pause between looks at whether a session is open.
const OPEN_LOOK: Duration = Duration::from_millis(10);
/// Time for which a death is told to others.
const DEATHS_TOLD: Duration = Duration::from_secs(8);
/// Time after which an unused session is closed.
const UNUSED_MAX: Duration = Duration::from_secs(15);

/// Clients of other entry VMs, opened as they are needed.
pub(crate) struct Sessions {
    dialer: Dialer,
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

struct Client {
    client: Arc<PeerClient>,
    used: Duration,
}

impl Sessions {
    pub(crate) fn new(dialer: Dialer) -> Self {
        Self { dialer, clients: Mutex::default() }
    }

    /// Calls the VM at `addr`; an empty name stands for whoever is there. A session that gives no
    /// answer is opened anew, since something between the ends may have lost track of it.
    pub(crate) async fn call(
        &self,
        vm: &VmId,
        addr: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let client = self.client(vm, addr);
        let until = clock::now() + OPEN_WAIT;
        while client.identity().is_none() && clock::now() < until {
            tokio::time::sleep(OPEN_LOOK).await;
        }
        let answer = client.call(body, timeout).await;
        if answer.as_ref().is_err_and(|e| e.maybe_sent) {
            client.reset();
        }
        answer
    }

    fn client(&self, vm: &VmId, addr: SocketAddr) -> Arc<PeerClient> {
        let now = clock::now();
        let mut clients = self.clients.lock().expect("clients lock");
        clients.retain(|_, c| now.saturating_sub(c.used) < UNUSED_MAX);
        let entry = clients.entry(addr).or_insert_with(|| Client {
            client: Arc::new(PeerClient::start(vm.clone(), addr, self.dialer.clone())),
            used: now,
        });
        entry.used = now;
        entry.client.clone()
    }
}

/// Answers other entry VMs.
pub(crate) struct Answering(pub(crate) Arc<Front>);

#[async_trait]
impl PeerHandler for Answering {
    async fn call(&self, from: &Identity, body: Body) -> Body {
        match body {
            Body::SyncRequest(sync) => Body::SyncResponse(self.0.answer_sync(from, &sync)),
            Body::DrawRequest(draw) if draw.zone => {
                Body::DrawResponse(self.0.answer_zone_draw(&draw).await)
            }
            Body::DrawRequest(draw) => Body::DrawResponse(self.0.answer_draw(from, &draw)),
            _ => Body::Empty(Empty {}),
        }
    }

    fn notify(&self, _: &Identity, _: Body) {}

    fn session_opened(&self, _: &Identity) {}
}

impl Front {
    fn answer_sync(&self, from: &Identity, sync: &SyncRequest) -> SyncResponse {
        let now = clock::now();
        let mut parts = self.known.parts();
        if let Ok(callers) = sync.callers.parse() {
            let (vm, zone) = (from.vm.clone(), from.place.zone.clone());
            let heard = Liveness { vm, zone, callers, serving: sync.serving, age: Duration::ZERO };
            parts.fleet.merge_liveness(now, [heard]);
        }
        let mut live: Vec<WireLiveness> = parts
            .fleet
            .liveness(now)
            .into_iter()
            .filter(|h| h.vm != from.vm)
            .map(Into::into)
            .collect();
        live.push(self.own_word().into());
        let feeds = Feed::ALL.into_iter().filter_map(|feed| {
            let replica = &parts.feeds[feed as usize];
            let mark = sync.marks.get(feed as usize).copied().unwrap_or_default();
            let age = replica.age(now)?;
            Some(FeedUpdate::new(feed, age, replica.delta(mark)))
        });
        let unread = self.unread.load(Ordering::Relaxed);
        SyncResponse {
            feeds: feeds.collect(),
            live,
            leaving: self.is_leaving(),
            store_unreachable: unread,
        }
    }

    /// What this VM says of itself.
    pub(crate) fn own_word(&self) -> Liveness {
        Liveness {
            vm: self.me.vm.clone(),
            zone: self.place.zone.clone(),
            callers: self.config.listen.callers,
            serving: self.is_serving(),
            age: Duration::ZERO,
        }
    }

    fn answer_draw(&self, from: &Identity, draw: &DrawRequest) -> DrawResponse {
        self.learn_deaths(&draw.deaths);
        let wants: Vec<TokenRequest> = draw.wants.iter().map(|w| w.to_token_request()).collect();
        let stamp = (draw.incarnation == self.me.incarnation)
            .then(|| (draw.share, Duration::from_micros(draw.stamp_us)));
        let lent = self.known.parts().pool.has_loan(clock::now(), &from.vm);
        let (now, grants) = self.draw_here(&from.vm, stamp, &wants);
        let grants = grants.iter().map(WireTokenGrant::from).collect();
        let stamp_us = now.as_micros() as u64;
        let (life, deaths, leaving) =
            (self.me.incarnation, self.recent_deaths(), self.is_leaving());
        DrawResponse { stamp_us, grants, incarnation: life, deaths, leaving, lent }
    }

    /// Hands tokens to a VM of this zone; waits a little if there is none at hand.
    async fn answer_zone_draw(&self, draw: &DrawRequest) -> DrawResponse {
        let wants: Vec<TokenRequest> = draw.wants.iter().map(|w| w.to_token_request()).collect();
        let grants = rates::hand_out(self, &wants).await;
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

    /// Draws from this VM's own pool; `loan` is a part and the pool's stamp that came with it.
    pub(crate) fn draw_here(
        &self,
        vm: &VmId,
        loan: Option<(f64, Duration)>,
        wants: &[TokenRequest],
    ) -> (Duration, Vec<TokenGrant>) {
        let now = clock::now();
        let Some(index) = self.known.index() else { return (now, Vec::new()) };
        let mut parts = self.known.parts();
        if self.is_leaving() {
            parts.pool.release_loans();
            return (now, Vec::new());
        }
        if let Some((part, stamp)) = loan.filter(|(part, _)| *part > 0.0 && *part <= 1.0) {
            parts.pool.accept_loan(now, index.table(), vm, part, stamp);
        }
        (now, parts.pool.grant(now, index.table(), vm, wants))
    }

    /// Learns that targets died while they ran requests.
    pub(crate) fn learn_deaths(&self, deaths: &[TargetCrash]) {
        let now = Instant::now();
        let mut parts = self.known.parts();
        for death in deaths {
            parts.poison.record_crash(now, &death.fingerprint, &death.event);
        }
    }

    /// The deaths to tell others of.
    pub(crate) fn recent_deaths(&self) -> Vec<TargetCrash> {
        let Some(since) = Instant::now().checked_sub(DEATHS_TOLD) else { return Vec::new() };
        let recent = self.known.parts().poison.recent_crashes(since);
        recent.into_iter().map(|(fingerprint, event)| TargetCrash { fingerprint, event }).collect()
    }
}
