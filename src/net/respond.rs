//! The handler of a server's requests, called through `gotham`.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};

use super::read_ahead::LaterRequests;
use super::response::{bytes_response, full_body};
use super::unparsed::UnparsedCause;

/// Largest body of a request that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// When the last byte of a request was read, by [`crate::clock::now`]; an extension of the request. If
/// its body was still arriving when it was passed to its responder, then that moment.
#[derive(Clone, Copy, Debug)]
pub struct Arrival(pub Duration);

/// Handles the requests of a [`Server`](super::Server). Implementors override the method that fits: `respond` if
/// both bodies are whole, `respond_body` to stream the response, `respond_stream` to stream both.
#[async_trait]
pub trait Respond: Send + Sync + 'static {
    /// True if a request without a body may run while others of its connection do, so that it may be
    /// started before those in front of it have been answered. Only servers that read ahead ask.
    fn may_overlap(&self, _method: &Method, _uri: &Uri, _headers: &HeaderMap) -> bool {
        false
    }

    /// Learns that the connection of the client at `from` ended with a head that could not be parsed, so
    /// that it got an error without a request.
    fn unparsed(&self, _from: SocketAddr, _cause: UnparsedCause) {}

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

/// The extensions that a request gets for its responder.
#[derive(Clone, Debug)]
pub(super) struct RequestExtensions {
    pub(super) arrival: Arrival,
    pub(super) later: LaterRequests,
}

/// Passes a request from the client at `from` to the responder.
///
/// # Errors
/// Fails if the responder panics.
pub(super) async fn dispatch<B>(
    request: Request<B>,
    from: SocketAddr,
    responder: Arc<dyn Respond>,
    extensions: RequestExtensions,
) -> anyhow::Result<Response<Body>>
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let state = State::from_request(request, from);
    let extensions = AssertUnwindSafe(extensions);
    let adapter = Adapter { responder: AssertUnwindSafe(responder), from, extensions };
    gotham::service::call_handler(adapter, AssertUnwindSafe(state)).await
}

/// Passes one request from `gotham` to the responder.
struct Adapter {
    /// Asserting unwind safety is sound: a panic in one request leaves no
    /// lock of the responder's state held.
    responder: AssertUnwindSafe<Arc<dyn Respond>>,
    from: SocketAddr,
    /// Passed beside the request, since `gotham` drops its extensions.
    extensions: AssertUnwindSafe<RequestExtensions>,
}

impl NewHandler for Adapter {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        let responder = AssertUnwindSafe(self.responder.0.clone());
        let extensions = AssertUnwindSafe(self.extensions.0.clone());
        Ok(Adapter { responder, from: self.from, extensions })
    }
}

impl Handler for Adapter {
    fn handle(self, state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        call_responder(state, self.responder.0.clone(), self.from, self.extensions.0)
    }
}

fn call_responder(
    mut state: State,
    responder: Arc<dyn Respond>,
    from: SocketAddr,
    extensions: RequestExtensions,
) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let mut request = Request::new(Body::take_from(&mut state));
        *request.method_mut() = http::Method::take_from(&mut state);
        *request.uri_mut() = http::Uri::take_from(&mut state);
        *request.headers_mut() = http::HeaderMap::take_from(&mut state);
        request.extensions_mut().insert(extensions.arrival);
        request.extensions_mut().insert(extensions.later);
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
