//! An HTTP/1.1 client whose errors say whether the request can have reached the peer, so that
//! callers know whether it may be sent again. It bounds what it holds of one response, and of all
//! together.

use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tower_service::Service;

use super::metered::{MeteredBody, MeteredStream, READ_BUFFER_MAX, ReadMeter};
use super::response_budget::{HeldBody, OverBudget, ResponseBudget};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is closed: a device on the path, such as a NAT, may
/// have dropped its state.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Most parts, such as chunks, of a response body. Each costs time, however small it is.
const MAX_RESPONSE_PARTS: usize = 256 << 10;
/// Bytes of all response bodies that a client holds at once, unless it is given a budget.
const DEFAULT_BUDGET_BYTES: usize = 64 << 20;

/// A failed request.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub struct HttpError {
    /// The step that failed.
    pub step: &'static str,
    /// The peer's address.
    pub peer: String,
    /// The cause as text.
    pub cause: String,
    /// False only if no byte of the request can have reached the peer.
    pub maybe_sent: bool,
    /// True if the peer's host refused the connection: no process listens there.
    pub connection_refused: bool,
    /// True if the response had no place beside the others that this client holds. The peer has not
    /// failed.
    pub over_budget: bool,
    /// True if the head of the response holds the status line of another one, so that it proves
    /// nothing.
    pub spliced: bool,
}

/// What its connection was used for before a response came; an extension of the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionUse {
    /// True if an earlier response came on the connection, so that late bytes may precede this one.
    pub(crate) reused: bool,
}

/// How long a response may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Until its head has arrived.
    pub head: Duration,
    /// Between two parts of its body.
    pub part: Duration,
    /// Until it has arrived whole.
    pub whole: Duration,
}

impl From<Duration> for ResponseTimeouts {
    fn from(whole: Duration) -> Self {
        Self { head: whole, part: whole, whole }
    }
}

/// Why a response body can't be read.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("{0}")]
    Read(#[from] hyper::Error),
    #[error("the body is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    #[error("the body has more than {MAX_RESPONSE_PARTS} parts")]
    TooManyParts,
    #[error("{0}")]
    OverBudget(#[from] OverBudget),
    #[error("no part of the body within {} ms", .0.as_millis())]
    Silent(Duration),
}

/// An HTTP/1.1 client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<MeteredConnector, Full<Bytes>>,
    unpooled: Client<MeteredConnector, Full<Bytes>>,
    budget: Arc<ResponseBudget>,
}

/// Opens connections whose reads are metered.
#[derive(Clone, Debug)]
struct MeteredConnector(HttpConnector);

impl HttpClient {
    /// Creates a client; its connections use the local address `bind`, if given.
    pub fn new(bind: Option<IpAddr>) -> Self {
        Self::with_budget(bind, ResponseBudget::new(DEFAULT_BUDGET_BYTES))
    }

    /// As [`Self::new`], but its response bodies hold no more than `budget` allows.
    pub fn with_budget(bind: Option<IpAddr>, budget: Arc<ResponseBudget>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_local_address(bind);
        let connector = MeteredConnector(connector);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.http1_max_buf_size(READ_BUFFER_MAX);
        builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
        let pooled = builder.pool_idle_timeout(POOL_IDLE_TIMEOUT).build(connector.clone());
        let unpooled = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, unpooled, budget }
    }

    /// Sends `request`, over a pooled connection if one is idle, and reads the whole response.
    ///
    /// # Errors
    /// Fails if the response does not arrive within `timeouts`; a single duration is the time for the whole.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        timeouts: impl Into<ResponseTimeouts>,
    ) -> Result<Response<Bytes>, HttpError> {
        self.send_if_own(request, timeouts, |_| true).await
    }

    /// As [`Self::send`], but uses the connection again only if `is_own` tells from the response's
    /// headers that it is the request's own. After another one, the request's own might be taken
    /// for the next one's.
    ///
    /// # Errors
    /// Fails as [`Self::send`] does.
    pub(crate) async fn send_if_own(
        &self,
        request: Request<Bytes>,
        timeouts: impl Into<ResponseTimeouts>,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, HttpError> {
        self.exchange(&self.pooled, request, timeouts.into(), is_own).await
    }

    /// Sends `request` over a new connection and reads the whole response.
    ///
    /// # Errors
    /// Fails if the whole response has not arrived within `timeout`.
    pub async fn send_unpooled(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        self.exchange(&self.unpooled, request, timeout.into(), |_| true).await
    }

    async fn exchange(
        &self,
        client: &Client<MeteredConnector, Full<Bytes>>,
        request: Request<Bytes>,
        timeouts: ResponseTimeouts,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, HttpError> {
        let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        let fail = |step, cause: String, maybe_sent| HttpError {
            step,
            peer: peer.clone(),
            cause,
            maybe_sent,
            connection_refused: false,
            over_budget: false,
            spliced: false,
        };
        let late = |timeout: Duration| {
            fail("await response", format!("none within {} ms", timeout.as_millis()), true)
        };
        let round_trip = async {
            let mut request = request.map(Full::new);
            let connection = capture_connection(&mut request);
            let head = tokio::time::timeout(timeouts.head, client.request(request));
            let response = head.await.map_err(|_| late(timeouts.head))?.map_err(|e| {
                let connection_refused = is_connection_refused(&e);
                HttpError {
                    connection_refused,
                    ..fail("send request", with_sources(&e), !e.is_connect())
                }
            })?;
            let (mut head, body) = response.into_parts();
            let meter = head.extensions.get::<ReadMeter>().cloned().unwrap_or_default();
            let spliced = meter.is_spliced();
            if spliced || !is_own(&head.headers) {
                close_after_use(&connection);
            }
            if spliced {
                let cause = "its head holds the status line of another response".to_owned();
                return Err(HttpError { spliced, ..fail("read response", cause, true) });
            }
            head.extensions.insert(ConnectionUse { reused: meter.is_reused() });
            let body = self.read_body(body, meter, timeouts.part).await.map_err(|e| {
                let over_budget = matches!(e, BodyError::OverBudget(_));
                HttpError { over_budget, ..fail("read response", e.to_string(), true) }
            })?;
            Ok(Response::from_parts(head, body))
        };
        let outcome = tokio::time::timeout(timeouts.whole, round_trip).await;
        outcome.unwrap_or_else(|_| Err(late(timeouts.whole)))
    }

    async fn read_body(
        &self,
        body: Incoming,
        meter: ReadMeter,
        part_timeout: Duration,
    ) -> Result<Bytes, BodyError> {
        meter.reset();
        let length = body.size_hint().exact().map_or(MAX_RESPONSE_BYTES, |l| l as usize);
        if length > MAX_RESPONSE_BYTES {
            return Err(BodyError::TooLong);
        }
        let mut body = MeteredBody { body, meter };
        let mut held = HeldBody::new(self.budget.clone(), length);
        let mut parts = 0;
        loop {
            let part = tokio::time::timeout(part_timeout, body.frame()).await;
            let part = part.map_err(|_| BodyError::Silent(part_timeout))?;
            let Some(frame) = part else { break };
            parts += 1;
            if parts > MAX_RESPONSE_PARTS {
                return Err(BodyError::TooManyParts);
            }
            let Ok(data) = frame?.into_data() else { continue };
            if held.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(BodyError::TooLong);
            }
            held.append(&data)?;
        }
        Ok(held.into_bytes())
    }
}

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connect = self.0.call(uri);
        Box::pin(async move {
            let (stream, meter) = (connect.await?.into_inner(), ReadMeter::default());
            Ok(TokioIo::new(MeteredStream::new(stream, meter)))
        })
    }
}

/// Keeps the connection from being used for another request.
fn close_after_use(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

fn is_connection_refused(error: &hyper_util::client::legacy::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(e) = source {
        if let Some(io) = e.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = e.source();
    }
    false
}

/// The error's message followed by those of its sources.
fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
