//! Connections to targets: which may be used again, and what a failure says of the request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock;
use crate::net::{connection_options, header_text};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which sent bytes may stay unacknowledged before a connection counts as lost.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_200);
/// Silence after which the kernel checks that the other end still knows the connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Checks without an answer after which a connection is lost.
const KEEPALIVE_TRIES: u32 = 2;
/// Longest time for which an idle connection is kept.
const IDLE_MAX: Duration = Duration::from_secs(6);
/// Time by which a connection is given up before the target's own limit.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Most idle connections to one target.
const IDLE_CONNS: usize = 6;

/// A request that brought no answer.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub(crate) struct SendFailure {
    pub(crate) step: &'static str,
    pub(crate) peer: SocketAddr,
    pub(crate) cause: String,
    /// False only if no byte of the request can have reached the target.
    pub(crate) sent: bool,
}

/// Idle connections to targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbound {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Duration,
}

#[derive(Debug)]
struct Conn {
    sender: SendRequest<Body>,
    task: AbortHandle,
}

/// A connection in use. It is closed when dropped, unless it is [given back](Lease::give_back).
#[derive(Debug)]
pub(crate) struct Lease {
    conn: Option<Conn>,
    addr: SocketAddr,
    pool: Outbound,
    until: Duration,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(conn) = &self.conn {
            conn.task.abort();
        }
    }
}

impl Lease {
    /// Keeps the connection for another request; only after a whole answer.
    pub(crate) fn give_back(mut self) {
        let Some(conn) = self.conn.take() else { return };
        if self.until <= clock::now() || conn.sender.is_closed() {
            conn.task.abort();
            return;
        }
        let mut idle = self.pool.idle.lock().expect("idle lock");
        let conns = idle.entry(self.addr).or_default();
        if conns.len() >= IDLE_CONNS {
            let oldest = conns.remove(0);
            oldest.conn.task.abort();
        }
        conns.push(Idle { conn, until: self.until });
    }
}

impl Outbound {
    /// Sends a request, over an idle connection if `reuse` and there is one, and returns the head of the answer.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        reuse: bool,
    ) -> Result<(Response<Incoming>, Lease), SendFailure> {
        let mut request = request;
        if reuse {
            while let Some(lease) = self.take_idle(addr) {
                match self.send_on(lease, request).await {
                    Ok(done) => return Ok(done),
                    // The connection had ended before a byte was written.
                    Err((_, Some(unsent))) => request = *unsent,
                    Err((failure, None)) => return Err(failure),
                }
            }
        }
        let lease = self.connect(addr).await?;
        self.send_on(lease, request).await.map_err(|(failure, _)| failure)
    }

    /// Closes idle connections that have been idle too long.
    pub(crate) fn expire(&self) {
        let now = clock::now();
        let mut idle = self.idle.lock().expect("idle lock");
        for conns in idle.values_mut() {
            conns.retain(|c| {
                let keep = c.until > now && !c.conn.sender.is_closed();
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
        while let Some(Idle { conn, until }) = conns.pop() {
            if until > now && conn.sender.is_ready() {
                let pool = self.clone();
                return Some(Lease { conn: Some(conn), addr, pool, until });
            }
            conn.task.abort();
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Lease, SendFailure> {
        let fail = |step, cause: String| SendFailure { step, peer: addr, cause, sent: false };
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(fail("connect", e.to_string())),
            Err(_) => return Err(fail("connect", "no answer in time".to_owned())),
        };
        set_options(&stream).map_err(|e| fail("set options", e.to_string()))?;
        let (sender, conn) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| fail("open", e.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("targets: connection to {addr} ended: {e}.");
            }
        });
        let conn = Conn { sender, task: task.abort_handle() };
        Ok(Lease { conn: Some(conn), addr, pool: self.clone(), until: Duration::ZERO })
    }

    async fn send_on(
        &self,
        mut lease: Lease,
        request: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), (SendFailure, Option<Box<Request<Body>>>)> {
        let peer = lease.addr;
        let fail = |cause: String, sent| SendFailure { step: "send", peer, cause, sent };
        let Some(conn) = lease.conn.as_mut() else {
            return Err((fail("no connection".to_owned(), false), Some(Box::new(request))));
        };
        if let Err(e) = conn.sender.ready().await {
            return Err((fail(e.to_string(), false), Some(Box::new(request))));
        }
        match conn.sender.try_send_request(request).await {
            Ok(response) => {
                lease.until = clock::now() + idle_limit(response.headers());
                Ok((response, lease))
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
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_TRIES))
}

/// How long a connection may be idle after an answer with these headers.
fn idle_limit(headers: &HeaderMap) -> Duration {
    if connection_options(headers).iter().any(|w| w == "close") {
        return Duration::ZERO;
    }
    let timeout = header_text(headers, "keep-alive")
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse().ok()))
        .map(Duration::from_secs);
    timeout.map_or(IDLE_MAX, |t| t.saturating_sub(IDLE_MARGIN).min(IDLE_MAX))
}

/// Reads at most `most` bytes of a body. Returns what was read, and whether that is all.
pub(crate) async fn read_up_to(
    body: &mut (impl hyper::body::Body<Data = Bytes, Error: std::fmt::Display> + Unpin),
    most: usize,
) -> Result<(Vec<Bytes>, bool), String> {
    let (mut parts, mut size) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            size += data.len();
            parts.push(data);
        }
        if size > most {
            return Ok((parts, false));
        }
    }
    Ok((parts, true))
}
