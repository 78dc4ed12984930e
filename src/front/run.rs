//! Starts the front's servers and tasks, and stops them gracefully.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result};
use rand::Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, SetOnce};

use crate::clock;
use crate::net::{AheadBudget, ConnectionLimits, Respond, Server};
use crate::node::unix_millis;
use crate::peer::{CompressedContents, Dialer, Identity, PeerServer, Secret};
use crate::steer::{PROOF_WAITERS_MAX, StopSchedule};

use super::config::FrontConfig;
use super::decisions::DecisionLogger;
use super::handle::FrontHandle;
use super::in_flight::InFlight;
use super::ingress::CallerHandler;
use super::lag::{self, LagMeter};
use super::metrics::{FrontMetrics, MetricsHandler};
use super::outbound::TargetClient;
use super::sessions::{PeerRequestHandler, Sessions};
use super::source::{Headers, Source};
use super::state::FrontState;
use super::{Front, news, probes, rates, shared_load, sleep_until};

/// Interval of the checks whether requests are in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a caller's connection without a request is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(16);
/// Largest request head that is parsed, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// A running front.
pub struct FrontDaemon {
    front: Arc<Front>,
    callers: Server,
    servers: Vec<Server>,
    _sessions: PeerServer,
}

/// The log line of a start or stop.
#[derive(Serialize)]
struct ProcessRecord<'a> {
    vm: &'a str,
    zone: &'a str,
    life: u64,
}

/// The log line of a step of a graceful stop.
#[derive(Serialize)]
struct StopRecord<'a> {
    #[serde(flatten)]
    process: ProcessRecord<'a>,
    /// Time since the signal was handled.
    after_ms: u64,
    grace_ms: u64,
    in_flight: usize,
    /// Requests whose responses are ready and have not been written in full.
    unsent: usize,
    /// How late timers fired, at most in the last seconds.
    lag_ms: u64,
}

impl FrontDaemon {
    /// Starts a front that reads the platform's store through `source` and uses its `headers`.
    ///
    /// # Errors
    /// Fails if an address can't be listened on.
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
        let caller_listener = listen("listen.callers", config.listen.callers).await?;
        let metrics_listener = listen("listen.metrics", config.listen.metrics).await?;
        let peer_listener = listen("peers.port", (own, config.peers.port).into()).await?;
        let now = clock::now();
        let ahead = Arc::new(AheadBudget::for_memory(config.memory_bytes()));
        let front = Arc::new(Front {
            state: FrontState::new(&config, now),
            target_client: TargetClient::new(ahead.bytes.clone()),
            sessions: Sessions::new(dialer),
            contents: CompressedContents::default(),
            decision_log: DecisionLogger::start(config.log.lines),
            metrics: FrontMetrics::new(&ahead),
            started: now,
            stop: SetOnce::new(),
            store_unreachable: AtomicBool::new(false),
            record_lost: Notify::new(),
            rejections: Mutex::default(),
            proof_room: Semaphore::new(PROOF_WAITERS_MAX),
            in_flight: InFlight::default(),
            lag: LagMeter::new(now),
            token_demand: Notify::new(),
            zone_demand: Notify::new(),
            zone_supply: Notify::new(),
            me: me.clone(),
            place,
            headers,
            source,
            config,
        });
        front.decision_log.log("start", &front.process_record());
        let sessions = PeerServer::start(
            peer_listener,
            me,
            secret,
            Arc::new(PeerRequestHandler(front.clone())),
        )?;
        news::start(&front);
        tokio::spawn(probes::run(front.clone()));
        rates::start(&front);
        tokio::spawn(lag::run(front.clone()));
        front.state.lock().balancer.set_seed(rand::rng().random());
        tokio::spawn(shared_load::run(front.clone()));
        let limits = ConnectionLimits {
            header_timeout: KEEP_ALIVE_TIMEOUT,
            max_header_bytes: HEAD_BYTES_MAX,
        };
        let handler = Arc::new(CallerHandler(front.clone()));
        let callers = Server::start_reading_ahead(caller_listener, None, handler, limits, ahead)?;
        let metrics_server =
            Server::start(metrics_listener, None, Arc::new(MetricsHandler(front.clone())))?;
        Ok(Self { front, callers, servers: vec![metrics_server], _sessions: sessions })
    }

    /// A handle for the platform's endpoints.
    pub fn handle(&self) -> FrontHandle {
        FrontHandle(self.front.clone())
    }

    /// Serves a platform's endpoint at `addr` until the process exits.
    ///
    /// # Errors
    /// Fails if the address can't be listened on.
    pub async fn serve_at(&mut self, addr: SocketAddr, responder: Arc<dyn Respond>) -> Result<()> {
        let listener = listen("listen", addr).await?;
        self.servers.push(Server::start(listener, None, responder)?);
        Ok(())
    }

    /// Stops gracefully. Lookups stop naming this VM at once; new requests are still served until
    /// earlier lookup responses have expired, but late in the stop only those that are sure to finish.
    /// Then waits for the requests in flight.
    pub async fn stop(self) {
        let front = self.front;
        let start = clock::now();
        let signal = front.lag.signal_window(start);
        let stop = StopSchedule::within_grace(signal, front.config.bounds.grace.0);
        front.decision_log.log("stop", &front.stop_record(start, start));
        // Only one stop happens, since it consumes the daemon.
        let _ = front.stop.set(stop);
        front.state.lock().fleet.mark_leaving(start, &front.me.vm);
        self.callers.close_connections();
        sleep_until(stop.close_at()).await;
        front.decision_log.log("closing", &front.stop_record(start, clock::now()));
        let left = stop.exit_at().saturating_sub(clock::now());
        let drained = async {
            self.callers.shutdown().await;
            while front.in_flight.len() > 0 {
                tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
            }
        };
        let outcome = tokio::time::timeout(left, drained).await;
        front.decision_log.log("stopped", &front.stop_record(start, clock::now()));
        if outcome.is_err() {
            front.log_cut_requests();
        }
        front.decision_log.flush();
    }
}

impl Front {
    fn process_record(&self) -> ProcessRecord<'_> {
        ProcessRecord {
            vm: self.me.vm.as_str(),
            zone: self.place.zone.as_str(),
            life: self.me.incarnation,
        }
    }

    fn stop_record(&self, start: Duration, now: Duration) -> StopRecord<'_> {
        StopRecord {
            process: self.process_record(),
            after_ms: now.saturating_sub(start).as_millis() as u64,
            grace_ms: self.config.bounds.grace.0.as_millis() as u64,
            in_flight: self.in_flight.len(),
            unsent: self.in_flight.unsent(),
            lag_ms: self.lag.max(now).as_millis() as u64,
        }
    }

    /// Logs the requests that the end of the process cuts.
    fn log_cut_requests(&self) {
        let cut = self.in_flight.take_all(clock::now());
        if cut.is_empty() {
            return;
        }
        log::warn!("front: the grace period ended with {} requests in flight.", cut.len());
        for record in &cut {
            self.decision_log.log("cut", record);
        }
    }
}

/// The session secret, derived from settings that all VMs of a deployment share. It only keeps
/// processes of another deployment from being accepted as peers, so the session ports must be
/// reachable from the deployment's own machines only.
fn fleet_secret(config: &FrontConfig) -> Secret {
    let zones: Vec<String> = config.zones.iter().map(|(z, r)| format!("{z}/{r}")).collect();
    Secret::new(format!("{}|{}", config.store.addr, zones.join(",")).into_bytes())
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: listen on {addr}"))
}
