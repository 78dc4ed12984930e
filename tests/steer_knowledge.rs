//! The state that fronts share and derive: replicas of feeds, the routing table, the fleet of entry
//! VMs, and retry budgets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use shallotstall::model::{CustomerId, Place, RegionId, VmId, ZoneId};
use shallotstall::steer::{
    Access, Customer, Delta, Fleet, Item, Liveness, Mark, RankClass, Replica, RequestLimits,
    RetryBounds, RetryBudgets, Route, Table, TableIndex, VmRecord, WeightedService, key_hash,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A state of a store that was never restored.
fn at(revision: u64) -> Mark {
    Mark { era: 0, revision }
}

fn item(name: &str, revision: u64, body: Option<&str>) -> Item {
    let body = body.map(|b| Bytes::from(b.to_owned()));
    Item { name: name.to_owned(), revision, body }
}

fn contents(replica: &Replica) -> BTreeMap<String, Bytes> {
    replica.items().map(|(name, body)| (name.to_owned(), body.clone())).collect()
}

#[test]
fn an_older_state_is_never_applied() {
    let mut replica = Replica::default();
    let full = Delta { full: true, mark: at(10), items: vec![item("a", 9, Some("new"))] };
    replica.apply(full, ms(100));
    let stale = Delta { full: true, mark: at(5), items: vec![item("a", 4, Some("old"))] };
    assert!(replica.apply(stale, ms(200)).is_empty());
    let late = Delta { full: false, mark: at(6), items: vec![item("a", 6, None)] };
    assert!(replica.apply(late, ms(300)).is_empty());
    assert_eq!(contents(&replica).len(), 1);
    assert_eq!(replica.mark(), at(10));
    assert_eq!(
        replica.age(ms(400)),
        Some(ms(300)),
        "an older state does not make the replica fresher"
    );
}

#[test]
fn objects_missing_from_a_full_state_are_removed() {
    let mut replica = Replica::default();
    let items = vec![item("a", 1, Some("x")), item("b", 2, Some("y"))];
    replica.apply(Delta { full: true, mark: at(2), items }, ms(0));
    let next = Delta { full: true, mark: at(7), items: vec![item("b", 2, Some("y"))] };
    assert_eq!(replica.apply(next, ms(10)), ["a"]);
    // A peer at revision 2 gets the removal.
    let delta = replica.delta(at(2));
    assert!(!delta.full);
    assert_eq!(delta.items, [item("a", 7, None)]);
}

/// Guards against a copy that goes by revisions of before a restore.
#[test]
fn of_another_era_only_a_later_full_state_is_applied() {
    let mark = |era, revision| Mark { era, revision };
    let mut replica = Replica::default();
    let old = Delta { full: true, mark: mark(1, 10), items: vec![item("a", 9, Some("old"))] };
    assert!(!replica.is_restored_by(&old), "the first state");
    replica.apply(old.clone(), ms(100));
    let changes = Delta { full: false, mark: mark(2, 20), items: vec![item("a", 20, Some("x"))] };
    assert!(replica.apply(changes, ms(200)).is_empty(), "changes since another history");
    let items = vec![item("a", 4, Some("new")), item("b", 3, Some("y"))];
    let restored = Delta { full: true, mark: mark(2, 5), items };
    assert!(replica.is_restored_by(&restored));
    assert_eq!(replica.apply(restored, ms(300)), ["a", "b"]);
    assert!(replica.apply(old, ms(400)).is_empty(), "an earlier era");
    assert_eq!((replica.mark(), replica.age(ms(400))), (mark(2, 5), Some(ms(100))));
    assert!(replica.delta(mark(1, 5)).full, "for a VM that knows the earlier era");
    assert!(!replica.delta(mark(2, 5)).full);
}

/// A change in the store: a name among a few, and whether it is put or removed.
fn change() -> impl Strategy<Value = (u8, bool)> {
    (0..5u8, any::<bool>())
}

/// What a replica reads from the store at `mark`: the changes, or all objects of another era.
fn read(
    replica: &Replica,
    store: &BTreeMap<String, (u64, Bytes)>,
    events: &[Item],
    mark: Mark,
) -> Delta {
    let held = replica.mark();
    if held.era == mark.era {
        let items = events.iter().filter(|i| i.revision > held.revision).cloned().collect();
        return Delta { full: false, mark, items };
    }
    let items = store.iter().map(|(name, (revision, body))| Item {
        name: name.clone(),
        revision: *revision,
        body: Some(body.clone()),
    });
    Delta { full: true, mark, items: items.collect() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default() })]

    /// A chain of replicas, each updated from the one before it at random times, ends with the
    /// state of the store, however often it is restored from a backup.
    #[test]
    fn replicas_of_replicas_match_the_store(
        steps in prop::collection::vec((change(), 0..4u8, 0..12u8), 1..60),
    ) {
        let mut store: BTreeMap<String, (u64, Bytes)> = BTreeMap::new();
        let mut revision = 0;
        let mut era = 1;
        let mut backup = (store.clone(), revision);
        let (mut first, mut second) = (Replica::default(), Replica::default());
        let mut events: Vec<Item> = Vec::new();
        for (step, ((name, put), sync, backing_up)) in (1..).zip(steps) {
            match backing_up {
                0 => backup = (store.clone(), revision),
                1 => {
                    (store, revision) = backup.clone();
                    events.retain(|event| event.revision <= revision);
                    era += 1;
                }
                _ => {}
            }
            revision += 1;
            let name = format!("n{name}");
            if put {
                let body = Bytes::from(format!("{era}/{revision}"));
                store.insert(name.clone(), (revision, body.clone()));
                events.push(Item { name, revision, body: Some(body) });
            } else if store.remove(&name).is_some() {
                events.push(Item { name, revision, body: None });
            }
            if sync & 1 > 0 {
                first.apply(read(&first, &store, &events, Mark { era, revision }), ms(step));
            }
            if sync & 2 > 0 {
                let delta = first.delta(second.mark());
                second.apply(delta, ms(step));
            }
        }
        let last = ms(1_000);
        first.apply(read(&first, &store, &events, Mark { era, revision }), last);
        second.apply(first.delta(second.mark()), last);
        let expected: BTreeMap<String, Bytes> =
            store.into_iter().map(|(name, (_, body))| (name, body)).collect();
        prop_assert_eq!(&contents(&first), &expected);
        prop_assert_eq!(&contents(&second), &expected);
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout_ms: 1_000,
        aim_ms: 500,
        priority: 0,
        parts: vec![WeightedService { service: "s".into(), weight: 1.0 }],
        attempts: 2,
        open: false,
        sticky: true,
        homes: Vec::new(),
    }
}

fn index() -> TableIndex {
    let customer = |name: &str, key: &str, homes: &[&str]| Customer {
        id: CustomerId::new(name),
        keys: vec![key_hash(key)],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        homes: homes.iter().map(|h| RegionId::new(*h)).collect(),
    };
    TableIndex::new(Table {
        version: 3,
        routes: vec![
            route("short", "zoo.example", "/a/"),
            route("long", "zoo.example", "/a/b/"),
            Route { homes: vec!["r".into(), "s".into()], ..route("homed", "zoo.example", "/h/") },
            Route { open: true, ..route("open", "farm.example", "/") },
        ],
        services: Vec::new(),
        customers: vec![customer("owls", "k1", &[]), customer("bears", "k2", &["s", "t"])],
        bounds: RequestLimits::default(),
    })
}

#[test]
fn the_route_with_the_longest_prefix_is_chosen() {
    let index = index();
    let cases = [
        ("zoo.example", "/a/x", Some("short")),
        ("zoo.example", "/a/b/x", Some("long")),
        ("zoo.example", "/a/bx", Some("short")),
        ("ZOO.example:8080", "/a/b/", Some("long")),
        ("zoo.example", "/a", None),
        ("zoo.example", "/", None),
        ("farm.example", "/anything", Some("open")),
        ("other.example", "/a/x", None),
    ];
    for (host, path, expected) in cases {
        let found = index.route(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn keys_and_home_regions_are_enforced() {
    let index = index();
    let short = index.route("zoo.example", "/a/").expect("a route");
    let homed = index.route("zoo.example", "/h/").expect("a route");
    let open = index.route("farm.example", "/").expect("a route");
    assert_eq!(index.access(short, None), Access::Denied);
    assert_eq!(index.access(short, Some("k3")), Access::Denied);
    assert_eq!(index.access(open, Some("k3")), Access::Open);
    let owls = index.access(short, Some("k1"));
    let bears = index.access(short, Some("k2"));
    assert!(matches!(owls, Access::Customer(c) if c.id.as_str() == "owls"));
    assert_eq!(index.allowed_regions(short, owls), None);
    assert_eq!(index.allowed_regions(homed, owls), Some(vec!["r".into(), "s".into()]));
    assert_eq!(index.allowed_regions(short, bears), Some(vec!["s".into(), "t".into()]));
    assert_eq!(
        index.allowed_regions(homed, bears),
        Some(vec!["s".into()]),
        "both the route's and the customer's home regions apply"
    );
}

const ZONES: [(&str, &str); 4] = [("a", "r"), ("b", "r"), ("c", "s"), ("d", "s")];

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

/// A fleet of 8 VMs in 4 zones as VM `me` knows it. Zone `a` has the VMs 0 and 4, zone `b` 1 and 5,
/// and so on.
fn fleet(me: u8) -> Fleet {
    let place = |n: u8| {
        let (zone, region) = ZONES[usize::from(n) % 4];
        Place { region: region.into(), zone: zone.into() }
    };
    let regions = ZONES.iter().map(|(z, r)| (ZoneId::new(*z), RegionId::new(*r))).collect();
    let mut fleet = Fleet::new(vm(me), place(me), regions);
    for n in 0..8 {
        let (peers, callers) = (addr(n + 100), addr(n));
        fleet.put(
            vm(n),
            VmRecord { place: place(n), peers, callers, incarnation: 1, cpu_millis: 100 },
        );
    }
    fleet
}

fn vm(number: u8) -> VmId {
    VmId::new(format!("vm-{number}"))
}

fn liveness(number: u8, serving: bool) -> Liveness {
    let zone = ZoneId::new(ZONES[usize::from(number) % 4].0);
    Liveness { vm: vm(number), zone, callers: addr(number), serving, age: Duration::ZERO }
}

/// The VM that reads the store for VM `me` while the VMs in `unresponsive` do not respond, or have
/// old data if they are `stale`: the end of the chain of upstream VMs.
fn reader(me: u8, unresponsive: &[u8], stale: bool) -> VmId {
    let mut at = me;
    for _ in 0..4 {
        let mut fleet = fleet(at);
        unresponsive.iter().filter(|n| **n != at).for_each(|n| match stale {
            true => fleet.mark_stale(ms(0), &vm(*n)),
            false => fleet.mark_unresponsive(ms(0), &vm(*n)),
        });
        let upstream = fleet.upstream(ms(1)).expect("an upstream VM");
        if upstream == vm(at) {
            return upstream;
        }
        at = upstream.as_str()[3..].parse().expect("a number");
    }
    panic!("the upstream VMs of vm-{me} form a loop");
}

#[test]
fn all_vms_of_a_region_have_one_reader_despite_unresponsive_vms() {
    for unresponsive in [&[][..], &[0], &[1], &[4], &[5], &[0, 1], &[4, 5], &[0, 4], &[1, 5]] {
        let responsive: Vec<u8> =
            [0, 1, 4, 5].into_iter().filter(|n| !unresponsive.contains(n)).collect();
        for stale in [false, true] {
            let readers: Vec<VmId> =
                responsive.iter().map(|n| reader(*n, unresponsive, stale)).collect();
            assert!(readers.iter().all(|r| *r == readers[0]), "{unresponsive:?}: {readers:?}");
            assert!(
                unresponsive.iter().all(|n| vm(*n) != readers[0]),
                "{unresponsive:?}: {readers:?}"
            );
        }
    }
}

#[test]
fn an_unresponsive_vm_is_chosen_again_later() {
    let mut fleet = fleet(7);
    let first = fleet.pool_vm(ms(0)).expect("a pool");
    fleet.mark_unresponsive(ms(0), &first);
    assert_ne!(fleet.pool_vm(ms(1)), Some(first.clone()));
    assert_eq!(fleet.pool_vm(ms(5_000)), Some(first.clone()));
    fleet.mark_leaving(ms(5_000), &first);
    assert_ne!(fleet.pool_vm(ms(8_000)), Some(first), "it is shutting down");
}

/// The store can't be read for a moment, so every upstream's data becomes too old. Moving the token
/// pool and the zones' tokens, too, left callers without tokens for seconds.
#[test]
fn a_stale_upstream_still_grants_tokens() {
    let mut fleet = fleet(4);
    let (leader, pool) = (fleet.token_leader(ms(0)), fleet.pool_vm(ms(0)));
    for n in 0..8 {
        fleet.mark_stale(ms(0), &vm(n));
    }
    assert_eq!(fleet.zone_leader(ms(1)), None, "none has recent data");
    assert_eq!(fleet.token_leader(ms(1)), leader);
    assert_eq!(fleet.pool_vm(ms(1)), pool);
    let leader = leader.expect("a leader");
    fleet.mark_responsive(&leader);
    assert_eq!(fleet.zone_leader(ms(2)), None, "its data may still be too old");
    fleet.mark_fresh(&leader);
    assert_eq!(fleet.zone_leader(ms(2)), Some(leader.clone()));
    fleet.mark_unresponsive(ms(2), &leader);
    assert_ne!(fleet.token_leader(ms(3)), Some(leader), "it does not respond");
}

#[test]
fn look_ups_return_live_vms_that_accept_callers() {
    let mut fleet = fleet(0);
    let zone = ZoneId::new("a");
    assert_eq!(fleet.lookup_addrs(ms(0), &zone, Some(addr(0)), 64), [addr(0)]);
    fleet.merge_liveness(ms(0), [liveness(4, true), liveness(1, true), liveness(2, true)]);
    assert_eq!(fleet.lookup_addrs(ms(10), &zone, Some(addr(0)), 64), [addr(0), addr(4)]);
    fleet.merge_liveness(ms(100), [liveness(4, false), liveness(1, true), liveness(2, true)]);
    let from_region = fleet.lookup_addrs(ms(110), &zone, Some(addr(0)), 64);
    assert_eq!(from_region, [addr(0), addr(1)], "the region, since one VM of the zone is too few");
    let from_all = fleet.lookup_addrs(ms(110), &ZoneId::new("c"), None, 64);
    assert_eq!(from_all, [addr(1), addr(2)], "all VMs, since one of the region is too few");
    assert_eq!(
        fleet.lookup_addrs(ms(2_500), &zone, Some(addr(0)), 64),
        [addr(0)],
        "all reports have expired"
    );
}

/// A VM of a zone with 30 VMs: 3 large ones and 27 small ones. `known` lists the VMs with a record.
fn large_zone(me: usize, known: std::ops::Range<usize>) -> Fleet {
    let place = Place { region: "r".into(), zone: "a".into() };
    let regions = BTreeMap::from([("a".into(), "r".into())]);
    let mut fleet = Fleet::new(large_vm(me), place.clone(), regions);
    for n in known {
        let cpu_millis = if n < 3 { 500 } else { 100 };
        let (peers, callers) = (addr(n as u8 + 100), addr(n as u8));
        let record = VmRecord { place: place.clone(), peers, callers, incarnation: 1, cpu_millis };
        fleet.put(large_vm(n), record);
    }
    fleet
}

fn large_vm(number: usize) -> VmId {
    VmId::new(format!("vm-{number}"))
}

fn large_zone_liveness(running: impl Iterator<Item = usize>) -> Vec<Liveness> {
    let report = |n: usize| Liveness {
        vm: large_vm(n),
        zone: "a".into(),
        callers: addr(n as u8),
        serving: true,
        age: Duration::ZERO,
    };
    running.map(report).collect()
}

/// In a large fleet, requests that are spread over all VMs open a connection each and find no
/// knowledge of their target. Callers are sent to few VMs, the largest first.
#[test]
fn look_ups_of_a_large_zone_return_few_vms() {
    let mut fleet = large_zone(29, 0..30);
    fleet.merge_liveness(ms(0), large_zone_liveness(0..29));
    let zone = ZoneId::new("a");
    let all = fleet.lookup_addrs(ms(1), &zone, Some(addr(29)), 64);
    assert_eq!(all.len(), 4, "{all:?}");
    assert!((0..3).all(|n| all.contains(&addr(n))), "the large ones are among {all:?}");
    // All but the small ones from 10 on have ended.
    let mut fleet = large_zone(29, 0..30);
    fleet.merge_liveness(ms(3_000), large_zone_liveness(10..29));
    let rest = fleet.lookup_addrs(ms(3_001), &zone, Some(addr(29)), 64);
    assert_eq!(rest.len(), 4, "others take the place of those that ended: {rest:?}");
}

#[test]
fn liveness_that_is_passed_on_is_enough_for_look_ups() {
    let zone = ZoneId::new("a");
    for first in [0, 2, 7, 20] {
        let mut leader = large_zone(0, 0..30);
        leader.merge_liveness(ms(0), large_zone_liveness(first..29));
        let reports = leader.liveness(ms(1));
        assert!(reports.len() <= 8, "{} reports", reports.len());
        let mut member = large_zone(29, 0..30);
        member.merge_liveness(ms(1), reports);
        let expected = leader.lookup_addrs(ms(2), &zone, None, 64);
        assert_eq!(member.lookup_addrs(ms(2), &zone, None, 64), expected);
    }
}

/// Shares must not add up to more than the whole while VMs join.
#[test]
fn shares_of_a_zone_add_up_to_one() {
    for known in [1, 2, 4, 5, 12, 30] {
        let shares = (0..known).map(|n| large_zone(n, 0..known).own_share());
        let sum: f64 = shares.sum();
        assert!((sum - 1.0).abs() < 1e-9, "{known} VMs own {sum}");
    }
    assert_eq!(large_zone(0, 1..30).own_share(), 0.0, "a VM without a record owns nothing");
}

#[test]
fn one_vm_of_a_zone_sends_to_its_cold_targets() {
    let pacing: Vec<u8> = [0, 4]
        .into_iter()
        .filter(|n| {
            let mut fleet = fleet(*n);
            fleet.merge_liveness(ms(0), [liveness(0, true), liveness(4, true), liveness(1, true)]);
            fleet.paces_cold_targets(ms(1))
        })
        .collect();
    assert_eq!(pacing.len(), 1);
}

#[test]
fn retries_of_all_vms_stay_within_the_bound() {
    let bounds = RetryBounds { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let service = "s".into();
    let vms = 20;
    let mut total = 0;
    let mut requests = 0;
    for vm in 0..vms {
        let mut retries = RetryBudgets::new(bounds);
        retries.set_share(1.0 / vms as f64);
        // For ten seconds, this VM gets a request every 40 ms and attempts a retry every 10 ms.
        for step in 0..1_000u64 {
            let now = ms(step * 10 + vm as u64);
            if step % 4 == 0 {
                retries.deposit(now, &service, RankClass::HIGHEST);
                requests += 1;
            }
            total += usize::from(retries.try_withdraw(now, &service, RankClass::HIGHEST));
        }
    }
    let bound = 0.2 * f64::from(requests) + 100.0;
    assert!(total as f64 <= bound, "{total} retries, {bound} allowed");
    assert!(total as f64 >= bound * 0.5, "{total} retries of {bound} allowed: too few");
}
