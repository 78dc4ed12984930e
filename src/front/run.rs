//! Starts and stops a front.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::clock;
use crate::net::{ConnectionLimits, Respond, Server};
use crate::node::unix_millis;
use crate::peer::{Dialer, Identity, PeerServer, Secret};

use super::config::FrontConfig;
use super::decisions::Decisions;
use super::ingress::Calling;
use super::knowledge::Knowledge;
use super::lookups::Desk;
use super::metrics::{FrontMetrics, Measuring};
use super::outbound::Outbound;
use super::sessions::{Answering, Sessions};
use super::source::{Headers, Source};
use super::{Front, news, probes, rates};

/// Time for which a stopping front takes new requests: look-ups that name it run out meanwhile.
const NOTICE: Duration = Duration::from_millis(3_200);
/// Part of the grace period after which no new request is sent to a target.
const CLOSE_AT: f64 = 0.7;
/// Part of the grace period after which the process ends whatever is in flight.
const END_AT: f64 = 0.95;
/// Pause between looks at whether requests are in flight.
const IDLE_LOOK: Duration = Duration::from_millis(20);
/// Longest time for which a connection is kept without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// Largest head of a request that is read at all, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// A running front.
pub struct FrontDaemon {
    front: Arc<Front>,
    callers: Server,
    extra: Vec<Server>,
    _sessions: PeerServer,
}

#[derive(Serialize)]
struct Life<'a> {
    vm: &'a str,
    zone: &'a str,
    life: u64,
}

impl FrontDaemon {
    /// Starts a front on a platform reached by `source`, whose headers have the names `headers`.
    ///
    /// # Errors
    /// Fails if a port can't be taken.
    pub async fn start(
        config: FrontConfig,
        source: Arc<dyn Source>,
        headers: Headers,
    ) -> Result<Self> {
        let place = config.place();
        let me =
            Identity { vm: config.vm.clone(), place: place.clone(), incarnation: unix_millis() };
        let secret = fleet_secret(&config);
        let own = config.listen.callers.ip();
        let dialer = Dialer { me: me.clone(), secret: secret.clone(), bind: Some(own) };
        let listener = listen("listen.callers", config.listen.callers).await?;
        let metrics = listen("listen.metrics", config.listen.metrics).await?;
        let peers = listen("peers.port", (own, config.peers.port).into()).await?;
        let now = clock::now();
        let front = Arc::new(Front {
            known: Knowledge::new(&config, now),
            outbound: Outbound::default(),
            sessions: Sessions::new(dialer),
            decisions: Decisions::start(config.log.lines),
            metrics: FrontMetrics::new(),
            started: now,
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            active: AtomicU64::new(0),
            thirsty: Notify::new(),
            filled: Notify::new(),
            zone_thirsty: Notify::new(),
            zone_filled: Notify::new(),
            me: me.clone(),
            place,
            headers,
            source,
            config,
        });
        front.decisions.always("start", &front.life());
        let sessions = PeerServer::start(peers, me, secret, Arc::new(Answering(front.clone())))?;
        news::start(&front);
        tokio::spawn(probes::run(front.clone()));
        rates::start(&front);
        let bounds =
            ConnectionLimits { header_timeout: IDLE_TIMEOUT, max_header_bytes: HEAD_BYTES };
        let calling = Arc::new(Calling(front.clone()));
        let callers = Server::start_with_limits(listener, None, calling, bounds)?;
        let measuring = Server::start(metrics, None, Arc::new(Measuring(front.clone())))?;
        Ok(Self { front, callers, extra: vec![measuring], _sessions: sessions })
    }

    /// What can be asked of this front.
    pub fn desk(&self) -> Desk {
        Desk(self.front.clone())
    }

    /// Serves `responder` at `addr` until the front stops; for a platform's own questions.
    ///
    /// # Errors
    /// Fails if the port can't be taken.
    pub async fn serve_also(
        &mut self,
        addr: SocketAddr,
        responder: Arc<dyn Respond>,
    ) -> Result<()> {
        let listener = listen("listen", addr).await?;
        self.extra.push(Server::start(listener, None, responder)?);
        Ok(())
    }

    /// Stops gracefully: look-ups stop naming this VM, their answers run out, requests in flight
    /// finish. New requests are served until the look-ups have run out.
    pub async fn stop(self) {
        let front = self.front;
        let start = clock::now();
        let grace = front.config.bounds.grace.0;
        front.decisions.always("stop", &front.life());
        front.leaving.store(true, Ordering::Relaxed);
        front.known.parts().fleet.leaves(start, &front.me.vm);
        self.callers.close_connections();
        tokio::time::sleep(NOTICE.min(grace.mul_f64(CLOSE_AT))).await;
        let close_at = start + grace.mul_f64(CLOSE_AT);
        let end_at = start + grace.mul_f64(END_AT);
        let close = async {
            tokio::time::sleep(close_at.saturating_sub(clock::now())).await;
            front.closed.store(true, Ordering::Relaxed);
            std::future::pending::<()>().await;
        };
        let left = end_at.saturating_sub(clock::now());
        let drained = async {
            self.callers.shutdown().await;
            while front.active.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(IDLE_LOOK).await;
            }
        };
        tokio::select! {
            () = drained => {}
            () = close => {}
            () = tokio::time::sleep(left) => {
                let active = front.active.load(Ordering::Relaxed);
                log::warn!("front: {active} requests were cut at the end of the grace period.");
            }
        }
        front.decisions.always("stopped", &front.life());
    }
}

impl Front {
    fn life(&self) -> Life<'_> {
        Life { vm: self.me.vm.as_str(), zone: self.place.zone.as_str(), life: self.me.incarnation }
    }
}

/// What the processes of one fleet have in common. The ports for sessions are open to the fleet's
/// own machines only; this keeps processes of another deployment from being taken for peers.
fn fleet_secret(config: &FrontConfig) -> Secret {
    let zones: Vec<String> = config.zones.iter().map(|(z, r)| format!("{z}/{r}")).collect();
    Secret::new(format!("{}|{}", config.store.addr, zones.join(",")).into_bytes())
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: listen at {addr}"))
}
