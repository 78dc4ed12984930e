//! The balancer: affinity of keys to targets, allowed targets, probes, cold targets, overload, and
//! room for customers bound to a region.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use shallotstall::model::{RegionId, ServiceId, TargetId, ZoneId};
use shallotstall::steer::{
    Balancer, Customer, PickRequest, PickResult, Table, TableIndex, TargetReadiness, TargetRecord,
    TargetTrust, name_hash,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(number: u16, zone: &str) -> TargetRecord {
    TargetRecord {
        service: "rota".into(),
        addr: ([10, 0, 0, 1], number).into(),
        zone: zone.into(),
        slots: 6,
        state: TargetReadiness::Ready,
        cold_ms: 0,
        born_ms: 1,
    }
}

/// A balancer with `count` targets in two regions; region `north` has two of the three zones.
fn balancer(count: u16) -> Balancer {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions: HashMap<ZoneId, RegionId> =
        regions.iter().map(|(z, r)| ((*z).into(), (*r).into())).collect();
    let mut balancer = Balancer::new(regions);
    for i in 0..count {
        let zone = ["a", "b", "c"][usize::from(i) % 3];
        balancer.put(ms(0), id(i), record(i, zone));
    }
    balancer
}

fn id(number: u16) -> TargetId {
    TargetId::new(format!("t-{number}"))
}

struct Request {
    service: ServiceId,
    region: RegionId,
    allowed_regions: Option<Vec<RegionId>>,
    avoid: Vec<TargetId>,
    cold_rate: f64,
    time_left: Duration,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            service: "rota".into(),
            region: "north".into(),
            allowed_regions: None,
            avoid: Vec::new(),
            cold_rate: 5.0,
            time_left: ms(2_000),
        }
    }
}

impl Request {
    fn pick(&self, balancer: &mut Balancer, now: Duration, key: &str) -> Option<TargetId> {
        match self.pick_result(balancer, now, key) {
            PickResult::Target(pick) => Some(pick.id),
            _ => None,
        }
    }

    fn pick_result(&self, balancer: &mut Balancer, now: Duration, key: &str) -> PickResult {
        balancer.pick(now, &self.with_key(key))
    }

    fn refusal(&self, balancer: &mut Balancer, now: Duration) -> Option<PickResult> {
        balancer.refusal(now, &self.with_key("o"))
    }

    fn with_key(&self, key: &str) -> PickRequest<'_> {
        PickRequest {
            service: &self.service,
            affinity: name_hash(key.as_bytes()),
            region: &self.region,
            allowed_regions: self.allowed_regions.as_deref(),
            avoid: &self.avoid,
            cold_rate: self.cold_rate,
            time_left: self.time_left,
        }
    }
}

/// The targets of 300 affinity keys.
fn targets_of_keys(balancer: &mut Balancer, now: Duration) -> Vec<Option<TargetId>> {
    (0..300).map(|o| Request::default().pick(balancer, now, &format!("o{o}"))).collect()
}

#[test]
fn a_draining_target_moves_only_its_own_keys() {
    let mut balancer = balancer(12);
    let before = targets_of_keys(&mut balancer, ms(10));
    balancer.put(
        ms(20),
        id(4),
        TargetRecord { state: TargetReadiness::Draining, ..record(4, "b") },
    );
    let after = targets_of_keys(&mut balancer, ms(30));
    for (old, new) in before.iter().zip(&after) {
        assert_ne!(new.as_ref(), Some(&id(4)));
        assert!(old == new || old.as_ref() == Some(&id(4)), "a key moved from {old:?} to {new:?}");
    }
}

#[test]
fn a_new_target_moves_keys_only_to_itself() {
    let mut balancer = balancer(12);
    let before = targets_of_keys(&mut balancer, ms(10));
    balancer.put(ms(20), id(12), record(12, "a"));
    let after = targets_of_keys(&mut balancer, ms(30));
    let moved: Vec<_> = before.iter().zip(&after).filter(|(old, new)| old != new).collect();
    assert!(!moved.is_empty());
    assert!(moved.iter().all(|(_, new)| new.as_ref() == Some(&id(12))));
}

#[test]
fn targets_in_the_own_region_serve_most_keys() {
    let mut balancer = balancer(12);
    let far = |t: &TargetId| t.as_str()[2..].parse::<u16>().expect("a number") % 3 == 2;
    let count = targets_of_keys(&mut balancer, ms(10)).iter().flatten().filter(|t| far(t)).count();
    // A third of the targets are in the other region. Without a preference, they would serve 100.
    assert!((10..80).contains(&count), "{count} of 300 keys are served in the other region");
}

#[test]
fn picks_respect_regions_evacuations_and_services() {
    let mut balancer = balancer(12);
    let bound_south = Request { allowed_regions: Some(vec!["south".into()]), ..Request::default() };
    for o in 0..50 {
        let target = bound_south.pick(&mut balancer, ms(10), &format!("o{o}")).expect("a target");
        assert_eq!(balancer.record(&target).expect("a record").zone, "c".into());
    }
    balancer.set_evacuated_zones(ms(20), BTreeSet::from(["c".into()]));
    assert_eq!(bound_south.pick_result(&mut balancer, ms(30), "o1"), PickResult::NoTarget);
    let other = Request { service: "swaps".into(), ..Request::default() };
    assert_eq!(other.pick_result(&mut balancer, ms(30), "o1"), PickResult::NoTarget);
    // The targets of a zone that is no longer evacuated may be cold: each is probed first.
    balancer.set_evacuated_zones(ms(40), BTreeSet::new());
    assert_eq!(bound_south.pick_result(&mut balancer, ms(50), "o1"), PickResult::NoTarget);
    let due = balancer.due_probes(ms(50));
    assert_eq!(due.len(), 4);
    for probe in due {
        balancer.record_probe(ms(60), &probe.id, Some(Duration::ZERO));
    }
    assert!(bound_south.pick(&mut balancer, ms(70), "o1").is_some());
}

#[test]
fn a_failed_target_takes_requests_after_a_successful_probe() {
    let mut balancer = balancer(1);
    let request = Request::default();
    balancer.mark_failed(ms(10), &id(0));
    assert_eq!(request.pick_result(&mut balancer, ms(20), "o"), PickResult::NoTarget);
    assert!(balancer.due_probes(ms(20)).is_empty(), "the probe has a backoff");
    assert_eq!(balancer.due_probes(ms(400)).len(), 1);
    assert!(balancer.due_probes(ms(410)).is_empty(), "one probe at a time");
    balancer.record_probe(ms(420), &id(0), None);
    assert_eq!(request.pick_result(&mut balancer, ms(430), "o"), PickResult::NoTarget);
    assert_eq!(balancer.due_probes(ms(3_000)).len(), 1);
    // It has restarted and is cold for one second.
    balancer.record_probe(ms(3_010), &id(0), Some(ms(1_000)));
    assert_eq!(balancer.trust(&id(0)), Some(TargetTrust::Trusted));
    assert_eq!(
        request.pick_result(&mut balancer, ms(3_500), "o"),
        PickResult::NoTarget,
        "another VM sends to it while it is cold"
    );
    assert!(request.pick(&mut balancer, ms(5_000), "o").is_some());
}

#[test]
fn one_vm_sends_to_cold_targets_at_a_limited_rate() {
    let mut balancer = balancer(1);
    balancer.put(ms(0), id(0), TargetRecord { cold_ms: 60_000, ..record(0, "a") });
    let request = Request::default();
    assert_eq!(request.pick_result(&mut balancer, ms(10), "o"), PickResult::NoTarget);
    balancer.set_paced_zones(BTreeSet::from(["a".into()]));
    let sent =
        (0..1_000).filter(|i| request.pick(&mut balancer, ms(1_000 + i), "o").is_some()).count();
    assert!((1..=5).contains(&sent), "{sent} requests in a second, 5 allowed");
    let never = Request { cold_rate: 0.0, ..Request::default() };
    assert_eq!(never.pick_result(&mut balancer, ms(60_000), "o"), PickResult::NoTarget);
}

#[test]
fn a_restarted_target_counts_as_cold_again() {
    let mut balancer = balancer(1);
    let request = Request::default();
    assert!(request.pick(&mut balancer, ms(10), "o").is_some());
    balancer.put(ms(20), id(0), TargetRecord { cold_ms: 3_000, born_ms: 2, ..record(0, "a") });
    assert_eq!(request.pick_result(&mut balancer, ms(30), "o"), PickResult::NoTarget);
    assert!(request.pick(&mut balancer, ms(3_500), "o").is_some());
}

#[test]
fn a_replaced_target_takes_no_requests_until_its_record_changes() {
    let mut balancer = balancer(1);
    let request = Request::default();
    balancer.mark_replaced(&id(0));
    assert_eq!(request.pick_result(&mut balancer, ms(10), "o"), PickResult::NoTarget);
    assert!(balancer.due_probes(ms(10_000)).is_empty());
    balancer.put(ms(10_010), id(0), TargetRecord { born_ms: 5, ..record(9, "a") });
    assert!(request.pick(&mut balancer, ms(10_020), "o").is_some());
}

#[test]
fn targets_with_missing_records_are_kept_for_a_while() {
    let mut balancer = balancer(2);
    balancer.remove(ms(10), &id(0), false);
    balancer.remove(ms(10), &id(1), true);
    assert!(balancer.record(&id(0)).is_some());
    assert!(balancer.record(&id(1)).is_none());
    balancer.expire(ms(1_000));
    assert!(balancer.record(&id(0)).is_some());
    balancer.expire(ms(2_500));
    assert!(balancer.record(&id(0)).is_none(), "its record is still missing");
}

#[test]
fn an_overloaded_first_target_spills_to_the_second_only() {
    let mut balancer = balancer(12);
    let request = Request::default();
    let first = request.pick(&mut balancer, ms(10), "o").expect("a target");
    balancer.record_load(ms(20), &first, 5);
    assert_eq!(request.pick(&mut balancer, ms(30), "o"), Some(first.clone()), "a slot is free");
    balancer.record_load(ms(40), &first, 12);
    let second = request.pick(&mut balancer, ms(50), "o").expect("a target");
    assert_ne!(first, second);
    balancer.record_load(ms(60), &second, 20);
    assert_eq!(request.pick(&mut balancer, ms(70), "o"), Some(first), "never to a third target");
}

#[test]
fn a_request_expected_to_finish_too_late_is_refused() {
    let mut balancer = balancer(1);
    let request = Request { time_left: ms(1_500), ..Request::default() };
    let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(10), "o") else {
        panic!("a target")
    };
    balancer.record_latency(ms(15), &pick, ms(800));
    assert!(request.pick(&mut balancer, ms(20), "o").is_some());
    balancer.record_load(ms(30), &id(0), 24);
    assert!(matches!(request.pick_result(&mut balancer, ms(40), "o"), PickResult::Busy(_)));
    assert!(request.pick(&mut balancer, ms(2_500), "o").is_some(), "an old report is ignored");
}

/// Before a token is taken, the question whether any target can serve must give the reasons of the
/// choice, and reserve nothing: a cold target may get a request only once in a while.
#[test]
fn a_request_that_no_target_can_serve_is_known_before_the_choice() {
    let mut balancer = balancer(1);
    let request = Request { time_left: ms(1_500), ..Request::default() };
    assert_eq!(request.refusal(&mut balancer, ms(10)), None);
    let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(10), "o") else {
        panic!("a target")
    };
    balancer.record_latency(ms(15), &pick, ms(800));
    balancer.record_load(ms(30), &id(0), 24);
    let busy = request.pick_result(&mut balancer, ms(40), "o");
    assert!(matches!(busy, PickResult::Busy(_)));
    assert_eq!(request.refusal(&mut balancer, ms(40)), Some(busy));
    balancer.put(ms(50), id(1), record(1, "b"));
    assert_eq!(request.refusal(&mut balancer, ms(60)), None, "another target can serve it");
    let elsewhere = Request { allowed_regions: Some(vec!["south".into()]), ..Request::default() };
    assert_eq!(elsewhere.refusal(&mut balancer, ms(60)), Some(PickResult::NoTarget));
    let mut cold = Balancer::new(HashMap::from([("a".into(), "north".into())]));
    cold.put(ms(0), id(0), TargetRecord { cold_ms: 5_000, ..record(0, "a") });
    cold.set_paced_zones(BTreeSet::from(["a".into()]));
    assert_eq!([(); 2].map(|()| request.refusal(&mut cold, ms(10))), [None, None]);
    assert!(request.pick(&mut cold, ms(10), "o").is_some(), "its turn was not used up");
}

#[test]
fn aborted_requests_raise_the_estimated_run_time() {
    let mut balancer = balancer(1);
    let request = Request { time_left: ms(4_000), ..Request::default() };
    let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(10), "o") else {
        panic!("a target")
    };
    balancer.record_latency(ms(15), &pick, ms(800));
    // Six slots and 12 more requests: at the known run time, a request waits for two runs.
    balancer.record_load(ms(20), &id(0), 18);
    let PickResult::Target(queued) = request.pick_result(&mut balancer, ms(30), "o") else {
        panic!("a target")
    };
    // The response was expected after 2.5 s, but many requests get none within 4 s.
    for _ in 0..20 {
        balancer.record_unanswered(ms(4_000), &queued, ms(4_000), false);
    }
    balancer.record_load(ms(4_000), &id(0), 24);
    assert!(matches!(request.pick_result(&mut balancer, ms(4_010), "o"), PickResult::Busy(_)));
    // Requests aborted early by their callers say nothing about the run time.
    for _ in 0..200 {
        balancer.record_unanswered(ms(4_000), &queued, ms(100), false);
    }
    assert!(matches!(request.pick_result(&mut balancer, ms(4_020), "o"), PickResult::Busy(_)));
}

#[test]
fn a_target_that_was_stuck_is_tried_again() {
    let mut balancer = balancer(1);
    let request = Request { time_left: ms(4_000), ..Request::default() };
    let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(10), "o") else {
        panic!("a target")
    };
    for _ in 0..100 {
        balancer.record_unanswered(ms(4_100), &pick, ms(4_100), true);
    }
    assert!(matches!(request.pick_result(&mut balancer, ms(4_200), "o"), PickResult::Busy(_)));
    assert!(request.pick(&mut balancer, ms(7_000), "o").is_some());
}

/// Sends `count` requests that all time out after 1.2 s, and returns how many the window allowed.
fn send_timing_out(
    balancer: &mut Balancer,
    request: &Request,
    start: Duration,
    count: usize,
) -> usize {
    let picks: Vec<_> = (0..count)
        .filter_map(|_| match request.pick_result(balancer, start, "o") {
            PickResult::Target(pick) => {
                balancer.record_sent(&pick.id);
                Some(pick)
            }
            _ => None,
        })
        .collect();
    for pick in &picks {
        balancer.record_unanswered(start + ms(1_200), pick, ms(1_200), true);
        balancer.record_end(&pick.id);
    }
    picks.len()
}

#[test]
fn timeouts_shrink_the_window_and_responses_grow_it() {
    let mut balancer = balancer(1);
    let request = Request { time_left: ms(60_000), ..Request::default() };
    let sent: Vec<usize> =
        (0..8).map(|i| send_timing_out(&mut balancer, &request, ms(10 + i * 1_300), 40)).collect();
    assert!(sent.is_sorted_by(|a, b| a >= b), "{sent:?}");
    assert!(sent[0] <= 12, "at most two requests per slot: {sent:?}");
    assert_eq!(sent[7], 1, "the window always allows one request");
    let now = ms(20_000);
    for _ in 0..200 {
        let PickResult::Target(pick) = request.pick_result(&mut balancer, now, "o") else {
            panic!("a target")
        };
        balancer.record_latency(now, &pick, ms(300));
    }
    assert!(send_timing_out(&mut balancer, &request, now, 40) >= 6, "the slots are used again");
}

#[test]
fn a_first_target_with_a_full_window_spills_to_the_second() {
    let mut balancer = balancer(2);
    let request = Request::default();
    let first = request.pick(&mut balancer, ms(10), "o").expect("a target");
    for i in 0..8 {
        let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(10 + i * 3_000), "o")
        else {
            panic!("a target")
        };
        if pick.id == first {
            balancer.record_sent(&first);
            balancer.record_unanswered(ms(1_300 + i * 3_000), &pick, ms(1_200), true);
            balancer.record_end(&first);
        }
    }
    balancer.record_sent(&first);
    let second = request.pick(&mut balancer, ms(60_000), "o").expect("a target");
    assert_ne!(second, first, "the first target's window allows one request");
}

/// How many of 300 affinity keys are served in the region of this entry VM.
fn keys_in_own_region(balancer: &mut Balancer, now: Duration) -> usize {
    let near = targets_of_keys(balancer, now).into_iter().flatten().filter(|t| {
        let zone = &balancer.record(t).expect("a record").zone;
        *zone != "c".into()
    });
    near.count()
}

#[test]
fn regions_keep_capacity_for_customers_bound_to_them() {
    let mut balancer = balancer(12);
    balancer.set_regional_demand(HashMap::new());
    let unbound = keys_in_own_region(&mut balancer, ms(10));
    // All demand is bound to the region, which has two thirds of the slots.
    balancer.set_regional_demand(HashMap::from([("north".into(), 1.0)]));
    let bound = Request { allowed_regions: Some(vec!["north".into()]), ..Request::default() };
    let mut last = unbound;
    for i in 1..=40 {
        let now = ms(10 + i * 1_000);
        let near = keys_in_own_region(&mut balancer, now);
        assert!(
            last.saturating_sub(near) <= 22,
            "from {last} to {near} of 300 keys within a second"
        );
        assert!(bound.pick(&mut balancer, now, "o").is_some());
        last = near;
    }
    assert!(last < unbound / 2, "{unbound} keys before, {last} after");
    // When no demand is bound any more, the keys come back.
    balancer.set_regional_demand(HashMap::new());
    (0..60).for_each(|i| {
        keys_in_own_region(&mut balancer, ms(41_000 + i * 1_000));
    });
    assert_eq!(keys_in_own_region(&mut balancer, ms(102_000)), unbound);
}

#[test]
fn regional_demand_follows_from_rates_and_home_regions() {
    let customer = |id: &str, rate: f64, homes: &[&str]| Customer {
        id: id.into(),
        keys: Vec::new(),
        priority: None,
        rate,
        burst: 0.0,
        homes: homes.iter().map(|h| (*h).into()).collect(),
    };
    let table = |customers| Table { customers, ..Table::default() };
    let free = customer("free", 50.0, &[]);
    let one = customer("one", 30.0, &["north"]);
    let two = customer("two", 20.0, &["north", "south"]);
    let index = TableIndex::new(table(vec![free, one.clone(), two]));
    let bound = index.regional_demand();
    assert!((bound[&RegionId::from("north")] - 0.4).abs() < 1e-9, "{bound:?}");
    assert!((bound[&RegionId::from("south")] - 0.1).abs() < 1e-9, "{bound:?}");
    let unlimited = customer("unlimited", 0.0, &[]);
    assert!(TableIndex::new(table(vec![one, unlimited])).regional_demand().is_empty());
}

/// A target that rejects everything for some seconds while its health checks succeed. Without a
/// backoff, each request for its keys is rejected there first, and the retries exceed their budget.
#[test]
fn a_target_that_rejects_requests_is_passed_over_for_a_while() {
    let mut balancer = balancer(6);
    let request = Request::default();
    let first = request.pick(&mut balancer, ms(0), "zoo").expect("a target");
    let mut rejected = 0;
    for step in 0..500u64 {
        let now = ms(10 + step * 10);
        if request.pick(&mut balancer, now, "zoo").expect("a target") == first {
            balancer.record_rejection(now, &first);
            rejected += 1;
        }
    }
    assert!((3..=8).contains(&rejected), "{rejected} of 500 requests were rejected in 5 s");
    let PickResult::Target(pick) = request.pick_result(&mut balancer, ms(7_000), "zoo") else {
        panic!("no target");
    };
    assert_eq!(pick.id, first, "it is tried again");
    balancer.record_latency(ms(7_100), &pick, ms(100));
    assert_eq!(
        request.pick(&mut balancer, ms(7_110), "zoo"),
        Some(first),
        "it runs requests again"
    );
}

#[test]
fn targets_that_all_reject_requests_are_still_tried() {
    let mut balancer = balancer(2);
    for number in 0..2 {
        balancer.record_rejection(ms(10), &id(number));
    }
    assert!(Request::default().pick(&mut balancer, ms(20), "zoo").is_some());
}

/// A target that answers with bytes that are no response, while its port stays open.
#[test]
fn a_target_that_keeps_losing_responses_is_passed_over_for_a_while() {
    let mut balancer = balancer(6);
    let request = Request::default();
    let first = request.pick(&mut balancer, ms(0), "zoo").expect("a target");
    balancer.record_loss(ms(10), &first);
    assert_eq!(request.pick(&mut balancer, ms(11), "zoo"), Some(first.clone()), "once is accident");
    balancer.record_loss(ms(20), &first);
    assert_ne!(request.pick(&mut balancer, ms(21), "zoo"), Some(first.clone()));
    assert_eq!(request.pick(&mut balancer, ms(130), "zoo"), Some(first), "it is tried again");
}

/// A zone loses power. Targets that have not failed a request yet are probed first, too.
#[test]
fn a_zone_whose_targets_fail_together_gets_no_requests_until_probed() {
    let mut balancer = balancer(30);
    let in_zone = |n: &u16| n % 3 == 1;
    let zone: Vec<u16> = (0..30).filter(in_zone).collect();
    for (step, number) in zone.iter().take(3).enumerate() {
        balancer.mark_failed(ms(100 + step as u64), &id(*number));
    }
    let used = targets_of_keys(&mut balancer, ms(110));
    assert!(used.iter().flatten().all(|t| !zone.iter().any(|n| *t == id(*n))), "zone b is gone");
    let due: BTreeSet<TargetId> =
        balancer.due_probes(ms(400)).into_iter().map(|probe| probe.id).collect();
    assert_eq!(due, zone.iter().map(|n| id(*n)).collect(), "all are probed");
    for target in due {
        balancer.record_probe(ms(500), &target, Some(Duration::ZERO));
    }
    assert!(zone.iter().all(|n| balancer.trust(&id(*n)) == Some(TargetTrust::Trusted)));
}

#[test]
fn single_failures_leave_a_zone_in_use() {
    let mut balancer = balancer(30);
    let answering = |balancer: &mut Balancer, now| {
        let request = Request { region: "south".into(), ..Request::default() };
        let pick = (0..50).find_map(|n| match request.pick_result(balancer, now, &n.to_string()) {
            PickResult::Target(pick) if pick.zone == "c".into() => Some(pick),
            _ => None,
        });
        balancer.record_latency(now, &pick.expect("a target of zone c"), ms(100));
    };
    // Zone c has the targets 2, 5, 8 and so on.
    balancer.mark_failed(ms(100), &id(2));
    balancer.mark_failed(ms(110), &id(5));
    answering(&mut balancer, ms(120));
    balancer.mark_failed(ms(130), &id(8));
    balancer.mark_failed(ms(1_500), &id(11));
    balancer.mark_failed(ms(1_510), &id(14));
    assert_eq!(balancer.trust(&id(17)), Some(TargetTrust::Trusted));
}
