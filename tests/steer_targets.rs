//! The choice of targets: stable for an object, never to one that may not be used, paced while cold.

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

fn entry(number: u16, zone: &str) -> TargetRecord {
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

/// A book of `count` targets in two regions.
fn book(count: u16) -> Balancer {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions: HashMap<ZoneId, RegionId> =
        regions.iter().map(|(z, r)| ((*z).into(), (*r).into())).collect();
    let mut book = Balancer::new(regions);
    for i in 0..count {
        let zone = ["a", "b", "c"][usize::from(i) % 3];
        book.put(ms(0), id(i), entry(i, zone));
    }
    book
}

fn id(number: u16) -> TargetId {
    TargetId::new(format!("t-{number}"))
}

struct Ask {
    service: ServiceId,
    region: RegionId,
    homes: Option<Vec<RegionId>>,
    avoid: Vec<TargetId>,
    cold_rate: f64,
    left: Duration,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            service: "rota".into(),
            region: "north".into(),
            homes: None,
            avoid: Vec::new(),
            cold_rate: 5.0,
            left: ms(2_000),
        }
    }
}

impl Ask {
    fn pick(&self, book: &mut Balancer, now: Duration, object: &str) -> Option<TargetId> {
        match self.picked(book, now, object) {
            PickResult::Target(pick) => Some(pick.id),
            PickResult::Busy(_) | PickResult::NoTarget => None,
        }
    }

    fn picked(&self, book: &mut Balancer, now: Duration, object: &str) -> PickResult {
        let choice = PickRequest {
            service: &self.service,
            affinity: name_hash(object.as_bytes()),
            region: &self.region,
            allowed_regions: self.homes.as_deref(),
            avoid: &self.avoid,
            cold_rate: self.cold_rate,
            time_left: self.left,
        };
        book.pick(now, &choice)
    }
}

fn homes_of(book: &mut Balancer, now: Duration) -> Vec<Option<TargetId>> {
    (0..300).map(|o| Ask::default().pick(book, now, &format!("o{o}"))).collect()
}

#[test]
fn a_leaving_target_moves_only_its_own_objects() {
    let mut book = book(12);
    let before = homes_of(&mut book, ms(10));
    book.put(ms(20), id(4), TargetRecord { state: TargetReadiness::Draining, ..entry(4, "b") });
    let after = homes_of(&mut book, ms(30));
    for (old, new) in before.iter().zip(&after) {
        assert_ne!(new.as_ref(), Some(&id(4)));
        assert!(old == new || old.as_ref() == Some(&id(4)), "{old:?} moved to {new:?}");
    }
}

#[test]
fn a_new_target_takes_objects_from_others_only_for_itself() {
    let mut book = book(12);
    let before = homes_of(&mut book, ms(10));
    book.put(ms(20), id(12), entry(12, "a"));
    let after = homes_of(&mut book, ms(30));
    let moved: Vec<_> = before.iter().zip(&after).filter(|(old, new)| old != new).collect();
    assert!(!moved.is_empty());
    assert!(moved.iter().all(|(_, new)| new.as_ref() == Some(&id(12))));
}

#[test]
fn near_targets_serve_most_objects() {
    let mut book = book(12);
    let far = |t: &TargetId| t.as_str()[2..].parse::<u16>().expect("a number") % 3 == 2;
    let count = homes_of(&mut book, ms(10)).iter().flatten().filter(|t| far(t)).count();
    // A third of the targets are far; without a preference they would serve 100 of 300.
    assert!((10..80).contains(&count), "{count} of 300 objects are served far away");
}

#[test]
fn homes_evacuations_and_services_bind() {
    let mut book = book(12);
    let homed = Ask { homes: Some(vec!["south".into()]), ..Ask::default() };
    for o in 0..50 {
        let target = homed.pick(&mut book, ms(10), &format!("o{o}")).expect("a target");
        assert_eq!(book.record(&target).expect("an entry").zone, "c".into());
    }
    book.set_evacuated_zones(ms(20), BTreeSet::from(["c".into()]));
    assert_eq!(homed.picked(&mut book, ms(30), "o1"), PickResult::NoTarget);
    let other = Ask { service: "swaps".into(), ..Ask::default() };
    assert_eq!(other.picked(&mut book, ms(30), "o1"), PickResult::NoTarget);
    // The targets of a zone that is taken back may be cold: each is probed first.
    book.set_evacuated_zones(ms(40), BTreeSet::new());
    assert_eq!(homed.picked(&mut book, ms(50), "o1"), PickResult::NoTarget);
    let due = book.due_probes(ms(50));
    assert_eq!(due.len(), 4);
    for (target, ..) in due {
        book.record_probe(ms(60), &target, Some(Duration::ZERO));
    }
    assert!(homed.pick(&mut book, ms(70), "o1").is_some());
}

#[test]
fn a_target_that_failed_takes_requests_after_a_good_probe() {
    let mut book = book(1);
    let ask = Ask::default();
    book.mark_failed(ms(10), &id(0));
    assert_eq!(ask.picked(&mut book, ms(20), "o"), PickResult::NoTarget);
    assert!(book.due_probes(ms(20)).is_empty(), "not at once");
    assert_eq!(book.due_probes(ms(400)).len(), 1);
    assert!(book.due_probes(ms(410)).is_empty(), "one at a time");
    book.record_probe(ms(420), &id(0), None);
    assert_eq!(ask.picked(&mut book, ms(430), "o"), PickResult::NoTarget);
    assert_eq!(book.due_probes(ms(3_000)).len(), 1);
    // It has started again and is cold for a second.
    book.record_probe(ms(3_010), &id(0), Some(ms(1_000)));
    assert_eq!(book.trust(&id(0)), Some(TargetTrust::Trusted));
    assert_eq!(ask.picked(&mut book, ms(3_500), "o"), PickResult::NoTarget, "another VM paces it");
    assert!(ask.pick(&mut book, ms(5_000), "o").is_some());
}

#[test]
fn cold_targets_are_paced_by_one_vm() {
    let mut book = book(1);
    book.put(ms(0), id(0), TargetRecord { cold_ms: 60_000, ..entry(0, "a") });
    let ask = Ask::default();
    assert_eq!(ask.picked(&mut book, ms(10), "o"), PickResult::NoTarget);
    book.set_paced_zones(BTreeSet::from(["a".into()]));
    let sent = (0..1_000).filter(|i| ask.pick(&mut book, ms(1_000 + i), "o").is_some()).count();
    assert!((1..=5).contains(&sent), "{sent} in a second, 5 allowed");
    let never = Ask { cold_rate: 0.0, ..Ask::default() };
    assert_eq!(never.picked(&mut book, ms(60_000), "o"), PickResult::NoTarget);
}

#[test]
fn a_target_that_says_that_it_is_cold_again_is_believed() {
    let mut book = book(1);
    let ask = Ask::default();
    assert!(ask.pick(&mut book, ms(10), "o").is_some());
    book.put(ms(20), id(0), TargetRecord { cold_ms: 3_000, born_ms: 2, ..entry(0, "a") });
    assert_eq!(ask.picked(&mut book, ms(30), "o"), PickResult::NoTarget);
    assert!(ask.pick(&mut book, ms(3_500), "o").is_some());
}

#[test]
fn another_process_at_the_address_ends_the_use_of_a_target() {
    let mut book = book(1);
    let ask = Ask::default();
    book.mark_replaced(&id(0));
    assert_eq!(ask.picked(&mut book, ms(10), "o"), PickResult::NoTarget);
    assert!(book.due_probes(ms(10_000)).is_empty());
    book.put(ms(10_010), id(0), TargetRecord { born_ms: 5, ..entry(9, "a") });
    assert!(ask.pick(&mut book, ms(10_020), "o").is_some());
}

#[test]
fn entries_that_the_store_may_have_lost_are_kept_for_a_while() {
    let mut book = book(2);
    book.remove(ms(10), &id(0), false);
    book.remove(ms(10), &id(1), true);
    assert!(book.record(&id(0)).is_some());
    assert!(book.record(&id(1)).is_none());
    book.expire(ms(1_000));
    assert!(book.record(&id(0)).is_some());
    book.expire(ms(2_500));
    assert!(book.record(&id(0)).is_none(), "still missing: it is gone");
}

#[test]
fn a_full_first_target_spills_to_one_second_target() {
    let mut book = book(12);
    let ask = Ask::default();
    let first = ask.pick(&mut book, ms(10), "o").expect("a target");
    book.record_load(ms(20), &first, 5);
    assert_eq!(ask.pick(&mut book, ms(30), "o"), Some(first.clone()), "a slot is free");
    book.record_load(ms(40), &first, 12);
    let second = ask.pick(&mut book, ms(50), "o").expect("a target");
    assert_ne!(first, second);
    book.record_load(ms(60), &second, 20);
    assert_eq!(ask.pick(&mut book, ms(70), "o"), Some(first), "never to a third");
}

#[test]
fn a_request_that_would_be_answered_too_late_is_refused() {
    let mut book = book(1);
    let ask = Ask { left: ms(1_500), ..Ask::default() };
    let PickResult::Target(pick) = ask.picked(&mut book, ms(10), "o") else { panic!("a target") };
    book.record_latency(ms(15), &pick, ms(800));
    assert!(ask.pick(&mut book, ms(20), "o").is_some());
    book.record_load(ms(30), &id(0), 24);
    assert!(matches!(ask.picked(&mut book, ms(40), "o"), PickResult::Busy(_)));
    assert!(ask.pick(&mut book, ms(2_500), "o").is_some(), "an old report counts for nothing");
}

#[test]
fn requests_that_a_timeout_cuts_teach_how_long_a_target_takes() {
    let mut book = book(1);
    let ask = Ask { left: ms(4_000), ..Ask::default() };
    let PickResult::Target(pick) = ask.picked(&mut book, ms(10), "o") else { panic!("a target") };
    book.record_latency(ms(15), &pick, ms(800));
    // Six slots and 12 more requests: two runs to wait for, by the pace known.
    book.record_load(ms(20), &id(0), 18);
    let PickResult::Target(queued) = ask.picked(&mut book, ms(30), "o") else { panic!("a target") };
    // The answer should have come after 2.5 s. Many wait for 4 s in vain.
    for _ in 0..20 {
        book.record_unanswered(ms(4_000), &queued, ms(4_000), false);
    }
    book.record_load(ms(4_000), &id(0), 24);
    assert!(matches!(ask.picked(&mut book, ms(4_010), "o"), PickResult::Busy(_)));
    // A caller that leaves early says nothing.
    for _ in 0..200 {
        book.record_unanswered(ms(4_000), &queued, ms(100), false);
    }
    assert!(matches!(ask.picked(&mut book, ms(4_020), "o"), PickResult::Busy(_)));
}

#[test]
fn a_target_that_was_stuck_is_tried_again() {
    let mut book = book(1);
    let ask = Ask { left: ms(4_000), ..Ask::default() };
    let PickResult::Target(pick) = ask.picked(&mut book, ms(10), "o") else { panic!("a target") };
    for _ in 0..100 {
        book.record_unanswered(ms(4_100), &pick, ms(4_100), true);
    }
    assert!(matches!(ask.picked(&mut book, ms(4_200), "o"), PickResult::Busy(_)));
    assert!(ask.pick(&mut book, ms(7_000), "o").is_some());
}

/// Sends `count` requests that a timeout cuts after 1.2 s, and returns how many were let through.
fn time_out(book: &mut Balancer, ask: &Ask, start: Duration, count: usize) -> usize {
    let picks: Vec<_> = (0..count)
        .filter_map(|_| match ask.picked(book, start, "o") {
            PickResult::Target(pick) => {
                book.record_sent(&pick.id);
                Some(pick)
            }
            PickResult::Busy(_) | PickResult::NoTarget => None,
        })
        .collect();
    for pick in &picks {
        book.record_unanswered(start + ms(1_200), pick, ms(1_200), true);
        book.record_end(&pick.id);
    }
    picks.len()
}

#[test]
fn timeouts_shrink_what_one_vm_sends_and_answers_let_it_grow() {
    let mut book = book(1);
    let ask = Ask { left: ms(60_000), ..Ask::default() };
    let sent: Vec<usize> =
        (0..8).map(|i| time_out(&mut book, &ask, ms(10 + i * 1_300), 40)).collect();
    assert!(sent.is_sorted_by(|a, b| a >= b), "{sent:?}");
    assert!(sent[0] <= 12, "at most two requests for each slot: {sent:?}");
    assert_eq!(sent[7], 1, "one is always let through");
    let now = ms(20_000);
    for _ in 0..200 {
        let PickResult::Target(pick) = ask.picked(&mut book, now, "o") else { panic!("a target") };
        book.record_latency(now, &pick, ms(300));
    }
    assert!(time_out(&mut book, &ask, now, 40) >= 6, "the slots are used again");
}

#[test]
fn a_first_target_that_is_closed_spills_to_the_second() {
    let mut book = book(2);
    let ask = Ask::default();
    let first = ask.pick(&mut book, ms(10), "o").expect("a target");
    for i in 0..8 {
        let PickResult::Target(pick) = ask.picked(&mut book, ms(10 + i * 3_000), "o") else {
            panic!("a target")
        };
        if pick.id == first {
            book.record_sent(&first);
            book.record_unanswered(ms(1_300 + i * 3_000), &pick, ms(1_200), true);
            book.record_end(&first);
        }
    }
    book.record_sent(&first);
    let second = ask.pick(&mut book, ms(60_000), "o").expect("a target");
    assert_ne!(second, first, "one request is all that the first may have");
}

/// How many of 300 objects are served in the region of this entry VM.
fn near_of(book: &mut Balancer, now: Duration) -> usize {
    let near = homes_of(book, now).into_iter().flatten().filter(|t| {
        let zone = &book.record(t).expect("an entry").zone;
        *zone != "c".into()
    });
    near.count()
}

#[test]
fn targets_are_left_to_customers_that_are_bound_to_their_region() {
    let mut book = book(12);
    book.set_regional_demand(HashMap::new());
    let free = near_of(&mut book, ms(10));
    // Two thirds of the slots, for all of the demand.
    book.set_regional_demand(HashMap::from([("north".into(), 1.0)]));
    let bound = Ask { homes: Some(vec!["north".into()]), ..Ask::default() };
    let mut last = free;
    for i in 1..=40 {
        let now = ms(10 + i * 1_000);
        let near = near_of(&mut book, now);
        assert!(last.saturating_sub(near) <= 22, "{last} to {near} of 300 within a second");
        assert!(bound.pick(&mut book, now, "o").is_some());
        last = near;
    }
    assert!(last < free / 2, "{free} before, {last} after");
    // The demand has moved away: so do the objects, in the end.
    book.set_regional_demand(HashMap::new());
    (0..60).for_each(|i| {
        near_of(&mut book, ms(41_000 + i * 1_000));
    });
    assert_eq!(near_of(&mut book, ms(102_000)), free);
}

#[test]
fn the_demand_bound_to_regions_follows_from_rates_and_homes() {
    let customer = |id: &str, rate: f64, homes: &[&str]| Customer {
        id: id.into(),
        keys: Vec::new(),
        priority: 0,
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
