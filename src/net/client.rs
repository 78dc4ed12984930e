//! An HTTP/1.1 client whose errors say whether the request can have reached the peer, so that
//! callers know whether it may be sent again.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

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
}

/// An HTTP/1.1 client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client; its connections use the local address `bind`, if given.
    pub fn new(bind: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_local_address(bind);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
        let pooled = builder.pool_idle_timeout(POOL_IDLE_TIMEOUT).build(connector.clone());
        let unpooled = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, unpooled }
    }

    /// Sends `request`, over a pooled connection if one is idle, and reads the whole response.
    ///
    /// # Errors
    /// Fails if the whole response has not arrived within `timeout`.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        exchange(&self.pooled, request, timeout).await
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
        exchange(&self.unpooled, request, timeout).await
    }
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, HttpError> {
    let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
    let fail = |step, cause: String, maybe_sent| HttpError {
        step,
        peer: peer.clone(),
        cause,
        maybe_sent,
        connection_refused: false,
    };
    let round_trip = async {
        let response = client.request(request.map(Full::new)).await.map_err(|e| {
            let connection_refused = is_connection_refused(&e);
            HttpError {
                connection_refused,
                ..fail("send request", with_sources(&e), !e.is_connect())
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| fail("read response", e.to_string(), true))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    match tokio::time::timeout(timeout, round_trip).await {
        Ok(outcome) => outcome,
        Err(_) => {
            Err(fail("await response", format!("none within {} ms", timeout.as_millis()), true))
        }
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
