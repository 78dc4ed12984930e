//! A stand-in for a target: a worker with a number of slots.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
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

/// How long a silent connection or a stalled answer keeps its caller waiting.
const SILENCE: Duration = Duration::from_secs(120);

/// The faults of the stand-in.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct TargetFaults {
    /// Time that a request runs, in milliseconds.
    pub work_ms: u64,
    /// Requests run, but no answer comes.
    pub stall: bool,
    /// Every request is shed.
    pub shed: bool,
    /// Answers end half-way.
    pub truncate: bool,
    /// A request whose path or body has this text ends the process.
    pub crash_on: String,
    /// The number of running requests that is reported, in place of the true one.
    pub report: Option<u32>,
    /// Connections open when this is set get no more answers; new ones work.
    pub silence: bool,
}

/// A request that the target ran.
#[apply(record!)]
pub struct ExecutedRequest {
    /// The request's id.
    pub request: String,
    /// The customer named by the entry VM.
    pub customer: String,
    /// The caller's idempotency key, if any.
    pub key: String,
    /// Method and path.
    pub path: String,
    /// All headers and the body as text, to look for what must not be there.
    pub seen: String,
}

/// The stand-in, listening on a port for requests and one for faults.
pub struct TargetStandin {
    /// Where requests reach it.
    pub addr: SocketAddr,
    /// Where faults are set.
    pub fault_addr: SocketAddr,
    _servers: [Server; 2],
}

impl TargetStandin {
    /// Starts a target with `slots` at a free port of the address `at`.
    ///
    /// # Errors
    /// Fails if it can't listen.
    pub async fn start(at: SocketAddr, slots: u32, faults: TargetFaults) -> Result<Self> {
        let core = Arc::new(Core { slots, faults: Mutex::new(faults), ..Core::default() });
        let listener = TcpListener::bind(at).await.with_context(|| format!("listen at {at}"))?;
        let free = SocketAddr::new(at.ip(), 0);
        let faults = TcpListener::bind(free).await.with_context(|| format!("listen at {free}"))?;
        let calls = Server::start(listener, None, Arc::new(Calls(core.clone())))?;
        let control = Server::start(faults, None, Arc::new(Control(core)))?;
        Ok(Self { addr: calls.addr, fault_addr: control.addr, _servers: [calls, control] })
    }
}

#[derive(Default)]
struct Core {
    slots: u32,
    running: AtomicU32,
    peak: AtomicU32,
    faults: Mutex<TargetFaults>,
    runs: Mutex<Vec<ExecutedRequest>>,
    seen: Mutex<BTreeSet<SocketAddr>>,
    silent: Mutex<BTreeSet<SocketAddr>>,
}

struct Calls(Arc<Core>);

#[async_trait]
impl Respond for Calls {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let core = &self.0;
        core.seen.lock().expect("seen lock").insert(from);
        if core.silent.lock().expect("silent lock").contains(&from) {
            tokio::time::sleep(SILENCE).await;
        }
        let faults = core.faults.lock().expect("faults lock").clone();
        if request.uri().path() == "/.load" {
            let running = core.running.load(Ordering::Relaxed);
            let load = BTreeMap::from([
                ("running", faults.report.unwrap_or(running)),
                ("slots", core.slots),
            ]);
            return json_response(StatusCode::OK, &load);
        }
        let _slot = Slot(&core.running);
        let running = core.running.fetch_add(1, Ordering::Relaxed) + 1;
        core.peak.fetch_max(running, Ordering::Relaxed);
        if faults.shed || running > core.slots {
            let mut shed = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
            shed.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            shed.headers_mut().insert("x-shed", HeaderValue::from_static("1"));
            return shed;
        }
        let run = describe(&request);
        core.runs.lock().expect("runs lock").push(run.clone());
        if !faults.crash_on.is_empty() && run.seen.contains(&faults.crash_on) {
            std::process::exit(134);
        }
        tokio::time::sleep(Duration::from_millis(faults.work_ms)).await;
        if faults.stall {
            tokio::time::sleep(SILENCE).await;
        }
        let answer = BTreeMap::from([
            ("customer", run.customer),
            ("path", run.path),
            ("echo", String::from_utf8_lossy(request.body()).into_owned()),
        ]);
        json_response(StatusCode::OK, &answer)
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

/// A body that breaks after its first part.
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
        let broken = || Err(std::io::Error::other("broken on purpose"));
        Poll::Ready(Some(self.half.take().map_or_else(broken, |half| Ok(Frame::data(half)))))
    }
}

struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Control(Arc<Core>);

#[async_trait]
impl Respond for Control {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        let core = &self.0;
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/runs") => {
                json_response(StatusCode::OK, &*core.runs.lock().expect("runs lock"))
            }
            (Method::GET, "/peak") => {
                text_response(StatusCode::OK, &core.peak.load(Ordering::Relaxed).to_string())
            }
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    core.set_faults(faults);
                    text_response(StatusCode::OK, "")
                }
                Err(answer) => *answer,
            },
            _ => text_response(StatusCode::NOT_FOUND, "GET /runs, GET /peak or POST /faults"),
        }
    }
}

impl Core {
    fn set_faults(&self, faults: TargetFaults) {
        let silent = match faults.silence {
            true => self.seen.lock().expect("seen lock").clone(),
            false => BTreeSet::new(),
        };
        *self.silent.lock().expect("silent lock") = silent;
        *self.faults.lock().expect("faults lock") = faults;
    }
}

fn describe(request: &Request<Bytes>) -> ExecutedRequest {
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
        request: header("x-request-id"),
        customer: header("x-shallot-customer"),
        key: header("idempotency-key"),
        path: format!("{} {}", request.method(), request.uri()),
        seen,
    }
}
