//! An HTTP/1.1 server with optional TLS, limits per connection and graceful shutdown. Each request
//! is handled by a [`Respond`].

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_rustls::TlsAcceptor;

use super::connection::{self, ConnectionLimits, ServerState};
use super::read_ahead::AheadBudget;
use super::respond::Respond;

/// Delay after a failed accept; without it the loop would spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of the last accepts of a server that stops.
const LAST_ACCEPT_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time of the last accepts.
const LAST_ACCEPT_MAX: Duration = Duration::from_millis(300);

/// A running server.
pub struct Server {
    /// The address that it listens on.
    pub addr: SocketAddr,
    closing: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to serve on `listener` with the default limits.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
    ) -> std::io::Result<Self> {
        Self::start_with_limits(listener, tls, responder, ConnectionLimits::default())
    }

    /// Starts to serve on `listener` with the given limits.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start_with_limits(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
        limits: ConnectionLimits,
    ) -> std::io::Result<Self> {
        Self::start_server(listener, tls, responder, limits, None)
    }

    /// As [`Self::start_with_limits`], but reads requests ahead, and starts those that may overlap
    /// ([`Respond::may_overlap`]) before the ones in front of them have been answered. `budget` bounds
    /// them for all connections.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start_reading_ahead(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
        limits: ConnectionLimits,
        budget: Arc<AheadBudget>,
    ) -> std::io::Result<Self> {
        Self::start_server(listener, tls, responder, limits, Some(budget))
    }

    fn start_server(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
        limits: ConnectionLimits,
        ahead: Option<Arc<AheadBudget>>,
    ) -> std::io::Result<Self> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let closing = Arc::new(AtomicBool::new(false));
        let state = ServerState { responder, tls, closing: closing.clone(), limits, ahead };
        let task = tokio::spawn(accept_loop(listener, Arc::new(state), stopped));
        Ok(Self { addr, closing, stop, task })
    }

    /// Asks clients to close their connections: every further response has `Connection: close`.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections as soon as none has come for a moment. Then a connection without a
    /// request gets a short time to send one.
    /// Returns when all requests in flight are done and all connections are closed.
    pub async fn shutdown(self) {
        self.close_connections();
        // Sending fails only if the accept loop has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

/// Accepts connections until the server stops, and then waits for their end. If the server has been
/// dropped, its listener and its idle connections close at once.
async fn accept_loop(
    listener: TcpListener,
    state: Arc<ServerState>,
    mut stop: watch::Receiver<bool>,
) {
    // Every connection holds a receiver until it has ended.
    let (closed, listener_closed) = watch::channel(false);
    let serve = |stream, from| {
        tokio::spawn(connection::serve(stream, from, state.clone(), listener_closed.clone()));
    };
    let stopped = loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            stopped = stop.changed() => break stopped,
        };
        match accepted {
            Ok((stream, from)) => serve(stream, from),
            Err(e) => {
                log::warn!("http: accept failed: {e}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    };
    state.closing.store(true, Ordering::Relaxed);
    if stopped.is_err() {
        return;
    }
    if let Err(e) = accept_last(listener, serve).await {
        log::warn!("http: accept failed at the end: {e}.");
    }
    drop(listener_closed);
    closed.send_replace(true);
    closed.closed().await;
}

/// Accepts connections until none comes for [`LAST_ACCEPT_INTERVAL`], then closes the listener, which
/// resets those that wait in the backlog. So a surge is let pass, and the close directly follows a
/// wake-up, when the process is unlikely to be suspended.
async fn accept_last(
    listener: TcpListener,
    serve: impl Fn(TcpStream, SocketAddr),
) -> std::io::Result<()> {
    // Tokio's listener would wait for the next event; this one asks the system.
    let listener = listener.into_std()?;
    let end = Instant::now() + LAST_ACCEPT_MAX;
    loop {
        tokio::time::sleep(LAST_ACCEPT_INTERVAL).await;
        let accepted = accept_backlog(&listener, &serve)?;
        if accepted == 0 || Instant::now() >= end {
            return Ok(());
        }
    }
}

/// Accepts the connections that wait in the backlog, and returns how many.
fn accept_backlog(
    listener: &std::net::TcpListener,
    serve: impl Fn(TcpStream, SocketAddr),
) -> std::io::Result<usize> {
    let mut accepted = 0;
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                stream.set_nonblocking(true)?;
                serve(TcpStream::from_std(stream)?, from);
                accepted += 1;
            }
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(accepted),
            Err(e) => return Err(e),
        }
    }
}
