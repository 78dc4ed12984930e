//! A stand-in for the platform's store and its list of VMs.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use macro_rules_attribute::apply;
use tokio::net::TcpListener;

use super::read_json;
use crate::common::record;
use crate::model::{ObjectId, ObjectKind, VmList};
use crate::net::{Respond, Server, bytes_response, json_response, text_response};
use crate::store::{
    MemoryStore, ObjectEdit, Precondition, Store, StoreError, Stored, update_object,
};

/// How long a response is withheld while it counts as lost.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Whether the store responds.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum StoreMode {
    /// It works.
    #[default]
    Up,
    /// Every call fails at once with status 503.
    Down,
    /// Calls get no response.
    Stalled,
}

/// The faults of the store.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether it responds.
    pub mode: StoreMode,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but whose response is lost.
    pub lose_answers: u64,
    /// Reads return what was stored when this was set.
    pub stale_reads: bool,
    /// Prefixes of the IP addresses of clients that get no response.
    pub cut_off: Vec<String>,
}

/// Numbers of calls since the start.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
pub struct StoreCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, also those whose precondition failed.
    pub writes: u64,
    /// Total size of the values in these writes, in bytes.
    pub bytes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}

/// A running stand-in for the store.
pub struct StoreStandin {
    /// The address of the store.
    pub addr: SocketAddr,
    /// The address of the fault port.
    pub fault_addr: SocketAddr,
    _servers: [Server; 2],
}

impl StoreStandin {
    /// Starts a store at `addr`, with its fault port at a free port of the same IP address.
    ///
    /// # Errors
    /// Fails if an address can't be listened on.
    pub async fn start(addr: SocketAddr) -> Result<Self> {
        let state = Arc::new(State::default());
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("listen at {addr}"))?;
        let free = SocketAddr::new(addr.ip(), 0);
        let fault_listener =
            TcpListener::bind(free).await.with_context(|| format!("listen at {free}"))?;
        let api = Server::start(listener, None, Arc::new(ApiHandler(state.clone())))?;
        let fault_server = Server::start(fault_listener, None, Arc::new(FaultHandler(state)))?;
        Ok(Self { addr: api.addr, fault_addr: fault_server.addr, _servers: [api, fault_server] })
    }
}

#[derive(Default)]
struct State {
    store: MemoryStore,
    faults: Mutex<StoreFaults>,
    /// A copy of the values from when `stale_reads` was set; reads return it until that is cleared.
    snapshot: Mutex<Option<Arc<MemorySnapshot>>>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    bytes: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
}

type MemorySnapshot = std::collections::BTreeMap<String, Stored>;

struct ApiHandler(Arc<State>);

#[async_trait]
impl Respond for ApiHandler {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let state = &self.0;
        let faults = state.faults.lock().expect("faults lock").clone();
        if faults.mode == StoreMode::Stalled || is_cut_off(&faults, from.ip()) {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        }
        if faults.mode == StoreMode::Down {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let path = request.uri().path().to_owned();
        if path == "/v1/watch" {
            return state.watch(request.uri().query().unwrap_or_default()).await;
        }
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        match *request.method() {
            Method::GET => state.read(path).await,
            Method::PUT => state.write(path, &request).await,
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
        }
    }
}

impl State {
    async fn read(&self, path: &str) -> Response<Bytes> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let snapshot = self.snapshot.lock().expect("snapshot lock").clone();
        let stored = match snapshot {
            Some(snapshot) => snapshot.get(path).cloned(),
            None => self.store.read(path).await.ok().flatten(),
        };
        match stored {
            Some(stored) => {
                let response = bytes_response(StatusCode::OK, "application/json", stored.value);
                with_revision(response, stored.revision)
            }
            None => text_response(StatusCode::NOT_FOUND, "nothing is stored here"),
        }
    }

    async fn write(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.counts.bytes.fetch_add(request.body().len() as u64, Ordering::Relaxed);
        let Some(precondition) = parse_precondition(request) else {
            return text_response(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match or If-None-Match: *",
            );
        };
        let outcome = self.store.write(path, request.body().clone(), precondition).await;
        if self.take_lost_response() {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        }
        match outcome {
            Ok(revision) => with_revision(text_response(StatusCode::OK, ""), revision),
            Err(e) => text_response(StatusCode::PRECONDITION_FAILED, &e.cause),
        }
    }

    async fn watch(&self, query: &str) -> Response<Bytes> {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        let _guard = WaitingGuard(&self.counts.waiting);
        let (mut prefix, mut after, mut wait) = (String::new(), 0, 0);
        for (name, value) in url::form_urlencoded::parse(query.as_bytes()) {
            match name.as_ref() {
                "prefix" => prefix = value.into_owned(),
                "after" => after = value.parse().unwrap_or(0),
                "wait_ms" => wait = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        let wait = Duration::from_millis(wait);
        match self.store.watch(&prefix, after, wait).await {
            Ok(changes) => json_response(StatusCode::OK, &changes),
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    /// Returns true if the response of this write is to be lost, and counts it.
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults.lock().expect("faults lock");
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    async fn set_faults(&self, faults: StoreFaults) {
        let stale = faults.stale_reads;
        *self.faults.lock().expect("faults lock") = faults;
        let mut snapshot = None;
        if stale {
            let mut values = MemorySnapshot::new();
            for change in self.store.changes("", 0).changes {
                if let Ok(Some(stored)) = self.store.read(&change.path).await {
                    values.insert(change.path, stored);
                }
            }
            snapshot = Some(Arc::new(values));
        }
        *self.snapshot.lock().expect("snapshot lock") = snapshot;
    }

    async fn set_vms(&self, list: &VmList) -> Result<u64, StoreError> {
        let id = ObjectId::new(ObjectKind::Vms, "all");
        let body = serde_json::to_string(list).expect("lists are always valid JSON");
        let operation = format!("platform-{}", rand::random::<u64>());
        let change = |_: Option<&_>| Ok::<_, StoreError>(ObjectEdit::Write(body.clone()));
        let updated = update_object(&self.store, &id, &operation, change).await?;
        Ok(updated.object.map_or(0, |o| o.version))
    }

    fn counts(&self) -> StoreCounts {
        StoreCounts {
            reads: self.counts.reads.load(Ordering::Relaxed),
            writes: self.counts.writes.load(Ordering::Relaxed),
            bytes: self.counts.bytes.load(Ordering::Relaxed),
            watches: self.counts.watches.load(Ordering::Relaxed),
            waiting: self.counts.waiting.load(Ordering::Relaxed),
        }
    }
}

/// Decrements the number of waiting watches when dropped.
struct WaitingGuard<'a>(&'a AtomicU64);

impl Drop for WaitingGuard<'_> {
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
            (Method::GET, "/counts") => json_response(StatusCode::OK, &state.counts()),
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    state.set_faults(faults).await;
                    text_response(StatusCode::OK, "")
                }
                Err(response) => *response,
            },
            (Method::POST, "/vms") => match read_json(&request) {
                Ok(list) => match state.set_vms(&list).await {
                    Ok(version) => text_response(StatusCode::OK, &version.to_string()),
                    Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
                },
                Err(response) => *response,
            },
            _ => text_response(StatusCode::NOT_FOUND, "GET /counts, POST /faults or POST /vms"),
        }
    }
}

fn is_cut_off(faults: &StoreFaults, from: IpAddr) -> bool {
    let from = from.to_string();
    faults.cut_off.iter().any(|prefix| from.starts_with(prefix))
}

/// Parses the precondition of a write; `None` if there is none or it is invalid.
fn parse_precondition(request: &Request<Bytes>) -> Option<Precondition> {
    if request.headers().contains_key(IF_NONE_MATCH) {
        return Some(Precondition::Absent);
    }
    let text = request.headers().get(IF_MATCH)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Precondition::Revision)
}

fn with_revision(mut response: Response<Bytes>, revision: u64) -> Response<Bytes> {
    let value = HeaderValue::from_str(&format!("\"{revision}\"")).expect("digits and quotes");
    response.headers_mut().insert(ETAG, value);
    response
}
