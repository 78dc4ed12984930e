//! The operators' port: documents, keys, drains, shifts, status and metrics.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::common::record;
use crate::model::{
    CustomerId, Drains, KeyDigest, KeyEntry, KeySet, KeyState, Kind, Object, ObjectId, ServiceId,
    Subject, VmId, new_key, parse_document,
};
use crate::net::{Respond, bytes_response, json_response};
use crate::peer::{Body, Explain};
use crate::plan::Plan;
use crate::store::{Expect, Outcome, StoreError, StoreFault, Updated, update_object};

use super::life::DaemonState;
use super::{Node, peers, records, watcher};

/// Longest wait for the confirmations of other VMs.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a record of another VM.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Tries to keep an earlier document.
const HISTORY_TRIES: u32 = 3;
/// Prefix of the paths of earlier documents.
const HISTORY_PREFIX: &str = "history/";

/// A failed request of an operator.
#[derive(Debug, thiserror::Error)]
enum OperatorError {
    #[error("{0}")]
    Bad(String),
    #[error("{0}")]
    Missing(String),
    #[error("{0}")]
    Conflict(String),
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl OperatorError {
    fn status(&self) -> StatusCode {
        match self {
            OperatorError::Bad(_) => StatusCode::BAD_REQUEST,
            OperatorError::Missing(_) => StatusCode::NOT_FOUND,
            OperatorError::Conflict(_) => StatusCode::CONFLICT,
            OperatorError::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The outcome of a change.
#[apply(record!)]
pub struct Changed {
    /// The object.
    pub object: String,
    /// Its version now.
    pub version: u64,
    /// False if nothing had to be changed.
    pub written: bool,
    /// Entry VMs that have not confirmed the change, by zone.
    pub unconfirmed: BTreeMap<String, Vec<String>>,
    /// The key, where one was issued; shown this once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// A document as operators see it.
#[apply(record!)]
pub struct Shown {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// The state of a VM.
#[apply(record!)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// Its life cycle state.
    pub state: String,
    /// Age of its knowledge of the store, in milliseconds.
    pub age_ms: u64,
    /// Parts of every rate that it owns, of 1048576.
    pub parts: u32,
    /// Slices of its zone that it owns, of 256.
    pub slices: usize,
    /// Versions of all objects.
    pub versions: BTreeMap<String, u64>,
    /// Objects that can't be used, with the cause.
    pub lapses: BTreeMap<String, String>,
    /// Peers, and whether they answer.
    pub peers: BTreeMap<String, bool>,
    /// Targets that it serves, with state and running requests.
    pub targets: BTreeMap<String, String>,
    /// Where the pool of each account is.
    pub homes: BTreeMap<String, String>,
}

/// Answers operators.
pub(crate) struct Operating {
    node: Arc<Node>,
    token: [u8; 32],
}

impl Operating {
    pub(crate) fn new(node: Arc<Node>, token: String) -> Self {
        Self { node, token: Sha256::digest(token.as_bytes()).into() }
    }

    fn is_allowed(&self, request: &Request<Bytes>) -> bool {
        let header = request.headers().get(http::header::AUTHORIZATION);
        let text = header.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let given = Sha256::digest(text.strip_prefix("Bearer ").unwrap_or_default().as_bytes());
        self.token.as_slice().ct_eq(given.as_slice()).into()
    }

    async fn act(&self, request: &Request<Bytes>) -> Result<Response<Bytes>, OperatorError> {
        let node = &self.node;
        let query = Query::of(request);
        let path: Vec<&str> = request.uri().path().trim_matches('/').split('/').collect();
        match (request.method().as_str(), path.as_slice()) {
            ("GET", ["v1", "status"]) => Ok(json_response(StatusCode::OK, &status(node))),
            ("GET", ["v1", "services"]) => Ok(json_response(StatusCode::OK, &services(node))),
            ("GET", ["v1", "services", name]) => {
                let shown = show(node, name, query.number("version")?).await?;
                Ok(json_response(StatusCode::OK, &shown))
            }
            ("PUT", ["v1", "services", name]) => {
                let text = text_of(request)?;
                done(apply(node, name, text, query.number("expect")?).await)
            }
            ("DELETE", ["v1", "services", name]) => {
                done(remove(node, name, query.number("expect")?).await)
            }
            ("POST", ["v1", "services", name, "shift"]) => {
                done(shift(node, name, &parse(request)?).await)
            }
            ("POST", ["v1", "keys", customer]) => done(issue(node, customer).await),
            ("GET", ["v1", "keys", customer]) => {
                Ok(json_response(StatusCode::OK, &keys(node, customer).await?))
            }
            ("DELETE", ["v1", "keys", customer, digest]) => {
                done(withdraw(node, customer, digest).await)
            }
            ("POST", ["v1", "drains"]) => done(drain(node, &parse(request)?, true).await),
            ("DELETE", ["v1", "drains"]) => done(drain(node, &parse(request)?, false).await),
            ("GET", ["v1", "requests", id]) => explain(node, id).await,
            _ => Err(OperatorError::Missing("no such path; see docs/INTERFACES.md".to_owned())),
        }
    }
}

#[async_trait]
impl Respond for Operating {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => text(StatusCode::OK, "live"),
            (&Method::GET, "/ready") => return ready(&self.node),
            (&Method::GET, "/metrics") => text(StatusCode::OK, &metrics(&self.node)),
            _ if !self.is_allowed(&request) => {
                error(StatusCode::UNAUTHORIZED, "send the operators' token as a bearer token")
            }
            _ => match self.act(&request).await {
                Ok(response) => response,
                Err(e) => error(e.status(), &e.to_string()),
            },
        }
    }
}

/// Whether this VM takes new callers.
pub(crate) fn ready(node: &Node) -> Response<Bytes> {
    match node.life.state() {
        DaemonState::Ready => text(StatusCode::OK, "ready"),
        DaemonState::Starting => {
            text(StatusCode::SERVICE_UNAVAILABLE, "no configuration from the store or a peer yet")
        }
        _ => text(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    }
}

fn metrics(node: &Node) -> String {
    let now = Instant::now();
    let metrics = &node.metrics;
    let late: u64 = node.mesh.peers().iter().map(|p| p.client.late_answers()).sum();
    metrics.late.set(late as i64);
    metrics.parts.set(node.escrow.with(|e| e.parts()).into());
    metrics.slices.set(node.fleet.slices().len() as i64);
    metrics.age_ms.set(node.freshness.age(now).as_millis() as i64);
    metrics.open_claims.set(node.desk.open() as i64);
    metrics.text()
}

fn status(node: &Node) -> Status {
    let now = Instant::now();
    let view = node.view();
    let peers = node.mesh.peers();
    let targets = node.egress.targets().into_iter().map(|(service, known, state, busy)| {
        (format!("{service}/{}", known.id), format!("{state}, {busy} of {} busy", known.slots))
    });
    let homes = node.escrow.with(|e| {
        let accounts: Vec<_> = e.accounts().cloned().collect();
        let name = |a: &crate::model::Account| format!("{}/{}", a.service, a.customer);
        accounts.iter().filter_map(|a| Some((name(a), e.home(a)?.to_string()))).collect()
    });
    Status {
        vm: node.me.vm.to_string(),
        zone: node.me.place.zone.to_string(),
        state: format!("{:?}", node.life.state()).to_lowercase(),
        age_ms: node.freshness.age(now).as_millis() as u64,
        parts: node.escrow.with(|e| e.parts()),
        slices: node.fleet.slices().len(),
        versions: node
            .with_catalog(|c| c.objects().map(|o| (o.id.to_string(), o.version)).collect()),
        lapses: view.lapses.iter().map(|l| (l.object.clone(), l.cause.clone())).collect(),
        peers: peers.iter().map(|p| (p.known.vm.to_string(), p.is_live(now))).collect(),
        targets: targets.collect(),
        homes,
    }
}

fn services(node: &Node) -> BTreeMap<String, u64> {
    node.view().services.iter().map(|(n, s)| (n.to_string(), s.version)).collect()
}

async fn show(node: &Node, name: &str, version: Option<u64>) -> Result<Shown, OperatorError> {
    let id = ObjectId::new(Kind::Service, name);
    let missing = || OperatorError::Missing(format!("no document of service {name}"));
    let object = watcher::refresh(node, &id).await?.ok_or_else(missing)?;
    match version {
        Some(version) if version != object.version => {
            let path = history_path(&id, version);
            let gone = || OperatorError::Missing(format!("no version {version} of {name}"));
            let stored = node.store.read(&path).await?.ok_or_else(gone)?;
            let text = String::from_utf8_lossy(&stored.value).into_owned();
            Ok(Shown { version, text })
        }
        _ if object.deleted => Err(missing()),
        _ => Ok(Shown { version: object.version, text: object.body }),
    }
}

async fn apply(
    node: &Node,
    name: &str,
    text: String,
    expect: Option<u64>,
) -> Result<Changed, OperatorError> {
    let document = parse_document(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        OperatorError::Bad(lines.join("\n"))
    })?;
    if document.service != ServiceId::new(name) {
        let named = &document.service;
        return Err(OperatorError::Bad(format!("service: names {named}, not {name}")));
    }
    let id = ObjectId::new(Kind::Service, name);
    keep_history(node, &id).await?;
    change(node, &id, |object| {
        check_version(&id, object, expect)?;
        match object.is_some_and(|o| !o.deleted && o.body == text) {
            true => Ok(Outcome::Keep),
            false => Ok(Outcome::Write(text.clone())),
        }
    })
    .await
}

async fn remove(node: &Node, name: &str, expect: Option<u64>) -> Result<Changed, OperatorError> {
    let id = ObjectId::new(Kind::Service, name);
    keep_history(node, &id).await?;
    change(node, &id, |object| {
        check_version(&id, object, expect)?;
        match object.is_some_and(|o| !o.deleted) {
            true => Ok(Outcome::Delete),
            false => Err(OperatorError::Missing(format!("no document of service {name}"))),
        }
    })
    .await
}

/// Keeps the present document before another one takes its place. A version has one text, so
/// writing it twice does no harm.
async fn keep_history(node: &Node, id: &ObjectId) -> Result<(), OperatorError> {
    let Some(object) = watcher::refresh(node, id).await?.filter(|o| !o.deleted) else {
        return Ok(());
    };
    let path = history_path(id, object.version);
    let body = Bytes::from(object.body);
    let mut tries = 1;
    loop {
        match node.store.write(&path, body.clone(), Expect::Absent).await {
            Ok(_) => return Ok(()),
            Err(e) if e.fault == StoreFault::Conflict => return Ok(()),
            Err(e) if tries == HISTORY_TRIES => return Err(e.into()),
            Err(_) => tries += 1,
        }
    }
}

/// Tells the loser of a race which version won.
fn check_version(
    id: &ObjectId,
    object: Option<&Object>,
    expect: Option<u64>,
) -> Result<(), OperatorError> {
    let found = object.map_or(0, |o| o.version);
    match expect {
        Some(expected) if expected != found => Err(OperatorError::Conflict(format!(
            "{id} is at version {found}, not {expected}; see what differs and apply again"
        ))),
        _ => Ok(()),
    }
}

/// An order to shift traffic.
#[apply(record!)]
pub struct ShiftOrder {
    /// The region whose callers' traffic moves.
    pub from: String,
    /// The region that takes it.
    pub to: String,
    /// The share to be moved in the end, from 0 to 1.
    pub share: f64,
}

async fn shift(node: &Node, name: &str, order: &ShiftOrder) -> Result<Changed, OperatorError> {
    if !node.view().services.contains_key(&ServiceId::new(name)) {
        return Err(OperatorError::Missing(format!("no service {name}")));
    }
    let regions: BTreeSet<String> =
        node.view().roster.members.iter().map(|m| m.place.region.to_string()).collect();
    for region in [&order.from, &order.to] {
        if !regions.contains(region) {
            let known: Vec<&str> = regions.iter().map(String::as_str).collect();
            let known = known.join(", ");
            return Err(OperatorError::Bad(format!("no region {region}; known are {known}")));
        }
    }
    let id = ObjectId::new(Kind::Plan, name);
    change(node, &id, |object| {
        let mut plan: Plan = json_of(object)?;
        let before = plan.clone();
        plan.order(&order.from.as_str().into(), &order.to.as_str().into(), order.share)
            .map_err(|e| OperatorError::Bad(e.to_string()))?;
        match plan == before {
            true => Ok(Outcome::Keep),
            false => Ok(Outcome::Write(to_json(&plan))),
        }
    })
    .await
}

async fn issue(node: &Node, customer: &str) -> Result<Changed, OperatorError> {
    let named = CustomerId::new(customer);
    let known = node.view().services.values().any(|s| s.document.customer(&named).is_some());
    if !known {
        return Err(OperatorError::Missing(format!("no document names customer {customer}")));
    }
    let key = new_key();
    let entry = KeyEntry { digest: KeyDigest::of(&key), state: KeyState::Active };
    let id = ObjectId::new(Kind::Keys, customer);
    let mut changed = change(node, &id, |object| {
        let mut set: KeySet = json_of(object)?;
        set.keys.push(entry.clone());
        Ok(Outcome::Write(to_json(&set)))
    })
    .await?;
    changed.key = Some(key.to_string());
    Ok(changed)
}

async fn keys(node: &Node, customer: &str) -> Result<KeySet, OperatorError> {
    let id = ObjectId::new(Kind::Keys, customer);
    let object = watcher::refresh(node, &id).await?;
    json_of(object.as_ref())
}

async fn withdraw(node: &Node, customer: &str, digest: &str) -> Result<Changed, OperatorError> {
    let id = ObjectId::new(Kind::Keys, customer);
    change(node, &id, |object| {
        let mut set: KeySet = json_of(object)?;
        let fits = |k: &&mut KeyEntry| !digest.is_empty() && k.digest.short().starts_with(digest);
        let mut found: Vec<&mut KeyEntry> = set.keys.iter_mut().filter(fits).collect();
        match found.len() {
            0 => Err(OperatorError::Missing(format!("{customer} has no key {digest}"))),
            1 => {
                let was = std::mem::replace(&mut found[0].state, KeyState::Withdrawn);
                match was {
                    KeyState::Active => Ok(Outcome::Write(to_json(&set))),
                    KeyState::Withdrawn => Ok(Outcome::Keep),
                }
            }
            n => Err(OperatorError::Bad(format!("{n} keys of {customer} start with {digest}"))),
        }
    })
    .await
}

async fn drain(node: &Node, subject: &Subject, add: bool) -> Result<Changed, OperatorError> {
    check_subject(node, subject, add)?;
    let id = ObjectId::new(Kind::Drains, "fleet");
    change(node, &id, |object| {
        let mut drains: Drains = json_of(object)?;
        let changed = match add {
            true => drains.subjects.insert(subject.clone()),
            false => drains.subjects.remove(subject),
        };
        match changed {
            true => Ok(Outcome::Write(to_json(&drains))),
            false => Ok(Outcome::Keep),
        }
    })
    .await
}

/// Refuses to drain what nobody knows; a mistyped name would drain nothing.
fn check_subject(node: &Node, subject: &Subject, add: bool) -> Result<(), OperatorError> {
    let view = node.view();
    let known = match subject {
        Subject::Target(id) => view.vms.targets.iter().any(|t| &t.id == id),
        Subject::Vm(id) => view.roster.member(id).is_some(),
        Subject::Zone(id) => {
            view.roster.zone(id).next().is_some()
                || view.vms.targets.iter().any(|t| &t.place.zone == id)
        }
    };
    match known || !add {
        true => Ok(()),
        false => Err(OperatorError::Missing(format!("no {subject}"))),
    }
}

async fn explain(node: &Node, id: &str) -> Result<Response<Bytes>, OperatorError> {
    let decoded = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
    let missing = || OperatorError::Missing(format!("no record of request {decoded}"));
    if let Some(record) = node.records.find(&decoded) {
        return Ok(json_response(StatusCode::OK, &record));
    }
    let vm = records::vm_of(&decoded).map(VmId::new).ok_or_else(missing)?;
    let peer = node.mesh.peer(&vm).ok_or_else(missing)?;
    let body = Body::Explain(Explain { request: decoded.to_string() });
    match peer.client.call(body, EXPLAIN_TIMEOUT).await {
        Ok(Body::Explained(e)) if !e.record.is_empty() => {
            Ok(bytes_response(StatusCode::OK, "application/json", Bytes::from(e.record)))
        }
        _ => Err(missing()),
    }
}

/// Changes an object in the store and spreads it; says which VMs have not confirmed it.
async fn change(
    node: &Node,
    id: &ObjectId,
    act: impl FnMut(Option<&Object>) -> Result<Outcome, OperatorError>,
) -> Result<Changed, OperatorError> {
    let operation = format!("{}-operator-{:016x}", node.me.vm, rand::random::<u64>());
    let Updated { object, version } =
        update_object(node.store.as_ref(), id, &operation, act).await?;
    let written = version.is_some();
    let objects: Vec<Object> = object.into_iter().collect();
    node.offer(Instant::now(), objects.clone());
    let taken = peers::confirm(node, &objects, CONFIRM_TIMEOUT).await;
    let mut unconfirmed: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in &node.view().roster.members {
        if !taken.get(member.vm.as_str()).copied().unwrap_or(false) {
            let zone = member.place.zone.to_string();
            unconfirmed.entry(zone).or_default().push(member.vm.to_string());
        }
    }
    let version = version.unwrap_or(objects.first().map_or(0, |o| o.version));
    Ok(Changed { object: id.to_string(), version, written, unconfirmed, key: None })
}

struct Query(BTreeMap<String, String>);

impl Query {
    fn of(request: &Request<Bytes>) -> Self {
        let query = request.uri().query().unwrap_or_default();
        Self(url::form_urlencoded::parse(query.as_bytes()).into_owned().collect())
    }

    fn number(&self, name: &str) -> Result<Option<u64>, OperatorError> {
        let bad = |v: &String| OperatorError::Bad(format!("{name}: {v:?} is not a number"));
        self.0.get(name).map(|v| v.parse().map_err(|_| bad(v))).transpose()
    }
}

fn history_path(id: &ObjectId, version: u64) -> String {
    format!("{HISTORY_PREFIX}{id}/{version}")
}

fn done(outcome: Result<Changed, OperatorError>) -> Result<Response<Bytes>, OperatorError> {
    outcome.map(|changed| json_response(StatusCode::OK, &changed))
}

fn text_of(request: &Request<Bytes>) -> Result<String, OperatorError> {
    String::from_utf8(request.body().to_vec())
        .map_err(|_| OperatorError::Bad("the document is not UTF-8".to_owned()))
}

fn parse<T: serde::de::DeserializeOwned>(request: &Request<Bytes>) -> Result<T, OperatorError> {
    serde_json::from_slice(request.body()).map_err(|e| OperatorError::Bad(e.to_string()))
}

fn json_of<T: serde::de::DeserializeOwned + Default>(
    object: Option<&Object>,
) -> Result<T, OperatorError> {
    match object.filter(|o| !o.deleted) {
        Some(object) => serde_json::from_str(&object.body)
            .map_err(|e| OperatorError::Bad(format!("{} can't be read: {e}", object.id))),
        None => Ok(T::default()),
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("objects are always valid JSON")
}

fn text(status: StatusCode, text: &str) -> Response<Bytes> {
    bytes_response(status, "text/plain", Bytes::from(text.to_owned()))
}

fn error(status: StatusCode, detail: &str) -> Response<Bytes> {
    json_response(status, &BTreeMap::from([("error", detail)]))
}
