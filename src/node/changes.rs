//! The changes that operators make: documents, keys, drains and shifts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{
    CustomerId, Drains, KeyDigest, KeyEntry, KeySet, KeyState, Kind, Object, ObjectId, ServiceId,
    Subject, new_key, parse_document,
};
use crate::plan::Plan;
use crate::store::{
    ObjectEdit, Precondition, StoreError, StoreErrorKind, UpdateResult, update_object,
};

use super::{Node, peers, watcher};

/// Longest wait for the confirmations of other VMs.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Tries to keep an earlier document.
const HISTORY_TRIES: u32 = 3;
/// Prefix of the paths of earlier documents.
const HISTORY_PREFIX: &str = "history/";

/// A failed request of an operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum OperatorError {
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
    pub(super) fn status(&self) -> StatusCode {
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

pub(super) async fn show(
    node: &Node,
    name: &str,
    version: Option<u64>,
) -> Result<Shown, OperatorError> {
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

pub(super) async fn apply(
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
            true => Ok(ObjectEdit::Keep),
            false => Ok(ObjectEdit::Write(text.clone())),
        }
    })
    .await
}

pub(super) async fn remove(
    node: &Node,
    name: &str,
    expect: Option<u64>,
) -> Result<Changed, OperatorError> {
    let id = ObjectId::new(Kind::Service, name);
    keep_history(node, &id).await?;
    change(node, &id, |object| {
        check_version(&id, object, expect)?;
        match object.is_some_and(|o| !o.deleted) {
            true => Ok(ObjectEdit::Delete),
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
        match node.store.write(&path, body.clone(), Precondition::Absent).await {
            Ok(_) => return Ok(()),
            Err(e) if e.kind == StoreErrorKind::Conflict => return Ok(()),
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

pub(super) async fn shift(
    node: &Node,
    name: &str,
    order: &ShiftOrder,
) -> Result<Changed, OperatorError> {
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
            true => Ok(ObjectEdit::Keep),
            false => Ok(ObjectEdit::Write(to_json(&plan))),
        }
    })
    .await
}

pub(super) async fn issue(node: &Node, customer: &str) -> Result<Changed, OperatorError> {
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
        Ok(ObjectEdit::Write(to_json(&set)))
    })
    .await?;
    changed.key = Some(key.to_string());
    Ok(changed)
}

pub(super) async fn keys(node: &Node, customer: &str) -> Result<KeySet, OperatorError> {
    let id = ObjectId::new(Kind::Keys, customer);
    let object = watcher::refresh(node, &id).await?;
    json_of(object.as_ref())
}

pub(super) async fn withdraw(
    node: &Node,
    customer: &str,
    digest: &str,
) -> Result<Changed, OperatorError> {
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
                    KeyState::Active => Ok(ObjectEdit::Write(to_json(&set))),
                    KeyState::Withdrawn => Ok(ObjectEdit::Keep),
                }
            }
            n => Err(OperatorError::Bad(format!("{n} keys of {customer} start with {digest}"))),
        }
    })
    .await
}

pub(super) async fn drain(
    node: &Node,
    subject: &Subject,
    add: bool,
) -> Result<Changed, OperatorError> {
    check_subject(node, subject, add)?;
    let id = ObjectId::new(Kind::Drains, "fleet");
    change(node, &id, |object| {
        let mut drains: Drains = json_of(object)?;
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

/// Changes an object in the store and spreads it; says which VMs have not confirmed it.
async fn change(
    node: &Node,
    id: &ObjectId,
    act: impl FnMut(Option<&Object>) -> Result<ObjectEdit, OperatorError>,
) -> Result<Changed, OperatorError> {
    let operation = format!("{}-operator-{:016x}", node.me.vm, rand::random::<u64>());
    let UpdateResult { object, version } =
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

fn history_path(id: &ObjectId, version: u64) -> String {
    format!("{HISTORY_PREFIX}{id}/{version}")
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
