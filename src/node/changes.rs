//! The changes that operators make to documents, keys, drains and planned shifts. Each is one
//! update of an object in the store, which is then sent to all peers. Called by the operators'
//! port.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use macro_rules_attribute::apply;

use crate::clock;
use crate::common::record;
use crate::model::{
    CustomerId, DrainSubject, Drains, KeyDigest, KeyEntry, KeySet, KeyState, NotRecent, Object,
    ObjectId, ObjectKind, ServiceId, new_key, parse_document,
};
use crate::plan::ShiftPlan;
use crate::spread::ConfigView;
use crate::store::{
    ObjectEdit, Precondition, StoreError, StoreErrorKind, UpdateResult, update_object,
};

use super::{Node, peers, watcher};

/// Longest wait until the other VMs confirm a change.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to write an earlier document to the history.
const HISTORY_ATTEMPTS: u32 = 3;
/// Prefix of the store paths of earlier documents.
const HISTORY_PREFIX: &str = "history/";

/// Why a request of an operator failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum OperatorError {
    #[error("{0}")]
    Invalid(String),
    #[error("{0}")]
    NotFound(String),
    #[error("{0}")]
    Conflict(String),
    /// A name is not in the configuration, which may be out of date.
    #[error("{cause}; by it, {refusal}")]
    ConfigOld { cause: NotRecent, refusal: Box<OperatorError> },
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl OperatorError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            OperatorError::Invalid(_) => StatusCode::BAD_REQUEST,
            OperatorError::NotFound(_) => StatusCode::NOT_FOUND,
            OperatorError::Conflict(_) => StatusCode::CONFLICT,
            OperatorError::ConfigOld { .. } | OperatorError::Store(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// The result of a change.
#[apply(record!)]
pub struct ChangeReport {
    /// The changed object, as `kind/name`.
    pub object: String,
    /// Its version after the change.
    pub version: u64,
    /// False if the object already had the requested content.
    pub written: bool,
    /// Entry VMs that have not confirmed the change, by zone.
    pub unconfirmed: BTreeMap<String, Vec<String>>,
    /// The issued key, if any. The store holds only its digest, so it can't be shown again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// One version of a service's document.
#[apply(record!)]
pub struct DocumentVersion {
    /// The version.
    pub version: u64,
    /// The document's text, in TOML.
    pub text: String,
}

pub(super) async fn get_document(
    node: &Node,
    name: &str,
    version: Option<u64>,
) -> Result<DocumentVersion, OperatorError> {
    let id = ObjectId::new(ObjectKind::Service, name);
    let missing = || OperatorError::NotFound(format!("service {name} has no document"));
    let object = watcher::refresh(node, &id).await?.ok_or_else(missing)?;
    match version {
        Some(version) if version != object.version => {
            let path = history_path(&id, version);
            let missing_version = || {
                OperatorError::NotFound(format!(
                    "service {name} has no document of version {version}"
                ))
            };
            let stored = node.store.read(&path).await?.ok_or_else(missing_version)?;
            let text = String::from_utf8_lossy(&stored.value).into_owned();
            Ok(DocumentVersion { version, text })
        }
        _ if object.deleted => Err(missing()),
        _ => Ok(DocumentVersion { version: object.version, text: object.body }),
    }
}

pub(super) async fn apply_document(
    node: &Node,
    name: &str,
    text: String,
    expect: Option<u64>,
) -> Result<ChangeReport, OperatorError> {
    let document = parse_document(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        OperatorError::Invalid(lines.join("\n"))
    })?;
    if document.service != ServiceId::new(name) {
        let found = &document.service;
        let detail = format!("service: the document is for {found}, not {name}");
        return Err(OperatorError::Invalid(detail));
    }
    let id = ObjectId::new(ObjectKind::Service, name);
    archive_current(node, &id).await?;
    update(node, &id, |object| {
        check_version(&id, object, expect)?;
        match object.is_some_and(|o| !o.deleted && o.body == text) {
            true => Ok(ObjectEdit::Keep),
            false => Ok(ObjectEdit::Write(text.clone())),
        }
    })
    .await
}

pub(super) async fn remove_document(
    node: &Node,
    name: &str,
    expect: Option<u64>,
) -> Result<ChangeReport, OperatorError> {
    let id = ObjectId::new(ObjectKind::Service, name);
    archive_current(node, &id).await?;
    update(node, &id, |object| {
        check_version(&id, object, expect)?;
        match object.is_some_and(|o| !o.deleted) {
            true => Ok(ObjectEdit::Delete),
            false => Err(OperatorError::NotFound(format!("service {name} has no document"))),
        }
    })
    .await
}

/// Copies the current document to the history before it is replaced. A version never has two
/// texts, so a copy that is already there is correct.
async fn archive_current(node: &Node, id: &ObjectId) -> Result<(), OperatorError> {
    let Some(object) = watcher::refresh(node, id).await?.filter(|o| !o.deleted) else {
        return Ok(());
    };
    let path = history_path(id, object.version);
    let body = Bytes::from(object.body);
    let mut attempts = 1;
    loop {
        match node.store.write(&path, body.clone(), Precondition::Absent).await {
            Ok(_) => return Ok(()),
            Err(e) if e.kind == StoreErrorKind::Conflict => return Ok(()),
            Err(e) if attempts == HISTORY_ATTEMPTS => return Err(e.into()),
            Err(_) => attempts += 1,
        }
    }
}

/// Refuses a change that expected another version, and names the one found.
fn check_version(
    id: &ObjectId,
    object: Option<&Object>,
    expect: Option<u64>,
) -> Result<(), OperatorError> {
    let found = object.map_or(0, |o| o.version);
    match expect {
        Some(expected) if expected != found => Err(OperatorError::Conflict(format!(
            "{id} is at version {found}, not {expected}; look at the difference and apply again"
        ))),
        _ => Ok(()),
    }
}

/// A request to shift traffic from one region to another.
#[apply(record!)]
pub struct ShiftRequest {
    /// The region whose callers' requests are shifted.
    pub from: String,
    /// The region that serves them instead.
    pub to: String,
    /// The fraction of the requests to be shifted in the end, from 0 to 1.
    pub share: f64,
}

pub(super) async fn request_shift(
    node: &Node,
    name: &str,
    request: &ShiftRequest,
) -> Result<ChangeReport, OperatorError> {
    check_names(node, |view| check_shift(view, name, request))?;
    let id = ObjectId::new(ObjectKind::Plan, name);
    update(node, &id, |object| {
        let mut plan: ShiftPlan = from_json(object)?;
        let before = plan.clone();
        plan.set_goal(&request.from.as_str().into(), &request.to.as_str().into(), request.share)
            .map_err(|e| OperatorError::Invalid(e.to_string()))?;
        match plan == before {
            true => Ok(ObjectEdit::Keep),
            false => Ok(ObjectEdit::Write(to_json(&plan))),
        }
    })
    .await
}

/// Refuses a shift of a service or between regions that are not known.
fn check_shift(view: &ConfigView, name: &str, request: &ShiftRequest) -> Result<(), OperatorError> {
    if !view.services.contains_key(&ServiceId::new(name)) {
        return Err(OperatorError::NotFound(format!("service {name} does not exist")));
    }
    let regions: BTreeSet<&str> =
        view.roster.members.iter().map(|m| m.place.region.as_str()).collect();
    for region in [&request.from, &request.to] {
        if !regions.contains(region.as_str()) {
            let names: Vec<&str> = regions.into_iter().collect();
            let names = names.join(", ");
            let detail = format!("region {region} does not exist; the regions are {names}");
            return Err(OperatorError::Invalid(detail));
        }
    }
    Ok(())
}

pub(super) async fn issue_key(node: &Node, customer: &str) -> Result<ChangeReport, OperatorError> {
    let id = CustomerId::new(customer);
    check_names(node, |view| {
        match view.services.values().any(|s| s.document.customer(&id).is_some()) {
            true => Ok(()),
            false => Err(OperatorError::NotFound(format!("customer {customer} is in no document"))),
        }
    })?;
    let key = new_key();
    let entry = KeyEntry { digest: KeyDigest::of(&key), state: KeyState::Active };
    let id = ObjectId::new(ObjectKind::Keys, customer);
    let mut changed = update(node, &id, |object| {
        let mut set: KeySet = from_json(object)?;
        set.keys.push(entry.clone());
        Ok(ObjectEdit::Write(to_json(&set)))
    })
    .await?;
    changed.key = Some(key.to_string());
    Ok(changed)
}

pub(super) async fn list_keys(node: &Node, customer: &str) -> Result<KeySet, OperatorError> {
    let id = ObjectId::new(ObjectKind::Keys, customer);
    let object = watcher::refresh(node, &id).await?;
    from_json(object.as_ref())
}

pub(super) async fn withdraw_key(
    node: &Node,
    customer: &str,
    digest: &str,
) -> Result<ChangeReport, OperatorError> {
    let id = ObjectId::new(ObjectKind::Keys, customer);
    update(node, &id, |object| {
        let mut set: KeySet = from_json(object)?;
        let matches =
            |k: &&mut KeyEntry| !digest.is_empty() && k.digest.short().starts_with(digest);
        let mut found: Vec<&mut KeyEntry> = set.keys.iter_mut().filter(matches).collect();
        match found.len() {
            0 => {
                Err(OperatorError::NotFound(format!("{customer} has no key with digest {digest}")))
            }
            1 => {
                let before = std::mem::replace(&mut found[0].state, KeyState::Withdrawn);
                match before {
                    KeyState::Active => Ok(ObjectEdit::Write(to_json(&set))),
                    KeyState::Withdrawn => Ok(ObjectEdit::Keep),
                }
            }
            n => Err(OperatorError::Invalid(format!(
                "{n} digests of {customer} start with {digest}"
            ))),
        }
    })
    .await
}

pub(super) async fn set_drain(
    node: &Node,
    subject: &DrainSubject,
    add: bool,
) -> Result<ChangeReport, OperatorError> {
    check_names(node, |view| check_subject(view, subject, add))?;
    let id = ObjectId::new(ObjectKind::Drains, "fleet");
    update(node, &id, |object| {
        let mut drains: Drains = from_json(object)?;
        let changed = match add {
            true => drains.subjects.insert(subject.clone()),
            false => drains.subjects.remove(subject),
        };
        match changed {
            true => Ok(ObjectEdit::Write(to_json(&drains))),
            false => Ok(ObjectEdit::Keep),
        }
    })
    .await
}

/// Checks names by the configuration in force. One that is not in it may have been added elsewhere, so
/// the refusal is for good only if the configuration is recent.
fn check_names(
    node: &Node,
    check: impl FnOnce(&ConfigView) -> Result<(), OperatorError>,
) -> Result<(), OperatorError> {
    let known = node.known_view();
    check(&known.view).map_err(|refusal| {
        match node.freshness.check(known.complete_at, clock::now()) {
            Ok(()) => refusal,
            Err(cause) => OperatorError::ConfigOld { cause, refusal: Box::new(refusal) },
        }
    })
}

/// Refuses to drain a name that is not known: a mistyped one would drain nothing. A drain of a
/// name no longer known can still be ended.
fn check_subject(
    view: &ConfigView,
    subject: &DrainSubject,
    add: bool,
) -> Result<(), OperatorError> {
    let exists = match subject {
        DrainSubject::Target(id) => view.vms.targets.iter().any(|t| &t.id == id),
        DrainSubject::Vm(id) => view.roster.member(id).is_some(),
        DrainSubject::Zone(id) => {
            view.roster.zone(id).next().is_some()
                || view.vms.targets.iter().any(|t| &t.place.zone == id)
        }
    };
    match exists || !add {
        true => Ok(()),
        false => Err(OperatorError::NotFound(format!("{subject} is not known"))),
    }
}

/// Updates an object in the store and sends it to all peers; reports the VMs that have not
/// confirmed it in time.
async fn update(
    node: &Node,
    id: &ObjectId,
    edit: impl FnMut(Option<&Object>) -> Result<ObjectEdit, OperatorError>,
) -> Result<ChangeReport, OperatorError> {
    let operation = format!("{}-operator-{:016x}", node.me.vm, rand::random::<u64>());
    let UpdateResult { object, version } =
        update_object(node.store.as_ref(), id, &operation, edit).await?;
    let written = version.is_some();
    let objects: Vec<Object> = object.into_iter().collect();
    node.offer(Instant::now(), objects.clone());
    let confirmed = peers::confirm(node, &objects, CONFIRM_TIMEOUT).await;
    let mut unconfirmed: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in &node.view().roster.members {
        if !confirmed.get(member.vm.as_str()).copied().unwrap_or(false) {
            let zone = member.place.zone.to_string();
            unconfirmed.entry(zone).or_default().push(member.vm.to_string());
        }
    }
    let version = version.unwrap_or(objects.first().map_or(0, |o| o.version));
    Ok(ChangeReport { object: id.to_string(), version, written, unconfirmed, key: None })
}

fn history_path(id: &ObjectId, version: u64) -> String {
    format!("{HISTORY_PREFIX}{id}/{version}")
}

fn from_json<T: serde::de::DeserializeOwned + Default>(
    object: Option<&Object>,
) -> Result<T, OperatorError> {
    match object.filter(|o| !o.deleted) {
        Some(object) => serde_json::from_str(&object.body)
            .map_err(|e| OperatorError::Invalid(format!("parse {}: {e}", object.id))),
        None => Ok(T::default()),
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a configuration object always serializes")
}
