//! One connection of a server.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gotham::helpers::http::Body;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_rustls::TlsAcceptor;

use super::headers::connection_options;
use super::linger;
use super::progress::{REQUEST_WAIT, SharedProgress};
use super::read_ahead::{
    AheadBudget, HandlerContext, ReadAheadStream, ReadState, RequestTurn, Session,
};
use super::respond::{self, Respond};
use super::tracked::{TrackedStream, hold_until_sent};
use super::unparsed::UnparsedCause;
use crate::clock;

/// Default limit of a request line with its headers, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 400 << 10;
/// Smallest buffer limit that `hyper` accepts, in bytes; it panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Default time limit for receiving a request line with its headers.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Time limit for receiving a request line with its headers. It also limits the time
    /// between requests.
    pub header_timeout: Duration,
    /// Largest request line with its headers, in bytes, but at least `MIN_BUFFER_BYTES`.
    pub max_header_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { header_timeout: DEFAULT_HEADER_TIMEOUT, max_header_bytes: DEFAULT_MAX_HEADER_BYTES }
    }
}

/// What all connections of a server share.
pub(super) struct ServerState {
    pub(super) responder: Arc<dyn Respond>,
    pub(super) tls: Option<TlsAcceptor>,
    /// True once every response has `Connection: close`.
    pub(super) closing: Arc<AtomicBool>,
    pub(super) limits: ConnectionLimits,
    /// The bound on requests that run ahead; without it, nothing is read ahead.
    pub(super) ahead: Option<Arc<AheadBudget>>,
}

/// Serves the requests of the client at `from` until the connection ends.
pub(super) async fn serve(
    stream: TcpStream,
    from: SocketAddr,
    state: Arc<ServerState>,
    listener_closed: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let Some(tls) = state.tls.clone() else {
        return serve_requests(stream, from, state, listener_closed).await;
    };
    match tls.accept(stream).await {
        Ok(stream) => serve_requests(stream, from, state, listener_closed).await,
        Err(e) => log::debug!("http: TLS handshake with {from} failed: {e}."),
    }
}

/// Serves until the connection ends. One that a stopping server finds idle is served on if a request has
/// come since it was last read.
async fn serve_requests(
    mut stream: impl AsyncRead + AsyncWrite + ReadState + Send + Unpin + 'static,
    from: SocketAddr,
    state: Arc<ServerState>,
    mut listener_closed: watch::Receiver<bool>,
) {
    while let Some(idle) = serve_until_idle(stream, from, &state, &mut listener_closed).await {
        stream = idle;
        if !stream.has_unread() {
            // Fails if the client has left.
            let _ = stream.shutdown().await;
            return;
        }
    }
}

/// Serves until the connection ends, or until the server has stopped and the connection is idle. Then
/// returns its stream, unless the start of a request has been read: what follows is no request.
async fn serve_until_idle<S>(
    stream: S,
    from: SocketAddr,
    state: &ServerState,
    listener_closed: &mut watch::Receiver<bool>,
) -> Option<S>
where
    S: AsyncRead + AsyncWrite + ReadState + Send + Unpin + 'static,
{
    let builder = http_builder(&state.limits);
    let progress = SharedProgress::new(Instant::now());
    let context = HandlerContext {
        responder: state.responder.clone(),
        from,
        progress: progress.clone(),
        closing: state.closing.clone(),
    };
    let session = read_ahead_session(state, &context);
    let stream = TrackedStream::new(stream, progress.clone());
    let stream = TokioIo::new(ReadAheadStream::new(stream, session.clone()));
    let service = service_fn(move |request| {
        let turn = begin_turn(&request, session.as_ref(), &context.progress);
        Box::pin(handle(request, turn, context.clone(), session.clone()))
    });
    let mut connection = builder.serve_connection(stream, service);
    let ended = tokio::select! {
        biased;
        outcome = &mut connection => Some(outcome),
        () = idle_after_close(listener_closed, &progress) => None,
    };
    let was_idle = ended.is_none();
    let outcome = match ended {
        Some(outcome) => outcome,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    if let Err(e) = &outcome {
        log::debug!("http: connection from {from} failed: {e}.");
        if let Some(cause) = UnparsedCause::of(e) {
            state.responder.unparsed(from, cause);
        }
    }
    // Also drops what is left of the session, and with it all tasks.
    let parts = connection.into_parts();
    let stream = parts.io.into_inner();
    let at_boundary = parts.read_buf.is_empty() && !stream.has_read_ahead();
    let stream = stream.into_inner().into_inner();
    let progress = *progress.lock();
    let quiet = progress.is_quiet(Instant::now());
    if may_have_responded(&outcome) && !quiet {
        linger::close(stream).await;
        return None;
    }
    let may_go_on = was_idle && outcome.is_ok() && at_boundary && !progress.is_receiving();
    may_go_on.then_some(stream)
}

/// Returns when the listener of a stopping server has closed and the connection is idle: its client has had
/// time to send a request, and none is being answered. If the server has been dropped, returns at once.
async fn idle_after_close(listener_closed: &mut watch::Receiver<bool>, progress: &SharedProgress) {
    if listener_closed.wait_for(|closed| *closed).await.is_err() {
        return;
    }
    let closed = Instant::now();
    loop {
        let close_at = progress.lock().close_at(closed);
        let check_at = close_at.unwrap_or_else(|| Instant::now() + REQUEST_WAIT);
        tokio::time::sleep_until(check_at).await;
        // Lets the connection read what has come while the process was busy.
        tokio::task::yield_now().await;
        let close_at = progress.lock().close_at(closed);
        if close_at.is_some_and(|at| at <= Instant::now()) {
            return;
        }
    }
}

/// True unless the connection failed in a way that leaves its last response incomplete. `hyper` answers
/// a request that it can't parse.
fn may_have_responded(outcome: &hyper::Result<()>) -> bool {
    outcome.as_ref().map_or_else(hyper::Error::is_parse, |()| true)
}

fn http_builder(limits: &ConnectionLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // Reading ahead needs a header timeout: with one, `hyper` reads again after each response, also if
    // its last read was pending and the stream has the next request already.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

fn read_ahead_session(state: &ServerState, context: &HandlerContext) -> Option<Session> {
    let budget = state.ahead.clone()?;
    let bytes_max = state.limits.max_header_bytes.max(MIN_BUFFER_BYTES);
    Some(Session::new(bytes_max, context.clone(), budget))
}

fn begin_turn(
    request: &Request<Incoming>,
    session: Option<&Session>,
    progress: &SharedProgress,
) -> RequestTurn {
    let now = clock::now();
    match session {
        Some(session) => session.begin_turn(request, now),
        None => RequestTurn::alone(now, progress.start_request()),
    }
}

async fn handle(
    request: Request<Incoming>,
    turn: RequestTurn,
    context: HandlerContext,
    session: Option<Session>,
) -> anyhow::Result<Response<Body>> {
    let HandlerContext { responder, from, closing, .. } = context;
    let mut response = match turn.task {
        Some(task) => task.await??,
        None => respond::dispatch(request, from, responder, turn.extensions).await?,
    };
    let closing = closing.load(Ordering::Relaxed);
    match session {
        Some(session) => settle_close(&mut response, closing, &session),
        None if closing => set_close(&mut response),
        None => {}
    }
    Ok(hold_until_sent(response, turn.guard))
}

/// Closes the connection with this response if the server or the responder wants that, unless a request
/// behind it has been started. Then a later response does.
fn settle_close(response: &mut Response<Body>, closing: bool, session: &Session) {
    let wanted = closing || connection_options(response.headers()).iter().any(|o| o == "close");
    if session.closes(wanted) {
        set_close(response);
    } else if wanted {
        response.headers_mut().remove(CONNECTION);
    }
}

fn set_close(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
