//! An HTTP server over `gotham` handlers that can be shut down gracefully.

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

/// Largest request body, in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;
/// Largest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 400 << 10;
/// Least bound on a head that the HTTP library takes, in bytes.
const HEAD_BYTES_MIN: usize = 8 << 10;
/// Longest time to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeBounds {
    /// Longest time until a request's head is there; also the longest time without a request.
    pub head_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
}

impl Default for ServeBounds {
    fn default() -> Self {
        Self { head_timeout: HEAD_TIMEOUT, head_bytes: HEAD_BYTES_MAX }
    }
}

/// Answers whole requests.
#[async_trait]
pub trait Respond: Send + Sync + 'static {
    /// Answers one request of the caller at `from`.
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes>;

    /// Answers with a body of any kind; stand-ins use it to break bodies.
    async fn respond_body(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Body> {
        self.respond(request, from).await.map(whole_body)
    }

    /// Answers a request whose body may still be on its way; reads it whole by default.
    async fn respond_stream(&self, request: Request<Body>, from: SocketAddr) -> Response<Body> {
        match whole_request(request).await {
            Ok(request) => self.respond_body(request, from).await,
            Err(status) => {
                let body = Bytes::from(status.to_string());
                bytes_response(status, "text/plain", body).map(whole_body)
            }
        }
    }
}

/// A body that is sent whole.
pub fn whole_body(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// A listening server.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    closing: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to serve on `listener`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
    ) -> std::io::Result<Self> {
        Self::start_bounded(listener, tls, responder, ServeBounds::default())
    }

    /// Starts to serve on `listener` within `bounds`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start_bounded(
        listener: TcpListener,
        tls: Option<TlsAcceptor>,
        responder: Arc<dyn Respond>,
        bounds: ServeBounds,
    ) -> std::io::Result<Self> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let closing = Arc::new(AtomicBool::new(false));
        let shared = Shared { responder, closing: closing.clone(), bounds };
        let task = tokio::spawn(accept_loop(listener, tls, Arc::new(shared), stopped));
        Ok(Self { addr, closing, stop, task })
    }

    /// Asks callers to close: each further answer carries `Connection: close`.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting, lets requests in flight finish, and returns when the last is done.
    pub async fn shutdown(self) {
        self.close_connections();
        // The receiver is gone only if the loop has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

struct Shared {
    responder: Arc<dyn Respond>,
    closing: Arc<AtomicBool>,
    bounds: ServeBounds,
}

async fn accept_loop(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    shared: Arc<Shared>,
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
) {
    let shared = shared.clone();
    let watcher = graceful.watcher();
    let _ = stream.set_nodelay(true);
    let bounds = shared.bounds;
    tokio::spawn(async move {
        let service = service_fn(move |request| handle(request, from, shared.clone()));
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.head_timeout)
            .max_buf_size(bounds.head_bytes.max(HEAD_BYTES_MIN));
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
            log::debug!("http: connection of {from} ended: {e}.");
        }
    });
}

async fn handle(
    request: Request<Incoming>,
    from: SocketAddr,
    shared: Arc<Shared>,
) -> anyhow::Result<Response<Body>> {
    let closing = shared.closing.clone();
    let state = State::from_request(request, from);
    let gate = Gate { shared: AssertUnwindSafe(shared), from };
    let mut response = gotham::service::call_handler(gate, AssertUnwindSafe(state)).await?;
    if closing.load(Ordering::Relaxed) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// The `gotham` handler of one request.
struct Gate {
    /// Shared by all requests; a panic in one leaves no lock of it held.
    shared: AssertUnwindSafe<Arc<Shared>>,
    from: SocketAddr,
}

impl NewHandler for Gate {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(Gate { shared: AssertUnwindSafe(self.shared.0.clone()), from: self.from })
    }
}

impl Handler for Gate {
    fn handle(self, state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        answer(state, self.shared.responder.clone(), self.from)
    }
}

fn answer(
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

async fn whole_request(request: Request<Body>) -> Result<Request<Bytes>, StatusCode> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_BYTES_MAX).collect().await.map_err(|e| {
        match e.is::<http_body_util::LengthLimitError>() {
            true => StatusCode::PAYLOAD_TOO_LARGE,
            false => StatusCode::BAD_REQUEST,
        }
    })?;
    Ok(Request::from_parts(head, body.to_bytes()))
}

/// A response with a body.
pub fn bytes_response(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// A response with a body of plain text.
pub fn text_response(status: StatusCode, text: &str) -> Response<Bytes> {
    bytes_response(status, "text/plain", Bytes::from(text.to_owned()))
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).unwrap_or_else(|e| e.to_string().into_bytes());
    bytes_response(status, "application/json", Bytes::from(body))
}
