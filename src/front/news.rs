//! Follows the store: one entry VM of a region reads it, the heads of the region's zones ask that
//! one, and the others ask the head of their zone.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, Sync, Synced};
use crate::steer::{Delta, Feed, VmEntry};

use super::Front;

/// Time between two questions for news.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for an answer in the zone.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for an answer from another zone.
const CROSS_ZONE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of news from which on a zone's head passes their source over.
const LEADER_UPSTREAM_AGE_MAX: Duration = Duration::from_millis(1_200);
/// Age of news from which on the other VMs of a zone pass their head over.
const MEMBER_UPSTREAM_AGE_MAX: Duration = Duration::from_millis(1_400);
/// Age of the configuration from which on a VM reads the store itself.
const STORE_READ_AGE: Duration = Duration::from_millis(1_700);
/// Time after a start at which a VM that knows no configuration reads the store itself.
const STORE_READ_DELAY: Duration = Duration::from_millis(500);
/// Age of the configuration from which on VMs of other zones are asked.
const CROSS_ZONE_AGE: Duration = Duration::from_millis(2_000);
/// Time between two questions to another zone of the region.
const REGION_SYNC_INTERVAL: Duration = Duration::from_millis(900);
/// Wait of the watch that proves the configuration's age.
const TABLE_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Wait of the watch on targets: no longer, since an answer can be lost with its connection.
const TARGETS_WATCH_WAIT: Duration = Duration::from_millis(1_300);
/// Wait of the watch on evacuations.
const EVACUATIONS_WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Wait of the watch on entry VMs.
const VMS_WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// Pause after a failed read.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between looks at whether this VM has to read the store.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two tries to write this VM's entry.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct TableAccepted {
    what: &'static str,
    version: u64,
    age_ms: u64,
    from: String,
}

/// Starts the tasks that follow the store.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(announce(front.clone()));
    tokio::spawn(run_sync(front.clone()));
    for feed in Feed::ALL {
        tokio::spawn(follow_feed(front.clone(), feed));
    }
}

/// Writes this VM's entry, until the store has it.
async fn announce(front: Arc<Front>) {
    let entry = VmEntry {
        place: front.place.clone(),
        peers: front.peer_addr(front.config.listen.callers.ip()),
        callers: front.config.listen.callers,
        incarnation: front.me.incarnation,
    };
    let mut first = true;
    loop {
        match front.source.announce(&front.me.vm, &entry).await {
            // After a lost answer, the older entry may be this life's own.
            Ok(replaced) => return front.state.lock().announced(first && replaced),
            Err(e) => log::warn!("news: this VM's entry is not written: {e}."),
        }
        first = false;
        sleep(ANNOUNCE_RETRY_INTERVAL).await;
    }
}

/// True if this VM has to read the store itself.
fn must_read(front: &Front) -> bool {
    let now = clock::now();
    let state = front.state.lock();
    if state.fleet.source(now).is_none_or(|vm| vm == front.me.vm) {
        return true;
    }
    // Where others are known, a new process asks them first.
    let age = state.feeds[Feed::Table as usize].age(now);
    match age {
        Some(age) => age > STORE_READ_AGE,
        None => now.saturating_sub(front.started) > STORE_READ_DELAY,
    }
}

/// Reads one feed of the store while nobody nearer does.
async fn follow_feed(front: Arc<Front>, feed: Feed) {
    let mut unreachable = false;
    loop {
        let must_read = must_read(&front);
        if !must_read {
            // Others are asked in its place; whether the store answers is not known any more.
            front.store_unreachable.store(false, Ordering::Relaxed);
        }
        let waits = feed != Feed::Table && front.store_unreachable.load(Ordering::Relaxed);
        if waits || !must_read {
            sleep(ROLE_POLL_INTERVAL).await;
            continue;
        }
        let sent = clock::now();
        let mark = front.state.lock().feeds[feed as usize].mark();
        let read = match mark {
            0 => front.source.list(feed).await,
            mark => front.source.changes(feed, mark, watch_wait(feed)).await,
        };
        let read = match read {
            Err(e) if e.compacted => {
                log::info!("news: {feed:?} is read anew: {e}.");
                front.source.list(feed).await
            }
            read => read,
        };
        match read {
            Ok(delta) => {
                if unreachable {
                    front.decision_log.log("regained", &store_dependency(feed));
                }
                unreachable = false;
                front.store_unreachable.store(false, Ordering::Relaxed);
                // A watch that ran to its end without a change was true for all of its wait.
                let waited = sent + watch_wait(feed);
                let unchanged = mark > 0 && delta.items.is_empty() && clock::now() >= waited;
                front.apply_delta(feed, delta, if unchanged { waited } else { sent }, "store");
            }
            Err(e) => {
                if !unreachable {
                    front.decision_log.log("lost", &store_dependency(feed));
                    log::warn!("news: {feed:?} is not read: {e}.");
                }
                unreachable = true;
                front.store_unreachable.store(true, Ordering::Relaxed);
                sleep(READ_RETRY_INTERVAL).await;
            }
        }
    }
}

fn watch_wait(feed: Feed) -> Duration {
    match feed {
        Feed::Table => TABLE_WATCH_WAIT,
        Feed::Targets => TARGETS_WATCH_WAIT,
        Feed::Evacuations => EVACUATIONS_WATCH_WAIT,
        Feed::Vms => VMS_WATCH_WAIT,
    }
}

#[derive(Serialize)]
struct Dependency {
    dependency: String,
}

fn store_dependency(feed: Feed) -> Dependency {
    Dependency { dependency: format!("store {feed:?}") }
}

/// Asks other entry VMs for news and says that this VM lives.
async fn run_sync(front: Arc<Front>) {
    let mut seed = 0;
    let mut region_sync_at = Duration::ZERO;
    loop {
        let now = clock::now();
        let (source, age) = {
            let state = front.state.lock();
            (state.fleet.source(now), state.feeds[Feed::Table as usize].age(now))
        };
        if now >= region_sync_at && front.state.lock().fleet.is_head(now) {
            region_sync_at = now + REGION_SYNC_INTERVAL;
            tokio::spawn(sync_region(front.clone()));
        }
        match &source {
            Some(vm) if *vm != front.me.vm => sync_vm(&front, vm, SYNC_TIMEOUT).await,
            Some(_) => {}
            None => {
                sync_seed(&front, seed).await;
                seed += 1;
            }
        }
        if source.is_some() && age.is_none_or(|age| age > CROSS_ZONE_AGE) {
            sync_cross_zone(&front, seed).await;
            seed += 1;
        }
        sleep(SYNC_INTERVAL).await;
    }
}

/// Asks the other zones of the region who lives there.
async fn sync_region(front: Arc<Front>) {
    let zones = front.state.lock().fleet.other_zones();
    for zone in zones {
        let vm = {
            let state = front.state.lock();
            if state.fleet.is_near(&zone) { state.fleet.head_of(clock::now(), &zone) } else { None }
        };
        if let Some(vm) = vm {
            sync_vm(&front, &vm, CROSS_ZONE_TIMEOUT).await;
        }
    }
}

/// Asks one VM of another zone; `turn` chooses the zone.
async fn sync_cross_zone(front: &Front, turn: usize) {
    let vm = {
        let state = front.state.lock();
        let zones = state.fleet.other_zones();
        if zones.is_empty() {
            return;
        }
        state.fleet.head_of(clock::now(), &zones[turn % zones.len()])
    };
    if let Some(vm) = vm {
        sync_vm(front, &vm, CROSS_ZONE_TIMEOUT).await;
    }
}

/// Asks a VM that is known from the settings only.
async fn sync_seed(front: &Front, turn: usize) {
    let seeds = &front.config.peers.seeds;
    let own = front.config.listen.callers.ip();
    let others: Vec<_> = seeds.iter().map(|s| s.ip()).filter(|ip| *ip != own).collect();
    if others.is_empty() {
        return;
    }
    let addr = front.peer_addr(others[turn % others.len()]);
    let sent = clock::now();
    let any_vm = VmId::default();
    match request_sync(front, &any_vm, addr, CROSS_ZONE_TIMEOUT).await {
        Ok(reply) => front.apply_reply(reply, sent, "seed"),
        Err(e) => log::debug!("news: {addr} gave none: {e}."),
    }
}

async fn sync_vm(front: &Front, vm: &VmId, timeout: Duration) {
    let Some(addr) = front.state.lock().fleet.entry(vm).map(|e| e.peers) else { return };
    let sent = clock::now();
    match request_sync(front, vm, addr, timeout).await {
        Ok(reply) => {
            let (leaving, unread) = (reply.leaving, reply.unread);
            front.apply_reply(reply, sent, vm.as_str());
            let now = clock::now();
            let age = front.state.table_age(now);
            let mut state = front.state.lock();
            let limit = if state.fleet.is_head(now) {
                LEADER_UPSTREAM_AGE_MAX
            } else {
                MEMBER_UPSTREAM_AGE_MAX
            };
            match age {
                _ if leaving => state.fleet.leaves(now, vm),
                Some(age) if age < limit && !unread => state.fleet.answered(vm),
                _ => state.fleet.unanswered(now, vm),
            }
        }
        Err(e) => {
            log::debug!("news: {vm} gave none: {e}.");
            front.state.lock().fleet.unanswered(clock::now(), vm);
        }
    }
}

/// Asks the VM at `addr` for news.
async fn request_sync(
    front: &Front,
    vm: &VmId,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<Synced, String> {
    let marks = front.state.lock().feeds.iter().map(|f| f.mark()).collect();
    let callers = front.config.listen.callers.to_string();
    let request = Body::Sync(Sync { marks, callers, serving: front.is_serving() });
    match front.sessions.call(vm, addr, request, timeout).await {
        Ok(Body::Synced(reply)) => Ok(reply),
        Ok(_) => Err("it sent no news".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

impl Front {
    /// Takes in another VM's news; `sent` is when they were asked for.
    fn apply_reply(&self, reply: Synced, sent: Duration, from: &str) {
        let now = clock::now();
        let heard: Vec<_> = reply.live.iter().filter_map(|w| w.to_heard()).collect();
        self.state.lock().fleet.hear(now, heard);
        for feed in reply.feeds {
            if let Some((feed, age, delta)) = feed.into_delta() {
                self.apply_delta(feed, delta, sent.saturating_sub(age), from);
            }
        }
    }

    /// Takes in news of a feed that were true at `fresh`.
    fn apply_delta(&self, feed: Feed, delta: Delta, as_of: Duration, from: &str) {
        let now = clock::now();
        let Some(version) = self.state.apply_delta(now, feed, delta, as_of) else { return };
        let age_ms = now.saturating_sub(as_of).as_millis() as u64;
        let accepted =
            TableAccepted { what: "configuration", version, age_ms, from: from.to_owned() };
        self.decision_log.log_limited("believes", &accepted);
        self.metrics.version.set(version as i64);
    }

    /// The address for sessions of the VM at `ip`.
    pub(crate) fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        (ip, self.config.peers.port).into()
    }
}
