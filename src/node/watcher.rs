//! Watches the store for changed objects. Only a few VMs of each zone watch, and the others get the
//! objects from their peers; a VM whose copy becomes stale watches by itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::model::{Object, ObjectId, ObjectKind};
use crate::store::{CONFIG_PREFIX, Revision, StoreError, read_object};
use crate::zone::rendezvous_order;

use super::Node;
use super::lifecycle::DaemonEvent;

/// Number of VMs in each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Longest wait of one watch. At its end the copy is known to have been complete at its beginning, so
/// the age of the copy of a VM that watches stays below twice this.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of its copy above which a VM watches the store even if others of its zone do.
const MAX_AGE: Duration = Duration::from_millis(3_000);
/// Interval of the checks while other VMs watch, and pause after a failed watch.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What a watch of the store has brought.
struct Poll {
    /// The revision of the store that it announced.
    revision: Revision,
    /// True if all announced objects were read, in the announced revision or a later one.
    complete: bool,
}

/// Watches the store whenever this VM has to, until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut after: Revision = 0;
    loop {
        let now = Instant::now();
        let stale = node.freshness.age(clock::now()) > MAX_AGE;
        // Until it has read the whole configuration once, every VM reads the store.
        if after != 0 && !is_watcher(&node, now) && !stale {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        match poll_changes(&node, after).await {
            Ok(poll) => {
                node.lifecycle.apply(DaemonEvent::Configured);
                if poll.complete {
                    after = poll.revision;
                } else {
                    log::warn!("store: Reads lag behind revision {}.", poll.revision);
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            Err(e) => {
                log::warn!("store: Watching the configuration failed: {e}.");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Waits once for changes after revision `after` and applies them.
async fn poll_changes(node: &Node, after: Revision) -> Result<Poll, StoreError> {
    let timeout = if after == 0 { Duration::ZERO } else { WATCH_TIMEOUT };
    // The response may have waited while this process was suspended, so only the beginning counts.
    let begun = clock::now();
    let changes = node.store.watch(CONFIG_PREFIX, after, timeout).await?;
    let mut complete = true;
    for change in &changes.changes {
        let Some(id) = change.path.strip_prefix(CONFIG_PREFIX).and_then(parse_id) else { continue };
        let read = read_object(node.store.as_ref(), &id).await?;
        complete &= read.as_ref().is_some_and(|(_, revision)| *revision >= change.revision);
        node.offer(Instant::now(), read.into_iter().map(|(object, _)| object).collect());
    }
    if complete {
        node.freshness.confirm(begun);
    }
    Ok(Poll { revision: changes.revision, complete })
}

/// True if this VM is one of its zone's watchers, by the peers that are live to it.
fn is_watcher(node: &Node, now: Instant) -> bool {
    let zone = &node.me.place.zone;
    let others = node.mesh.peers();
    let mut names: Vec<String> = others
        .iter()
        .filter(|p| &p.info.place.zone == zone && p.is_live(now))
        .map(|p| p.info.vm.to_string())
        .collect();
    names.push(node.me.vm.to_string());
    let order = rendezvous_order(zone.as_str(), names, |n| n.as_str());
    order.iter().take(WATCHERS_PER_ZONE).any(|n| n == node.me.vm.as_str())
}

fn parse_id(path: &str) -> Option<ObjectId> {
    let (kind, name) = path.split_once('/')?;
    Some(ObjectId::new(ObjectKind::parse(kind)?, name))
}

/// Reads one object from the store and returns the newest version known, since the read may be
/// stale.
pub(crate) async fn refresh(node: &Node, id: &ObjectId) -> Result<Option<Object>, StoreError> {
    if let Some((object, _)) = read_object(node.store.as_ref(), id).await? {
        node.offer(Instant::now(), vec![object]);
    }
    Ok(node.with_catalog(|c| c.get(id).cloned()))
}
