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
use crate::peer::{Body, SyncRequest, SyncResponse};
use crate::steer::{Delta, Feed, VmRecord};

use super::Front;

/// Time between two questions for news.
const SYNC_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for an answer in the zone.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for an answer from another zone.
const FAR_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of news from which on a zone's head passes their source over.
const HEAD_AGE: Duration = Duration::from_millis(1_200);
/// Age of news from which on the other VMs of a zone pass their head over.
const MEMBER_AGE: Duration = Duration::from_millis(1_400);
/// Age of the configuration from which on a VM reads the store itself.
const READ_AGE: Duration = Duration::from_millis(1_700);
/// Time after a start at which a VM that knows no configuration reads the store itself.
const START_AGE: Duration = Duration::from_millis(500);
/// Age of the configuration from which on VMs of other zones are asked.
const FAR_AGE: Duration = Duration::from_millis(2_000);
/// Time between two questions to another zone of the region.
const NEAR_PAUSE: Duration = Duration::from_millis(900);
/// Wait of the watch that proves the configuration's age.
const TABLE_WAIT: Duration = Duration::from_millis(600);
/// Wait of the watch on targets: no longer, since an answer can be lost with its connection.
const TARGETS_WAIT: Duration = Duration::from_millis(1_300);
/// Wait of the watch on evacuations.
const EVACUATIONS_WAIT: Duration = Duration::from_millis(2_500);
/// Wait of the watch on entry VMs.
const VMS_WAIT: Duration = Duration::from_millis(5_000);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause between looks at whether this VM has to read the store.
const IDLE_LOOK: Duration = Duration::from_millis(100);
/// Pause between two tries to write this VM's entry.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Believed {
    what: &'static str,
    version: u64,
    age_ms: u64,
    from: String,
}

/// Starts the tasks that follow the store.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(announce(front.clone()));
    tokio::spawn(sync(front.clone()));
    for feed in Feed::ALL {
        tokio::spawn(read(front.clone(), feed));
    }
}

/// Writes this VM's entry, until the store has it.
async fn announce(front: Arc<Front>) {
    let entry = VmRecord {
        place: front.place.clone(),
        peers: front.peer_addr(front.config.listen.callers.ip()),
        callers: front.config.listen.callers,
        incarnation: front.me.incarnation,
    };
    let mut first = true;
    loop {
        match front.source.announce(&front.me.vm, &entry).await {
            // After a lost answer, the older entry may be this life's own.
            Ok(replaced) => return front.known.parts().joined(first && replaced),
            Err(e) => log::warn!("news: this VM's entry is not written: {e}."),
        }
        first = false;
        sleep(ANNOUNCE_PAUSE).await;
    }
}

/// True if this VM has to read the store itself.
fn reads(front: &Front) -> bool {
    let now = clock::now();
    let parts = front.known.parts();
    if parts.fleet.upstream(now).is_none_or(|vm| vm == front.me.vm) {
        return true;
    }
    // Where others are known, a new process asks them first.
    let age = parts.feeds[Feed::Table as usize].age(now);
    match age {
        Some(age) => age > READ_AGE,
        None => now.saturating_sub(front.started) > START_AGE,
    }
}

/// Reads one feed of the store while nobody nearer does.
async fn read(front: Arc<Front>, feed: Feed) {
    let mut failing = false;
    loop {
        let reads = reads(&front);
        if !reads {
            // Others are asked in its place; whether the store answers is not known any more.
            front.unread.store(false, Ordering::Relaxed);
        }
        let waits = feed != Feed::Table && front.unread.load(Ordering::Relaxed);
        if waits || !reads {
            sleep(IDLE_LOOK).await;
            continue;
        }
        let sent = clock::now();
        let mark = front.known.parts().feeds[feed as usize].mark();
        let read = match mark {
            0 => front.source.list(feed).await,
            mark => front.source.changes(feed, mark, wait_of(feed)).await,
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
                if failing {
                    front.decisions.always("regained", &format_feed(feed));
                }
                failing = false;
                front.unread.store(false, Ordering::Relaxed);
                // A watch that ran to its end without a change was true for all of its wait.
                let waited = sent + wait_of(feed);
                let quiet = mark > 0 && delta.items.is_empty() && clock::now() >= waited;
                front.offer(feed, delta, if quiet { waited } else { sent }, "store");
            }
            Err(e) => {
                if !failing {
                    front.decisions.always("lost", &format_feed(feed));
                    log::warn!("news: {feed:?} is not read: {e}.");
                }
                failing = true;
                front.unread.store(true, Ordering::Relaxed);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn wait_of(feed: Feed) -> Duration {
    match feed {
        Feed::Table => TABLE_WAIT,
        Feed::Targets => TARGETS_WAIT,
        Feed::Evacuations => EVACUATIONS_WAIT,
        Feed::Vms => VMS_WAIT,
    }
}

#[derive(Serialize)]
struct Dependency {
    dependency: String,
}

fn format_feed(feed: Feed) -> Dependency {
    Dependency { dependency: format!("store {feed:?}") }
}

/// Asks other entry VMs for news and says that this VM lives.
async fn sync(front: Arc<Front>) {
    let mut seed = 0;
    let mut near_next = Duration::ZERO;
    loop {
        let now = clock::now();
        let (source, age) = {
            let parts = front.known.parts();
            (parts.fleet.upstream(now), parts.feeds[Feed::Table as usize].age(now))
        };
        if now >= near_next && front.known.parts().fleet.is_zone_leader(now) {
            near_next = now + NEAR_PAUSE;
            tokio::spawn(ask_near(front.clone()));
        }
        match &source {
            Some(vm) if *vm != front.me.vm => ask(&front, vm, SYNC_TIMEOUT).await,
            Some(_) => {}
            None => {
                ask_seed(&front, seed).await;
                seed += 1;
            }
        }
        if source.is_some() && age.is_none_or(|age| age > FAR_AGE) {
            ask_far(&front, seed).await;
            seed += 1;
        }
        sleep(SYNC_PAUSE).await;
    }
}

/// Asks the other zones of the region who lives there.
async fn ask_near(front: Arc<Front>) {
    let zones = front.known.parts().fleet.other_zones();
    for zone in zones {
        let vm = {
            let parts = front.known.parts();
            if parts.fleet.in_own_region(&zone) {
                parts.fleet.leader_of(clock::now(), &zone)
            } else {
                None
            }
        };
        if let Some(vm) = vm {
            ask(&front, &vm, FAR_TIMEOUT).await;
        }
    }
}

/// Asks one VM of another zone; `turn` chooses the zone.
async fn ask_far(front: &Front, turn: usize) {
    let vm = {
        let parts = front.known.parts();
        let zones = parts.fleet.other_zones();
        if zones.is_empty() {
            return;
        }
        parts.fleet.leader_of(clock::now(), &zones[turn % zones.len()])
    };
    if let Some(vm) = vm {
        ask(front, &vm, FAR_TIMEOUT).await;
    }
}

/// Asks a VM that is known from the settings only.
async fn ask_seed(front: &Front, turn: usize) {
    let seeds = &front.config.peers.seeds;
    let own = front.config.listen.callers.ip();
    let others: Vec<_> = seeds.iter().map(|s| s.ip()).filter(|ip| *ip != own).collect();
    if others.is_empty() {
        return;
    }
    let addr = front.peer_addr(others[turn % others.len()]);
    let sent = clock::now();
    let anyone = VmId::default();
    match call(front, &anyone, addr, FAR_TIMEOUT).await {
        Ok(news) => front.take_news(news, sent, "seed"),
        Err(e) => log::debug!("news: {addr} gave none: {e}."),
    }
}

async fn ask(front: &Front, vm: &VmId, timeout: Duration) {
    let Some(addr) = front.known.parts().fleet.record(vm).map(|e| e.peers) else { return };
    let sent = clock::now();
    match call(front, vm, addr, timeout).await {
        Ok(news) => {
            let (leaving, unread) = (news.leaving, news.store_unreachable);
            front.take_news(news, sent, vm.as_str());
            let now = clock::now();
            let age = front.known.table_age(now);
            let mut parts = front.known.parts();
            let limit = if parts.fleet.is_zone_leader(now) { HEAD_AGE } else { MEMBER_AGE };
            match age {
                _ if leaving => parts.fleet.mark_leaving(now, vm),
                Some(age) if age < limit && !unread => parts.fleet.mark_responsive(vm),
                _ => parts.fleet.mark_unresponsive(now, vm),
            }
        }
        Err(e) => {
            log::debug!("news: {vm} gave none: {e}.");
            front.known.parts().fleet.mark_unresponsive(clock::now(), vm);
        }
    }
}

/// Asks the VM at `addr` for news.
async fn call(
    front: &Front,
    vm: &VmId,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<SyncResponse, String> {
    let marks = front.known.parts().feeds.iter().map(|f| f.mark()).collect();
    let callers = front.config.listen.callers.to_string();
    let question = Body::SyncRequest(SyncRequest { marks, callers, serving: front.is_serving() });
    match front.sessions.call(vm, addr, question, timeout).await {
        Ok(Body::SyncResponse(news)) => Ok(news),
        Ok(_) => Err("it sent no news".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

impl Front {
    /// Takes in another VM's news; `sent` is when they were asked for.
    fn take_news(&self, news: SyncResponse, sent: Duration, from: &str) {
        let now = clock::now();
        let heard: Vec<_> = news.live.iter().filter_map(|w| w.to_liveness()).collect();
        self.known.parts().fleet.merge_liveness(now, heard);
        for feed in news.feeds {
            if let Some((feed, age, delta)) = feed.into_delta() {
                self.offer(feed, delta, sent.saturating_sub(age), from);
            }
        }
    }

    /// Takes in news of a feed that were true at `fresh`.
    fn offer(&self, feed: Feed, delta: Delta, fresh: Duration, from: &str) {
        let now = clock::now();
        let Some(version) = self.known.offer(now, feed, delta, fresh) else { return };
        let age_ms = now.saturating_sub(fresh).as_millis() as u64;
        let believed = Believed { what: "configuration", version, age_ms, from: from.to_owned() };
        self.decisions.note("believes", &believed);
        self.metrics.version.set(version as i64);
    }

    /// The address for sessions of the VM at `ip`.
    pub(crate) fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        (ip, self.config.peers.port).into()
    }
}
