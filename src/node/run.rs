//! Starts and stops a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::net::{Server, tls_acceptor};
use crate::peer::{Identity, PeerServer};

use super::ingress::Calling;
use super::life::{DaemonEvent, DaemonState};
use super::operators::Operating;
use super::peers::Answering;
use super::trace::Tracer;
use super::{Node, escrow, fleet, peers, planner, probe, unix_millis, watcher};

/// Time between looks at whether the daemon is idle.
const IDLE_LOOK: Duration = Duration::from_millis(20);
/// Longest time to leave the roster while the store is out.
const LEAVE_MAX: Duration = Duration::from_secs(3);
/// Longest time until every floor is back from its borrower.
const SETTLE_MAX: Duration = Duration::from_secs(4);

/// The addresses of a running daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For sessions with peers.
    pub peers: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    /// Its addresses.
    pub ports: Ports,
    node: Arc<Node>,
    callers: Server,
    operators: Server,
    sessions: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Fails if a secret can't be read or a port can't be taken.
    pub async fn start(config: Config) -> Result<Self> {
        let me =
            Identity { vm: config.vm.clone(), place: config.place(), incarnation: unix_millis() };
        let tracer = Tracer::open(me.vm.as_str(), config.trace.file.as_deref())?;
        let token = config.operator_token()?;
        let tls = match (&config.callers.certificate, &config.callers.key) {
            (Some(certificate), Some(key)) => Some(tls_acceptor(certificate, key)?),
            _ => None,
        };
        let callers = listen("callers.listen", config.callers.listen).await?;
        let operators = listen("operators.listen", config.operators.listen).await?;
        let sessions = listen("peers.listen", config.peers.listen).await?;
        let node = Node::new(config, me.clone(), tracer)?;
        let secret = node.config.peer_secret()?;
        let answering = Arc::new(Answering(node.clone()));
        let sessions = PeerServer::start(sessions, me, secret, answering)?;
        let callers = Server::start(callers, tls, Arc::new(Calling(node.clone())))?;
        let operating = Arc::new(Operating::new(node.clone(), token));
        let operators = Server::start(operators, None, operating)?;
        let ports =
            Ports { callers: callers.addr, operators: operators.addr, peers: sessions.addr };
        node.fleet.set_ports(
            node.config.peers.advertise.unwrap_or(ports.peers),
            node.config.callers.advertise.unwrap_or(ports.callers),
        );
        fleet::dial_seeds(&node);
        let tasks = vec![
            tokio::spawn(watcher::follow(node.clone())),
            tokio::spawn(peers::beat(node.clone())),
            tokio::spawn(fleet::run(node.clone())),
            tokio::spawn(escrow::run(node.clone())),
            tokio::spawn(probe::run(node.clone())),
            tokio::spawn(planner::run(node.clone())),
        ];
        log::info!("daemon: {} of zone {} has started.", node.me.vm, node.me.place.zone);
        Ok(Self { ports, node, callers, operators, sessions, tasks })
    }

    /// Stops gracefully: look-ups stop naming this VM, their answers run out, requests in flight
    /// finish, and what this VM owns goes to the others.
    ///
    /// New requests are served until the last look-up that names this VM has run out.
    pub async fn stop(self) {
        let node = self.node;
        node.life.apply(DaemonEvent::Stop);
        peers::beat_soon(&node);
        self.callers.close_connections();
        tokio::time::sleep(node.config.lookup_ttl()).await;
        node.life.apply(DaemonEvent::NoticeOver);
        let drain = Duration::from_millis(node.config.stop.drain_ms);
        if tokio::time::timeout(drain, self.callers.shutdown()).await.is_err() {
            log::error!("daemon: Requests were cut after {} ms.", drain.as_millis());
        }
        wait_idle(&node, drain).await;
        give_up(&node).await;
        node.life.apply(DaemonEvent::Idle);
        if node.life.state() != DaemonState::Stopped {
            log::warn!("daemon: Ended in state {:?}.", node.life.state());
        }
        drop(self.sessions);
        self.tasks.iter().for_each(JoinHandle::abort);
        self.operators.shutdown().await;
        log::info!("daemon: {} has stopped.", node.me.vm);
    }
}

/// Waits until no request of this VM's callers is in flight and every claim is recorded.
async fn wait_idle(node: &Node, most: Duration) {
    let until = Instant::now() + most;
    while Instant::now() < until && (node.ingress.active() > 0 || node.desk.open() > 0) {
        tokio::time::sleep(IDLE_LOOK).await;
    }
}

/// Gives everything that this VM owns to the others.
async fn give_up(node: &Node) {
    let until = Instant::now() + SETTLE_MAX;
    // Targets go first: they are idle sooner than loans run out.
    match tokio::time::timeout(LEAVE_MAX, fleet::give_targets(node)).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("fleet: {e}."),
        Err(_) => log::warn!("fleet: The targets could not be given away in time."),
    }
    escrow::close(node);
    while !fleet::close(node) {
        if Instant::now() >= until {
            log::warn!("daemon: Some of its rate was still lent at the end.");
            break;
        }
        tokio::time::sleep(IDLE_LOOK).await;
    }
    match tokio::time::timeout(LEAVE_MAX, fleet::leave(node)).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("fleet: {e}."),
        Err(_) => log::warn!("fleet: The store gave no answer; others will notice the end."),
    }
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: listen at {addr}"))
}
