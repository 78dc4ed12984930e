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
use crate::model::{Kind, ObjectId, VmList};
use crate::net::{Respond, Server, bytes_response, json_response, text_response};
use crate::store::{
    MemoryStore, ObjectEdit, Precondition, Store, StoreError, Stored, update_object,
};

/// How long a lost answer keeps its caller waiting.
const LOST: Duration = Duration::from_secs(30);

/// Whether the store answers.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum StoreMode {
    /// As usual.
    #[default]
    Up,
    /// Every call fails at once.
    Down,
    /// No call is answered.
    Stalled,
}

/// The faults of the stand-in.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether it answers.
    pub mode: StoreMode,
    /// Time added to each answer, in milliseconds.
    pub delay_ms: u64,
    /// Writes whose effect takes place and whose answer is lost, counted down.
    pub lose_answers: u64,
    /// Reads return what was stored when this was set.
    pub stale_reads: bool,
    /// Callers, by prefix of their IP address, that get no answer.
    pub cut_off: Vec<String>,
}

/// Calls since the start.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
pub struct StoreCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, taken or not.
    pub writes: u64,
    /// Bytes of written values.
    pub bytes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
}

/// The stand-in, listening on a port for callers and one for faults.
pub struct StoreStandin {
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where faults are set.
    pub fault_addr: SocketAddr,
    _servers: [Server; 2],
}

impl StoreStandin {
    /// Starts a stand-in at two free ports, or at `addr` and a free one.
    ///
    /// # Errors
    /// Fails if it can't listen.
    pub async fn start(addr: SocketAddr) -> Result<Self> {
        let core = Arc::new(Core::default());
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("listen at {addr}"))?;
        let free = SocketAddr::new(addr.ip(), 0);
        let faults = TcpListener::bind(free).await.with_context(|| format!("listen at {free}"))?;
        let calls = Server::start(listener, None, Arc::new(Calls(core.clone())))?;
        let control = Server::start(faults, None, Arc::new(Control(core)))?;
        Ok(Self { addr: calls.addr, fault_addr: control.addr, _servers: [calls, control] })
    }
}

#[derive(Default)]
struct Core {
    store: MemoryStore,
    faults: Mutex<StoreFaults>,
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

struct Calls(Arc<Core>);

#[async_trait]
impl Respond for Calls {
    async fn respond(&self, request: Request<Bytes>, from: SocketAddr) -> Response<Bytes> {
        let core = &self.0;
        let faults = core.faults.lock().expect("faults lock").clone();
        if faults.mode == StoreMode::Stalled || is_cut_off(&faults, from.ip()) {
            tokio::time::sleep(LOST).await;
        }
        if faults.mode == StoreMode::Down {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let path = request.uri().path().to_owned();
        if path == "/v1/watch" {
            return core.watch(request.uri().query().unwrap_or_default()).await;
        }
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        match *request.method() {
            Method::GET => core.read(path).await,
            Method::PUT => core.write(path, &request).await,
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
        }
    }
}

impl Core {
    async fn read(&self, path: &str) -> Response<Bytes> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let snapshot = self.snapshot.lock().expect("snapshot lock").clone();
        let stored = match snapshot {
            Some(snapshot) => snapshot.get(path).cloned(),
            None => self.store.read(path).await.ok().flatten(),
        };
        match stored {
            Some(stored) => {
                let answer = bytes_response(StatusCode::OK, "application/json", stored.value);
                with_revision(answer, stored.revision)
            }
            None => text_response(StatusCode::NOT_FOUND, "nothing is stored here"),
        }
    }

    async fn write(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.counts.bytes.fetch_add(request.body().len() as u64, Ordering::Relaxed);
        let Some(expect) = expectation(request) else {
            return text_response(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match or If-None-Match: *",
            );
        };
        let outcome = self.store.write(path, request.body().clone(), expect).await;
        if self.loses_answer() {
            tokio::time::sleep(LOST).await;
        }
        match outcome {
            Ok(revision) => with_revision(text_response(StatusCode::OK, ""), revision),
            Err(e) => text_response(StatusCode::PRECONDITION_FAILED, &e.cause),
        }
    }

    async fn watch(&self, query: &str) -> Response<Bytes> {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.counts.waiting);
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

    fn loses_answer(&self) -> bool {
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
        let id = ObjectId::new(Kind::Vms, "all");
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

struct Waiting<'a>(&'a AtomicU64);

impl Drop for Waiting<'_> {
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
            (Method::GET, "/counts") => json_response(StatusCode::OK, &core.counts()),
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    core.set_faults(faults).await;
                    text_response(StatusCode::OK, "")
                }
                Err(answer) => *answer,
            },
            (Method::POST, "/vms") => match read_json(&request) {
                Ok(list) => match core.set_vms(&list).await {
                    Ok(version) => text_response(StatusCode::OK, &version.to_string()),
                    Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
                },
                Err(answer) => *answer,
            },
            _ => text_response(StatusCode::NOT_FOUND, "GET /counts, POST /faults or POST /vms"),
        }
    }
}

fn is_cut_off(faults: &StoreFaults, from: IpAddr) -> bool {
    let from = from.to_string();
    faults.cut_off.iter().any(|prefix| from.starts_with(prefix))
}

fn expectation(request: &Request<Bytes>) -> Option<Precondition> {
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
