//! Which entry VMs read the store: few at the start of a large fleet, and any VM soon after its
//! leaders have failed.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotstall::model::{Place, RegionId, VmId, ZoneId};
use shallotstall::steer::{Feed, Fleet, ReadContext, Upstream, VmRecord};

/// Time from one request to an unresponsive upstream VM to the next.
const SYNC_STEP: Duration = Duration::from_millis(650);
/// Step of the checks whether to read the store.
const CHECK_STEP: Duration = Duration::from_millis(50);
/// Age of the routing table at which every VM must read the store, so that a target that leaves gets
/// no requests 2.5 s later.
const READ_BY: Duration = Duration::from_millis(1_800);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn starting(upstream: Upstream, uptime: u64) -> ReadContext {
    ReadContext { upstream, asks_seeds: true, table_age: None, uptime: ms(uptime) }
}

#[test]
fn starting_vms_leave_the_store_to_seeds_and_leaders() {
    let feeds = [Feed::Table, Feed::Targets, Feed::Evacuations, Feed::Vms];
    for feed in feeds {
        assert!(!starting(Upstream::Unknown, 300).must_read(feed), "{feed:?}: the seeds answer");
        assert!(!starting(Upstream::Other, 1_500).must_read(feed), "{feed:?}: the leader answers");
        assert!(starting(Upstream::Own, 0).must_read(feed), "{feed:?}: the leader reads");
        let alone = ReadContext { asks_seeds: false, ..starting(Upstream::Unknown, 0) };
        assert_eq!(alone.must_read(feed), feed == Feed::Vms, "{feed:?}: a seed, or a restart");
        assert!(starting(Upstream::Unknown, 3_000).must_read(feed), "{feed:?}: no seed answered");
        assert!(starting(Upstream::Other, 3_000).must_read(feed), "{feed:?}: no leader answered");
    }
    assert!(starting(Upstream::Unknown, 1_000).must_read(Feed::Vms), "the seeds are gone");
    assert!(!starting(Upstream::Unknown, 1_000).must_read(Feed::Targets));
}

/// The zone's VMs `0..count` as VM `me` knows them.
fn zone(me: usize, count: usize) -> Fleet {
    let place = Place { region: RegionId::new("r"), zone: ZoneId::new("a") };
    let regions = BTreeMap::from([(place.zone.clone(), place.region.clone())]);
    let mut fleet = Fleet::new(vm(me), place.clone(), regions);
    for n in 0..count {
        let addr = ([10, 0, 0, n as u8], 80).into();
        let (peers, callers, incarnation) = (addr, addr, 1);
        let record =
            VmRecord { place: place.clone(), peers, callers, incarnation, cpu_millis: 140 };
        fleet.put(vm(n), record);
    }
    fleet
}

fn vm(number: usize) -> VmId {
    VmId::new(format!("vm-{number}"))
}

/// All leaders fail at once, and the VMs in order after them, too. Going through them one by one
/// took longer than a target that leaves may still get requests.
#[test]
fn a_vm_reads_the_store_in_time_however_many_leaders_are_gone() {
    for me in 0..10 {
        let mut fleet = zone(me, 10);
        let (mut age, mut next_sync) = (Duration::ZERO, Duration::ZERO);
        while !reads_all(&fleet, me, age) {
            if age >= next_sync {
                let upstream = fleet.upstream(age).expect("an upstream VM");
                fleet.mark_unresponsive(age, &upstream);
                next_sync = age + SYNC_STEP;
            }
            age += CHECK_STEP;
            assert!(age <= READ_BY, "vm-{me} does not read the store");
        }
    }
}

fn reads_all(fleet: &Fleet, me: usize, table_age: Duration) -> bool {
    let upstream = match fleet.upstream(table_age) {
        None => Upstream::Unknown,
        Some(upstream) if upstream == vm(me) => Upstream::Own,
        Some(_) => Upstream::Other,
    };
    let uptime = table_age + ms(60_000);
    let context = ReadContext { upstream, asks_seeds: false, table_age: Some(table_age), uptime };
    Feed::ALL.into_iter().all(|feed| context.must_read(feed))
}
