//! The handler of a server's requests, called through `gotham`.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::response::{bytes_response, full_body};

/// Largest body of a request that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Handles the requests of a [`Server`](super::Server). Implementors override the method that fits: `respond` if
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

/// Passes a request from the client at `from` to the responder.
///
/// # Errors
/// Fails if the responder panics.
pub(super) async fn dispatch(
    request: Request<Incoming>,
    from: SocketAddr,
    responder: Arc<dyn Respond>,
) -> anyhow::Result<Response<Body>> {
    let state = State::from_request(request, from);
    let adapter = Adapter { responder: AssertUnwindSafe(responder), from };
    gotham::service::call_handler(adapter, AssertUnwindSafe(state)).await
}

/// Passes one request from `gotham` to the responder.
struct Adapter {
    /// Asserting unwind safety is sound: a panic in one request leaves no
    /// lock of the responder's state held.
    responder: AssertUnwindSafe<Arc<dyn Respond>>,
    from: SocketAddr,
}

impl NewHandler for Adapter {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(Adapter { responder: AssertUnwindSafe(self.responder.0.clone()), from: self.from })
    }
}

impl Handler for Adapter {
    fn handle(self, state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        call_responder(state, self.responder.0.clone(), self.from)
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
