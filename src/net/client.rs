//! An HTTP client that says whether a failed request can have reached the peer.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection older than this is not used again: something between the two ends may have
/// lost track of it.
const IDLE_MAX: Duration = Duration::from_secs(2);
/// Silence after which the kernel checks that the peer still knows the connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Checks without an answer after which a connection is lost.
const KEEPALIVE_TRIES: u32 = 2;
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// A failed request.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {cause}")]
pub struct HttpError {
    /// What was being done.
    pub step: &'static str,
    /// The peer's address.
    pub peer: String,
    /// The cause in words.
    pub cause: String,
    /// False only if no byte of the request can have reached the peer.
    pub sent: bool,
    /// True if the peer's host answered and refused the connection.
    pub refused: bool,
}

/// An HTTP/1.1 client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client whose connections start at `bind`, if one is given.
    pub fn new(bind: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(KEEPALIVE_TRIES));
        connector.set_local_address(bind);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
        let pooled = builder.pool_idle_timeout(IDLE_MAX).build(connector.clone());
        let fresh = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, fresh }
    }

    /// Sends over an idle connection if there is one, and reads the whole answer.
    ///
    /// # Errors
    /// Fails when no whole answer came within `timeout`.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        exchange(&self.pooled, request, timeout).await
    }

    /// Sends over a new connection, and reads the whole answer.
    ///
    /// # Errors
    /// Fails when no whole answer came within `timeout`.
    pub async fn send_fresh(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        exchange(&self.fresh, request, timeout).await
    }
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, HttpError> {
    let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
    let fail = |step, cause: String, sent| HttpError {
        step,
        peer: peer.clone(),
        cause,
        sent,
        refused: false,
    };
    let whole = async {
        let answer = client.request(request.map(Full::new)).await.map_err(|e| {
            let refused = is_refused(&e);
            HttpError { refused, ..fail("send request", chain(&e), !e.is_connect()) }
        })?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|e| fail("read answer", e.to_string(), true))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    match tokio::time::timeout(timeout, whole).await {
        Ok(outcome) => outcome,
        Err(_) => {
            Err(fail("await answer", format!("none within {} ms", timeout.as_millis()), true))
        }
    }
}

fn is_refused(error: &hyper_util::client::legacy::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(e) = source {
        if let Some(io) = e.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = e.source();
    }
    false
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
