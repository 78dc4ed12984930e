//! Follows the store: a few watchers in each zone, and every VM whose knowledge grows old.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::model::{Object, ObjectId, ObjectKind};
use crate::store::{CONFIG_PREFIX, Revision, StoreError, read_object};
use crate::zone::rendezvous_order;

use super::Node;
use super::life::DaemonEvent;

/// Watchers of a zone.
const WATCHERS: usize = 2;
/// Longest wait of one watch; freshness is known at its end.
const WATCH: Duration = Duration::from_millis(1_000);
/// Age of knowledge at which a VM asks the store by itself.
const AGE_MAX: Duration = Duration::from_millis(3_000);
/// Pause between looks while another VM watches, and after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// When this VM's knowledge was last complete.
#[derive(Debug)]
pub(crate) struct Freshness {
    start: Instant,
    at: Mutex<Option<Instant>>,
}

impl Freshness {
    pub(crate) fn new(now: Instant) -> Self {
        Self { start: now, at: Mutex::default() }
    }

    /// Learns that knowledge was complete at `at`.
    pub(crate) fn confirm(&self, at: Instant) {
        let mut known = self.at.lock().expect("freshness lock");
        *known = Some(known.map_or(at, |k| k.max(at)));
    }

    /// Time since knowledge was complete; since the start if it never was.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let known = self.at.lock().expect("freshness lock");
        now.saturating_duration_since(known.unwrap_or(self.start))
    }
}

/// Follows the store until the daemon ends.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut after: Revision = 0;
    loop {
        let now = Instant::now();
        let old = node.freshness.age(now) > AGE_MAX;
        if after != 0 && !is_watcher(&node, now) && !old {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match step(&node, after).await {
            Ok(revision) => {
                after = revision;
                node.life.apply(DaemonEvent::Configured);
            }
            Err(e) => {
                log::warn!("store: {e}.");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits for changes once and takes them in.
async fn step(node: &Node, after: Revision) -> Result<Revision, StoreError> {
    let wait = if after == 0 { Duration::ZERO } else { WATCH };
    let changes = node.store.watch(CONFIG_PREFIX, after, wait).await?;
    let seen = Instant::now();
    for change in &changes.changes {
        let Some(id) = change.path.strip_prefix(CONFIG_PREFIX).and_then(parse_id) else { continue };
        if let Some((object, _)) = read_object(node.store.as_ref(), &id).await? {
            node.offer(Instant::now(), vec![object]);
        }
    }
    node.freshness.confirm(seen);
    Ok(changes.revision)
}

/// True if this VM is one of its zone's watchers, as far as it can see.
fn is_watcher(node: &Node, now: Instant) -> bool {
    let zone = &node.me.place.zone;
    let others = node.mesh.peers();
    let mut names: Vec<String> = others
        .iter()
        .filter(|p| &p.known.place.zone == zone && p.is_live(now))
        .map(|p| p.known.vm.to_string())
        .collect();
    names.push(node.me.vm.to_string());
    let order = rendezvous_order(zone.as_str(), names, |n| n.as_str());
    order.iter().take(WATCHERS).any(|n| n == node.me.vm.as_str())
}

fn parse_id(path: &str) -> Option<ObjectId> {
    let (kind, name) = path.split_once('/')?;
    Some(ObjectId::new(ObjectKind::parse(kind)?, name))
}

/// Takes in one object from the store, and returns the newest version known: a read may be stale.
pub(crate) async fn refresh(node: &Node, id: &ObjectId) -> Result<Option<Object>, StoreError> {
    if let Some((object, _)) = read_object(node.store.as_ref(), id).await? {
        node.offer(Instant::now(), vec![object]);
    }
    Ok(node.with_catalog(|c| c.get(id).cloned()))
}
