//! HTTP/1.1 client for targets: keeps idle connections for reuse, and reports whether a failed
//! request may have reached its target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{HeaderMap, Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock;
use crate::net::{
    ByteBudget, HeldBytes, HoldKind, MeteredBody, MeteredStream, READ_BUFFER_MAX, ReadMeter,
    connection_options, header_text,
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time before the first TCP keepalive probe, and the interval of further ones.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection is closed this long before the target's own keep-alive timeout, so that no request
/// is sent on a connection that the target is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Most idle connections kept to one target.
const IDLE_CONNS_MAX: usize = 6;

/// A request that failed without a response.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub(crate) struct SendFailure {
    pub(crate) step: &'static str,
    pub(crate) peer: SocketAddr,
    pub(crate) cause: String,
    /// False only if certainly no byte of the request has reached the target.
    pub(crate) maybe_sent: bool,
}

/// HTTP client for targets, with idle connections for reuse.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    /// What the VM holds for requests and responses.
    pub(crate) budget: ByteBudget,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConn>>>>,
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    expires: Duration,
}

#[derive(Debug)]
struct Conn {
    sender: SendRequest<Body>,
    task: AbortHandle,
    meter: ReadMeter,
}

/// A connection in use. It is closed when dropped, unless it is [released](Lease::release).
#[derive(Debug)]
pub(crate) struct Lease {
    conn: Option<Conn>,
    addr: SocketAddr,
    client: TargetClient,
    expires: Duration,
    /// True if an earlier request's response came on this connection.
    reused: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(conn) = &self.conn {
            conn.task.abort();
        }
    }
}

impl Lease {
    /// True if an earlier request's response came on this connection, so that what comes may be a
    /// late copy of that one.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Starts to hold bytes of the response.
    pub(crate) fn hold(&self) -> HeldBytes {
        self.client.budget.hold(HoldKind::Response)
    }

    /// Keeps the connection for reuse, unless memory is short and its buffer is large. Call it only after
    /// the whole response has been read.
    pub(crate) fn release(mut self) {
        let Some(conn) = self.conn.take() else { return };
        let expired = self.expires <= clock::now();
        if expired || conn.sender.is_closed() || conn.meter.is_burden() {
            conn.task.abort();
            return;
        }
        let mut idle = self.client.idle.lock().expect("idle lock");
        let conns = idle.entry(self.addr).or_default();
        if conns.len() >= IDLE_CONNS_MAX {
            let oldest = conns.remove(0);
            oldest.conn.task.abort();
        }
        conns.push(IdleConn { conn, expires: self.expires });
    }
}

impl TargetClient {
    /// A client whose connections hold what they read within `budget`.
    pub(crate) fn new(budget: ByteBudget) -> Self {
        Self { budget, idle: Arc::default() }
    }

    /// Sends a request and returns the response's head. If `reuse`, prefers an idle connection.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        reuse: bool,
    ) -> Result<(Response<MeteredBody>, Lease), SendFailure> {
        let mut request = request;
        if reuse {
            while let Some(lease) = self.take_idle(addr) {
                match self.send_on(lease, request).await {
                    Ok(done) => return Ok(done),
                    // The connection was closed before any byte was written.
                    Err((_, Some(unsent))) => request = *unsent,
                    Err((failure, None)) => return Err(failure),
                }
            }
        }
        let lease = self.connect(addr).await?;
        self.send_on(lease, request).await.map_err(|(failure, _)| failure)
    }

    /// Closes idle connections that have expired or that the target has closed.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.lock().expect("idle lock");
        for conns in idle.values_mut() {
            conns.retain(|c| {
                let keep = c.expires > now && !c.conn.sender.is_closed();
                if !keep {
                    c.conn.task.abort();
                }
                keep
            });
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Lease> {
        let now = clock::now();
        let mut idle = self.idle.lock().expect("idle lock");
        let conns = idle.get_mut(&addr)?;
        while let Some(IdleConn { conn, expires }) = conns.pop() {
            if expires > now && conn.sender.is_ready() {
                let client = self.clone();
                return Some(Lease { conn: Some(conn), addr, client, expires, reused: true });
            }
            conn.task.abort();
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Lease, SendFailure> {
        let fail = |step, cause: String| SendFailure { step, peer: addr, cause, maybe_sent: false };
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(fail("connect", e.to_string())),
            Err(_) => return Err(fail("connect", "no response in time".to_owned())),
        };
        set_options(&stream).map_err(|e| fail("set options", e.to_string()))?;
        let meter = ReadMeter::new(self.budget.hold(HoldKind::Response));
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX)
            .handshake(TokioIo::new(MeteredStream::new(stream, meter.clone())))
            .await
            .map_err(|e| fail("open", e.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("targets: connection to target {addr} failed: {e}.");
            }
        });
        let conn = Conn { sender, task: task.abort_handle(), meter };
        let (client, expires) = (self.clone(), Duration::ZERO);
        Ok(Lease { conn: Some(conn), addr, client, expires, reused: false })
    }

    async fn send_on(
        &self,
        mut lease: Lease,
        request: Request<Body>,
    ) -> Result<(Response<MeteredBody>, Lease), (SendFailure, Option<Box<Request<Body>>>)> {
        let peer = lease.addr;
        let fail =
            |cause: String, maybe_sent| SendFailure { step: "send", peer, cause, maybe_sent };
        let Some(conn) = lease.conn.as_mut() else {
            return Err((
                fail("the connection is closed".to_owned(), false),
                Some(Box::new(request)),
            ));
        };
        if let Err(e) = conn.sender.ready().await {
            return Err((fail(e.to_string(), false), Some(Box::new(request))));
        }
        conn.meter.expect_head();
        match conn.sender.try_send_request(request).await {
            Ok(response) => {
                conn.meter.reset();
                let meter = conn.meter.clone();
                lease.expires = clock::now() + idle_timeout(response.headers());
                Ok((response.map(|body| MeteredBody { body, meter }), lease))
            }
            Err(mut e) => {
                let unsent = e.take_message().map(Box::new);
                Err((fail(e.into_error().to_string(), unsent.is_none()), unsent))
            }
        }
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))
}

/// How long a connection may stay idle after a response with these headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    if connection_options(headers).iter().any(|w| w == "close") {
        return Duration::ZERO;
    }
    let timeout = header_text(headers, "keep-alive")
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse().ok()))
        .map(Duration::from_secs);
    timeout.map_or(IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT))
}
