//! A stand-in for a target: an HTTP server with a fixed number of slots that records the requests
//! it runs and echoes them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use macro_rules_attribute::apply;
use tokio::net::TcpListener;

use super::read_json;
use crate::common::record;
use crate::net::{Respond, Server, full_body, json_response, text_response};
use crate::node::{LEAVING_HEADER, unix_millis};

/// How long the faults `stall` and `silence` withhold a response.
const WITHHELD_RESPONSE_DELAY: Duration = Duration::from_secs(120);
/// Header with a request's id, which each response echoes.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// The id that responses echo under the fault `stale_id`.
const STALE_ID: &str = "of-an-earlier-request";
/// `Retry-After` of a request that is shed, in seconds, unless a fault names another one.
const DEFAULT_PAUSE: &str = "1";

/// The faults and the speed of the target.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct TargetFaults {
    /// Time that each request runs, in milliseconds.
    pub work_ms: u64,
    /// Requests are run but get no response.
    pub stall: bool,
    /// Every request is shed: refused with status 503 without being run.
    pub shed: bool,
    /// Response bodies break off half-way.
    pub truncate: bool,
    /// A request that contains this text crashes the process, unless the text is empty.
    pub crash_on: String,
    /// The number of running requests to report instead of the true one.
    pub report: Option<u32>,
    /// Connections used before this is set get no more responses; new ones work.
    pub silence: bool,
    /// Every response says that the target leaves, also those to probes.
    pub leaving: bool,
    /// Every request is shed with this value of `Retry-After`, unless the text is empty.
    pub pause: String,
    /// Responses echo the id of another request, as late ones do.
    pub stale_id: bool,
}

/// A request that the target ran.
#[apply(record!)]
pub struct ExecutedRequest {
    /// The request's id.
    pub request: String,
    /// The customer, as named by the entry VM.
    pub customer: String,
    /// The caller's idempotency key, if any.
    pub key: String,
    /// Method and path.
    pub path: String,
    /// The whole request as text, so that tests can check what it must not contain.
    pub seen: String,
}

/// A running stand-in for a target.
pub struct TargetStandin {
    /// The address for requests.
    pub addr: SocketAddr,
    /// The address of the fault port.
    pub fault_addr: SocketAddr,
    _servers: [Server; 2],
}

impl TargetStandin {
    /// Starts a target with `slots` slots at `addr`, with its fault port at a free port of the same
    /// IP address.
    ///
    /// # Errors
    /// Fails if an address can't be listened on.
    pub async fn start(addr: SocketAddr, slots: u32, faults: TargetFaults) -> Result<Self> {
        let state = Arc::new(State {
            slots,
            started_ms: unix_millis(),
            faults: Mutex::new(faults),
            ..State::default()
        });
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("listen at {addr}"))?;
        let free = SocketAddr::new(addr.ip(), 0);
        let fault_listener =
            TcpListener::bind(free).await.with_context(|| format!("listen at {free}"))?;
        let api = Server::start(listener, None, Arc::new(RequestHandler(state.clone())))?;
        let fault_server = Server::start(fault_listener, None, Arc::new(FaultHandler(state)))?;
        Ok(Self { addr: api.addr, fault_addr: fault_server.addr, _servers: [api, fault_server] })
    }
}

#[derive(Default)]
struct State {
    slots: u32,
    /// When it started, in milliseconds since the Unix epoch.
    started_ms: u64,
    running: AtomicU32,
    /// Requests that were shed.
    shed: AtomicU64,
    /// The most requests that ran at once.
    peak: AtomicU32,
    faults: Mutex<TargetFaults>,
    runs: Mutex<Vec<ExecutedRequest>>,
    /// Client addresses (IP and port) of all connections so far.
    clients: Mutex<BTreeSet<SocketAddr>>,
    /// Client addresses of the connections that get no more responses.
    muted: Mutex<BTreeSet<SocketAddr>>,
}

struct RequestHandler(Arc<State>);

#[async_trait]
impl Respond for RequestHandler {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let state = &self.0;
        state.clients.lock().expect("clients lock").insert(from);
        if state.muted.lock().expect("muted lock").contains(&from) {
            tokio::time::sleep(WITHHELD_RESPONSE_DELAY).await;
        }
        let faults = state.faults.lock().expect("faults lock").clone();
        let mut response = match request.uri().path() {
            "/.load" => state.report_load(&faults),
            _ => state.run(&request, &faults).await,
        };
        let headers = response.headers_mut();
        match request.headers().get(REQUEST_ID_HEADER) {
            Some(_) if faults.stale_id => {
                headers.insert(REQUEST_ID_HEADER, HeaderValue::from_static(STALE_ID));
            }
            Some(id) => {
                headers.insert(REQUEST_ID_HEADER, id.clone());
            }
            None => {}
        }
        if faults.leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
        }
        response
    }

    async fn respond_body(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Body> {
        let truncate = self.0.faults.lock().expect("faults lock").truncate;
        let response = self.respond(request, from).await;
        if !truncate {
            return response.map(full_body);
        }
        let (mut head, bytes) = response.into_parts();
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        let half = bytes.slice(..bytes.len() / 2);
        Response::from_parts(head, Truncated { half: Some(half) }.boxed_unsync())
    }
}

impl State {
    fn report_load(&self, faults: &TargetFaults) -> Response<Bytes> {
        let running = self.running.load(Ordering::Relaxed);
        let load = BTreeMap::from([
            ("running", u64::from(faults.report.unwrap_or(running))),
            ("slots", u64::from(self.slots)),
            ("started_ms", self.started_ms),
        ]);
        json_response(StatusCode::OK, &load)
    }

    /// Runs or sheds a request.
    async fn run(&self, request: &Request<Bytes>, faults: &TargetFaults) -> Response<Bytes> {
        let _guard = RunningGuard(&self.running);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(running, Ordering::Relaxed);
        if faults.shed || !faults.pause.is_empty() || running > self.slots {
            return self.shed(faults);
        }
        let run = to_executed(request);
        self.runs.lock().expect("runs lock").push(run.clone());
        if !faults.crash_on.is_empty() && run.seen.contains(&faults.crash_on) {
            // The exit status that a shell reports for a process ended by SIGABRT: 128 + 6.
            std::process::exit(134);
        }
        tokio::time::sleep(Duration::from_millis(faults.work_ms)).await;
        if faults.stall {
            tokio::time::sleep(WITHHELD_RESPONSE_DELAY).await;
        }
        let echo = BTreeMap::from([
            ("customer", run.customer),
            ("path", run.path),
            ("echo", String::from_utf8_lossy(request.body()).into_owned()),
        ]);
        json_response(StatusCode::OK, &echo)
    }

    /// Sheds a request.
    fn shed(&self, faults: &TargetFaults) -> Response<Bytes> {
        self.shed.fetch_add(1, Ordering::Relaxed);
        let pause = if faults.pause.is_empty() { DEFAULT_PAUSE } else { &faults.pause };
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
        if let Ok(value) = HeaderValue::from_str(pause) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response.headers_mut().insert("x-shed", HeaderValue::from_static("1"));
        response
    }
}

/// A body that fails after its first half.
struct Truncated {
    half: Option<Bytes>,
}

impl hyper::body::Body for Truncated {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let fail = || Err(std::io::Error::other("body truncated by an injected fault"));
        Poll::Ready(Some(self.half.take().map_or_else(fail, |half| Ok(Frame::data(half)))))
    }
}

/// Decrements the number of running requests when dropped.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct FaultHandler(Arc<State>);

#[async_trait]
impl Respond for FaultHandler {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        let state = &self.0;
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/runs") => {
                json_response(StatusCode::OK, &*state.runs.lock().expect("runs lock"))
            }
            (Method::GET, "/peak") => {
                text_response(StatusCode::OK, &state.peak.load(Ordering::Relaxed).to_string())
            }
            (Method::GET, "/shed") => {
                text_response(StatusCode::OK, &state.shed.load(Ordering::Relaxed).to_string())
            }
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    state.set_faults(faults);
                    text_response(StatusCode::OK, "")
                }
                Err(response) => *response,
            },
            _ => text_response(StatusCode::NOT_FOUND, "GET /runs, /peak or /shed, or POST /faults"),
        }
    }
}

impl State {
    fn set_faults(&self, faults: TargetFaults) {
        let muted = match faults.silence {
            true => self.clients.lock().expect("clients lock").clone(),
            false => BTreeSet::new(),
        };
        *self.muted.lock().expect("muted lock") = muted;
        *self.faults.lock().expect("faults lock") = faults;
    }
}

fn to_executed(request: &Request<Bytes>) -> ExecutedRequest {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut seen = format!("{} {}\n", request.method(), request.uri());
    for (name, value) in request.headers() {
        seen.push_str(&format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes())));
    }
    seen.push_str(&String::from_utf8_lossy(request.body()));
    ExecutedRequest {
        request: header(REQUEST_ID_HEADER),
        customer: header("x-shallot-customer"),
        key: header("idempotency-key"),
        path: format!("{} {}", request.method(), request.uri()),
        seen,
    }
}
