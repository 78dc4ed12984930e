//! Keeps the replicas of the store's feeds up to date.
//!
//! One entry VM of each region reads the store. The zone leaders of the region sync from that VM,
//! and the other VMs sync from their zone leader. When the upstream fails or its data is too old,
//! a VM reads the store itself or syncs from another zone.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, SyncRequest, SyncResponse};
use crate::steer::{Delta, Feed, ReadContext, Upstream, VmRecord};

use super::Front;

/// Interval of the requests to the upstream VM.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the requests of a VM without a routing table.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request to the upstream VM.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request to another zone or a seed.
const CROSS_ZONE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of the routing table at which a zone leader marks its upstream as stale.
const LEADER_UPSTREAM_AGE_MAX: Duration = Duration::from_millis(1_200);
/// Age of the routing table at which the other VMs of a zone mark their leader as stale.
const MEMBER_UPSTREAM_AGE_MAX: Duration = Duration::from_millis(1_400);
/// Age of the routing table above which a VM also syncs from other zones.
const CROSS_ZONE_AGE: Duration = Duration::from_millis(2_000);
/// Interval of a zone leader's requests to the region's other zones.
const REGION_SYNC_INTERVAL: Duration = Duration::from_millis(900);
/// Wait of the watch on the routing table; short, since its responses prove the table's age.
const TABLE_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Wait of the watch on targets; limited, since a response can be lost with its connection.
const TARGETS_WATCH_WAIT: Duration = Duration::from_millis(1_300);
/// Wait of the watch on zone evacuations.
const EVACUATIONS_WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Wait of the watch on entry VMs.
const VMS_WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// Interval between a failed read and the next one.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// A failed watch that took longer than its wait by this may say nothing of the store: after a standstill of
/// the process, the watch's timer fires before a response is read.
const STANDSTILL_MIN: Duration = Duration::from_millis(2_000);
/// Interval of the checks whether this VM must read the store.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of these checks until there is a routing table.
const FIRST_ROLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the attempts to write this VM's record.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The log line of a new routing table.
#[derive(Serialize)]
struct TableAccepted {
    what: &'static str,
    version: u64,
    age_ms: u64,
    from: String,
}

/// The log line of a feed that was taken from a restored store.
#[derive(Serialize)]
struct StoreRestored {
    feed: String,
    era: u64,
}

/// Starts the tasks that write this VM's record, sync from other VMs and read the store.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(announce(front.clone()));
    tokio::spawn(run_sync(front.clone()));
    for feed in Feed::ALL {
        tokio::spawn(follow_feed(front.clone(), feed));
    }
}

/// Writes this VM's record, and again whenever the store has lost it.
async fn announce(front: Arc<Front>) {
    let record = VmRecord {
        place: front.place.clone(),
        peers: front.peer_addr(front.config.listen.callers.ip()),
        callers: front.config.listen.callers,
        incarnation: front.me.incarnation,
        cpu_millis: front.config.cpu_millis(),
    };
    let mut first = true;
    loop {
        match front.source.announce(&front.me.vm, &record).await {
            Ok(replaced) => {
                // After a lost response, the replaced record may be this incarnation's own.
                front.state.lock().set_rejoined(first && replaced);
                front.record_lost.notified().await;
                log::warn!("news: The store has lost this VM's record; it is written again.");
            }
            Err(e) => {
                log::warn!("news: writing this VM's record failed: {e}.");
                sleep(ANNOUNCE_RETRY_INTERVAL).await;
            }
        }
        first = false;
    }
}

/// What this VM knows for the decision whether to read the store.
fn read_context(front: &Front) -> ReadContext {
    let now = clock::now();
    let state = front.state.lock();
    let upstream = match state.fleet.upstream(now) {
        None => Upstream::Unknown,
        Some(vm) if vm == front.me.vm => Upstream::Own,
        Some(_) => Upstream::Other,
    };
    ReadContext {
        upstream,
        asks_seeds: front.config.first_start && has_other_seeds(front),
        table_age: state.feeds[Feed::Table as usize].age(now),
        uptime: now.saturating_sub(front.started),
    }
}

/// True if the settings list seeds and this VM is not among them.
fn has_other_seeds(front: &Front) -> bool {
    let own = front.config.listen.callers.ip();
    let seeds = &front.config.peers.seeds;
    !seeds.is_empty() && seeds.iter().all(|seed| seed.ip() != own)
}

/// Keeps one feed up to date from the store, whenever [`ReadContext::must_read`] holds.
async fn follow_feed(front: Arc<Front>, feed: Feed) {
    let mut unreachable = false;
    let mut stood_still = false;
    loop {
        let context = read_context(&front);
        let must_read = context.must_read(feed);
        if !must_read {
            // This VM syncs from another one, so it no longer knows whether the store responds.
            front.store_unreachable.store(false, Ordering::Relaxed);
        }
        // While the store is unreachable, only the routing table's feed retries; the others wait.
        let waits = feed != Feed::Table && front.store_unreachable.load(Ordering::Relaxed);
        if waits || !must_read {
            let first = context.table_age.is_none();
            sleep(if first { FIRST_ROLE_POLL_INTERVAL } else { ROLE_POLL_INTERVAL }).await;
            continue;
        }
        let sent = clock::now();
        let mark = front.state.lock().feeds[feed as usize].mark();
        let read = match mark.revision {
            0 => front.source.list(feed).await,
            _ => front.source.changes(feed, mark, watch_wait(feed)).await,
        };
        let read = match read {
            Err(e) if e.compacted => {
                log::info!("news: listing feed {feed:?} again: {e}.");
                front.source.list(feed).await
            }
            read => read,
        };
        let overdue = clock::now().saturating_sub(sent) > watch_wait(feed) + STANDSTILL_MIN;
        // Only once in a row, so that a store that fails slowly counts as unreachable.
        stood_still = read.is_err() && overdue && !stood_still;
        match read {
            Err(e) if stood_still => {
                log::info!("news: reading feed {feed:?} again after a standstill: {e}.");
            }
            Ok(delta) => {
                if unreachable {
                    front.decision_log.log("regained", &store_dependency(feed));
                }
                unreachable = false;
                front.store_unreachable.store(false, Ordering::Relaxed);
                // A watch that ends without events proves that nothing changed during its wait.
                let waited = sent + watch_wait(feed);
                if delta.mark < mark {
                    let mark_read = delta.mark;
                    log::warn!(
                        "news: Feed {feed:?} is at {mark_read} in the store, here at {mark}."
                    );
                }
                let unchanged =
                    mark.revision > 0 && delta.items.is_empty() && clock::now() >= waited;
                front.apply_delta(feed, delta, if unchanged { waited } else { sent }, "store");
            }
            Err(e) => {
                if !unreachable {
                    front.decision_log.log("lost", &store_dependency(feed));
                    log::warn!("news: reading feed {feed:?} from the store failed: {e}.");
                }
                unreachable = true;
                front.state.lock().reads_failed |= feed == Feed::Table;
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

/// The log line of a lost or regained dependency.
#[derive(Serialize)]
struct Dependency {
    dependency: String,
}

fn store_dependency(feed: Feed) -> Dependency {
    Dependency { dependency: format!("store {feed:?}") }
}

/// Syncs from other entry VMs; each request also reports this VM's liveness.
async fn run_sync(front: Arc<Front>) {
    let mut turn = 0;
    let mut region_sync_at = Duration::ZERO;
    loop {
        let now = clock::now();
        let (upstream, age) = {
            let state = front.state.lock();
            (state.fleet.upstream(now), state.feeds[Feed::Table as usize].age(now))
        };
        if now >= region_sync_at && front.state.lock().fleet.is_zone_leader(now) {
            region_sync_at = now + REGION_SYNC_INTERVAL;
            tokio::spawn(sync_region(front.clone()));
        }
        match &upstream {
            Some(vm) if *vm != front.me.vm => sync_vm(&front, vm, SYNC_TIMEOUT).await,
            Some(_) => {}
            None => {
                sync_seed(&front, turn).await;
                turn += 1;
            }
        }
        let waits = read_context(&front).awaits_first_table();
        if upstream.is_some() && !waits && age.is_none_or(|age| age > CROSS_ZONE_AGE) {
            sync_cross_zone(&front, turn).await;
            turn += 1;
        }
        sleep(if age.is_some() { SYNC_INTERVAL } else { FIRST_SYNC_INTERVAL }).await;
    }
}

/// Syncs from the leaders of the region's other zones, for the liveness of their VMs.
async fn sync_region(front: Arc<Front>) {
    let zones = front.state.lock().fleet.other_zones();
    for zone in zones {
        let vm = {
            let state = front.state.lock();
            if state.fleet.in_own_region(&zone) {
                state.fleet.leader_of(clock::now(), &zone)
            } else {
                None
            }
        };
        if let Some(vm) = vm {
            sync_vm(&front, &vm, CROSS_ZONE_TIMEOUT).await;
        }
    }
}

/// Syncs from the leader of another zone; `turn` selects the zone.
async fn sync_cross_zone(front: &Front, turn: usize) {
    let vm = {
        let state = front.state.lock();
        let zones = state.fleet.other_zones();
        if zones.is_empty() {
            return;
        }
        state.fleet.leader_of(clock::now(), &zones[turn % zones.len()])
    };
    if let Some(vm) = vm {
        sync_vm(front, &vm, CROSS_ZONE_TIMEOUT).await;
    }
}

/// Syncs from a seed of the settings; `turn` selects it.
async fn sync_seed(front: &Front, turn: usize) {
    let seeds = &front.config.peers.seeds;
    let own = front.config.listen.callers.ip();
    let others: Vec<_> = seeds.iter().map(|s| s.ip()).filter(|ip| *ip != own).collect();
    if others.is_empty() {
        return;
    }
    let addr = front.peer_addr(others[turn % others.len()]);
    let sent = clock::now();
    // An empty name accepts whichever VM listens at the address.
    let any_vm = VmId::default();
    match request_sync(front, &any_vm, addr, true, CROSS_ZONE_TIMEOUT).await {
        Ok(response) => front.apply_response(response, sent, "seed"),
        Err(e) => log::debug!("news: no updates from seed {addr}: {e}."),
    }
}

async fn sync_vm(front: &Front, vm: &VmId, timeout: Duration) {
    let Some(addr) = front.state.lock().fleet.record(vm).map(|e| e.peers) else { return };
    let sent = clock::now();
    match request_sync(front, vm, addr, false, timeout).await {
        Ok(mut response) => {
            let observations = std::mem::take(&mut response.observations);
            front.merge_observations(vm, sent, observations);
            let (leaving, store_unreachable) = (response.leaving, response.store_unreachable);
            front.apply_response(response, sent, vm.as_str());
            let now = clock::now();
            let age = front.state.table_age(now);
            let waits = read_context(front).awaits_first_table();
            let mut state = front.state.lock();
            let limit = if state.fleet.is_zone_leader(now) {
                LEADER_UPSTREAM_AGE_MAX
            } else {
                MEMBER_UPSTREAM_AGE_MAX
            };
            match age {
                _ if leaving => state.fleet.mark_leaving(now, vm),
                Some(age) if age < limit && !store_unreachable => state.fleet.mark_fresh(vm),
                None if waits && !store_unreachable => {}
                _ => state.fleet.mark_stale(now, vm),
            }
        }
        Err(e) => {
            log::debug!("news: no updates from {vm}: {e}.");
            front.state.lock().fleet.mark_unresponsive(clock::now(), vm);
        }
    }
}

/// Requests updates from the VM at `addr`; if `vms_only`, only those of the entry VMs' records.
async fn request_sync(
    front: &Front,
    vm: &VmId,
    addr: SocketAddr,
    vms_only: bool,
    timeout: Duration,
) -> Result<SyncResponse, String> {
    let held = front.state.lock().feeds.each_ref().map(|f| f.mark());
    let (marks, eras) = held.iter().map(|mark| (mark.revision, mark.era)).unzip();
    let callers = front.config.listen.callers.to_string();
    let serving = front.is_serving();
    let observations = front.observations_to_leader(vm);
    let deflate = true;
    let request = SyncRequest { marks, callers, serving, vms_only, observations, deflate, eras };
    let request = Body::SyncRequest(request);
    match front.sessions.call(vm, addr, request, timeout).await {
        Ok(Body::SyncResponse(response)) => Ok(response),
        Ok(_) => Err("unexpected kind of response".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

impl Front {
    /// Applies another VM's response to a request that was sent at `sent`.
    fn apply_response(&self, response: SyncResponse, sent: Duration, from: &str) {
        let now = clock::now();
        let liveness: Vec<_> = response.live.iter().filter_map(|w| w.to_liveness()).collect();
        self.state.lock().fleet.merge_liveness(now, liveness);
        for update in response.feeds {
            let Some((feed, age, delta)) = update.to_delta() else { continue };
            let items = delta.items.clone();
            self.apply_delta(feed, delta, sent.saturating_sub(age), from);
            if self.state.holds(feed, &items) {
                self.contents.keep(&update);
            }
        }
    }

    /// Applies an update of a feed that was current at `as_of`, and logs a new routing table.
    fn apply_delta(&self, feed: Feed, delta: Delta, as_of: Duration, from: &str) {
        let now = clock::now();
        let era = delta.mark.era;
        let applied = self.state.apply_delta(now, feed, delta, as_of);
        if applied.restored {
            self.decision_log.log("restored", &StoreRestored { feed: format!("{feed:?}"), era });
            if feed == Feed::Vms && !self.state.lock().has_record(&self.me) {
                self.record_lost.notify_one();
            }
        }
        let Some(version) = applied.version else { return };
        let age_ms = now.saturating_sub(as_of).as_millis() as u64;
        let accepted =
            TableAccepted { what: "configuration", version, age_ms, from: from.to_owned() };
        self.decision_log.log_limited("believes", &accepted);
        self.report_overturned(now);
        self.metrics.version.set(version as i64);
    }

    /// Address for sessions with the VM at `ip`.
    pub(crate) fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        (ip, self.config.peers.port).into()
    }
}
