//! An HTTP/1.1 server with optional TLS, limits per connection and graceful shutdown. Each request
//! is handled by a [`Respond`] through a `gotham` handler.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

/// Largest body of a request that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Default limit of a request line with its headers, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 400 << 10;
/// Smallest buffer limit that `hyper` accepts, in bytes; it panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Default time limit for receiving a request line with its headers.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept; without it the loop would spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Handles the requests of a [`Server`]. Implementors override the method that fits: `respond` if
/// both bodies are whole, `respond_body` to stream the response, `respond_stream` to stream both.
#[async_trait]
pub trait Respond: Send + Sync + 'static {
    /// Handles one request from the client at `from`.
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes>;

    /// Handles a request and may stream the response body; stand-ins use it to send truncated
    /// bodies.
    async fn respond_body(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Body> {
        self.respond(request, from).await.map(full_body)
    }

    /// Handles a request whose body may still be arriving. The default reads it whole first, up to
    /// `MAX_BODY_BYTES`.
    async fn respond_stream(&self, request: Request<Body>, from: SocketAddr) -> Response<Body> {
        match read_request(request).await {
            Ok(request) => self.respond_body(request, from).await,
            Err(status) => {
                let body = Bytes::from(status.to_string());
                bytes_response(status, "text/plain", body).map(full_body)
            }
        }
    }
}

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

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
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let closing = Arc::new(AtomicBool::new(false));
        let state = ServerState { responder, closing: closing.clone(), limits };
        let task = tokio::spawn(accept_loop(listener, tls, Arc::new(state), stopped));
        Ok(Self { addr, closing, stop, task })
    }

    /// Asks clients to close their connections: every further response has `Connection: close`.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and returns when all requests in flight are done.
    pub async fn shutdown(self) {
        self.close_connections();
        // Sending fails only if the accept loop has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

struct ServerState {
    responder: Arc<dyn Respond>,
    closing: Arc<AtomicBool>,
    limits: ConnectionLimits,
}

async fn accept_loop(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    shared: Arc<ServerState>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, from)) => spawn_connection(stream, from, tls.clone(), &shared, &graceful),
            Err(e) => {
                log::warn!("http: accept failed: {e}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(
    stream: TcpStream,
    from: SocketAddr,
    tls: Option<TlsAcceptor>,
    shared: &Arc<ServerState>,
    graceful: &GracefulShutdown,
) {
    let shared = shared.clone();
    let watcher = graceful.watcher();
    let _ = stream.set_nodelay(true);
    let limits = shared.limits;
    tokio::spawn(async move {
        let service = service_fn(move |request| handle(request, from, shared.clone()));
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        let outcome = match tls {
            None => watcher.watch(builder.serve_connection(TokioIo::new(stream), service)).await,
            Some(tls) => match tls.accept(stream).await {
                Ok(stream) => {
                    watcher.watch(builder.serve_connection(TokioIo::new(stream), service)).await
                }
                Err(e) => {
                    log::debug!("http: TLS handshake with {from} failed: {e}.");
                    return;
                }
            },
        };
        if let Err(e) = outcome {
            log::debug!("http: connection from {from} failed: {e}.");
        }
    });
}

async fn handle(
    request: Request<Incoming>,
    from: SocketAddr,
    shared: Arc<ServerState>,
) -> anyhow::Result<Response<Body>> {
    let closing = shared.closing.clone();
    let state = State::from_request(request, from);
    let adapter = Adapter { shared: AssertUnwindSafe(shared), from };
    let mut response = gotham::service::call_handler(adapter, AssertUnwindSafe(state)).await?;
    if closing.load(Ordering::Relaxed) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Passes one request from `gotham` to the responder.
struct Adapter {
    /// Shared by all requests. Asserting unwind safety is sound: a panic in one request leaves no
    /// lock of the state held.
    shared: AssertUnwindSafe<Arc<ServerState>>,
    from: SocketAddr,
}

impl NewHandler for Adapter {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(Adapter { shared: AssertUnwindSafe(self.shared.0.clone()), from: self.from })
    }
}

impl Handler for Adapter {
    fn handle(self, state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        call_responder(state, self.shared.responder.clone(), self.from)
    }
}

fn call_responder(
    mut state: State,
    responder: Arc<dyn Respond>,
    from: SocketAddr,
) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let mut request = Request::new(Body::take_from(&mut state));
        *request.method_mut() = http::Method::take_from(&mut state);
        *request.uri_mut() = http::Uri::take_from(&mut state);
        *request.headers_mut() = http::HeaderMap::take_from(&mut state);
        let response = responder.respond_stream(request, from).await;
        Ok((state, response))
    })
}

async fn read_request(request: Request<Body>) -> Result<Request<Bytes>, StatusCode> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|e| {
        match e.is::<http_body_util::LengthLimitError>() {
            true => StatusCode::PAYLOAD_TOO_LARGE,
            false => StatusCode::BAD_REQUEST,
        }
    })?;
    Ok(Request::from_parts(head, body.to_bytes()))
}

/// Creates a response with the given content type.
pub fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: &str) -> Response<Bytes> {
    bytes_response(status, "text/plain", Bytes::from(text.to_owned()))
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).unwrap_or_else(|e| e.to_string().into_bytes());
    bytes_response(status, "application/json", Bytes::from(body))
}
