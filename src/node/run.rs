//! Starts the daemon's servers and background tasks, and stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::clock;
use crate::config::Config;
use crate::net::{Server, tls_acceptor};
use crate::peer::{Identity, PeerServer};

use super::ingress::CallerHandler;
use super::lifecycle::{DaemonEvent, DaemonState};
use super::operators::OperatorHandler;
use super::peers::PeerRequestHandler;
use super::stop_schedule::DaemonStop;
use super::trace::Tracer;
use super::{Node, escrow, handover, membership, peers, planner, probe, unix_millis, watcher};

/// The addresses of a running daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Ports {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for sessions with peers.
    pub peers: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    /// The addresses on which it listens.
    pub ports: Ports,
    node: Arc<Node>,
    callers: Server,
    operators: Server,
    sessions: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Listens on all ports and starts the background tasks. Requests are refused as `not-ready`
    /// until the configuration has come from the store or a peer.
    ///
    /// # Errors
    /// Fails if a secret, a certificate or the trace file can't be opened, or a port can't be bound.
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
        let peer_handler = Arc::new(PeerRequestHandler(node.clone()));
        let sessions = PeerServer::start(sessions, me, secret, peer_handler)?;
        let callers = Server::start(callers, tls, Arc::new(CallerHandler(node.clone())))?;
        let operator_handler = Arc::new(OperatorHandler::new(node.clone(), token));
        let operators = Server::start(operators, None, operator_handler)?;
        let ports =
            Ports { callers: callers.addr, operators: operators.addr, peers: sessions.addr };
        node.ownership.set_addrs(
            node.config.peers.advertise.unwrap_or(ports.peers),
            node.config.callers.advertise.unwrap_or(ports.callers),
        );
        membership::dial_seeds(&node);
        let tasks = vec![
            tokio::spawn(watcher::run(node.clone())),
            tokio::spawn(peers::run_heartbeats(node.clone())),
            tokio::spawn(membership::run(node.clone())),
            tokio::spawn(escrow::run(node.clone())),
            tokio::spawn(probe::run(node.clone())),
            tokio::spawn(planner::run(node.clone())),
        ];
        log::info!("daemon: {} of zone {} has started.", node.me.vm, node.me.place.zone);
        Ok(Self { ports, node, callers, operators, sessions, tasks })
    }

    /// Stops gracefully: look-ups no longer name this VM, callers' copies of earlier look-ups
    /// expire, requests in flight finish, and the other VMs take over what this VM owns.
    ///
    /// New requests of callers are served until the last look-up that names this VM has expired, and
    /// forwarded ones until those of callers have ended; both only if they end before `stop.drain_ms` is over.
    /// Forwarded requests from before the stop are waited for until they end; those of callers that would
    /// outlive `stop.drain_ms` get an error shortly before.
    pub async fn stop(self) {
        let node = self.node;
        let drain = Duration::from_millis(node.config.stop.drain_ms);
        let schedule = DaemonStop::new(clock::now(), node.config.lookup_ttl(), drain);
        node.lifecycle.stop(schedule);
        peers::broadcast_heartbeat(&node);
        self.callers.close_connections();
        tokio::time::sleep(schedule.close_at().saturating_sub(clock::now())).await;
        node.lifecycle.apply(DaemonEvent::NoticeOver);
        let end_requests = tokio::spawn(end_requests(node.clone(), schedule));
        let left = schedule.exit_at().saturating_sub(clock::now());
        if tokio::time::timeout(left, self.callers.shutdown()).await.is_err() {
            log::error!(
                "daemon: Requests still in flight after {} ms were aborted.",
                drain.as_millis()
            );
        }
        end_requests.abort();
        handover::run(&node, schedule).await;
        node.lifecycle.apply(DaemonEvent::Idle);
        if node.lifecycle.state() != DaemonState::Stopped {
            log::warn!("daemon: Stopped in state {:?}.", node.lifecycle.state());
        }
        let now = clock::now();
        let sessions = self.sessions.shutdown(schedule.sessions_by(now).saturating_sub(now));
        let limit = schedule.operators_by(now).saturating_sub(now);
        let operators = tokio::time::timeout(limit, self.operators.shutdown());
        if let ((), Err(_)) = tokio::join!(sessions, operators) {
            log::warn!("daemon: Operators' requests took longer than {} ms.", limit.as_millis());
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        log::info!("daemon: {} has stopped.", node.me.vm);
    }
}

/// Ends the requests that outlive a stop: first those that wait for a slot, which have not run.
async fn end_requests(node: Arc<Node>, schedule: DaemonStop) {
    tokio::time::sleep(schedule.fail_at().saturating_sub(clock::now())).await;
    node.egress.refuse_waiting();
    node.lifecycle.end_requests();
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("{field}: listen on {addr}"))
}
