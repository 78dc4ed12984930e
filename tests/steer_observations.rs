//! Observations that entry VMs of a zone pass on: which are sent, which are believed, and what the
//! choice of a target makes of them.

use std::collections::HashMap;
use std::time::Duration;

use prost::Message;
use shallotstall::model::{TargetId, VmId};
use shallotstall::peer::{SyncRequest, SyncResponse, WireObservation};
use shallotstall::steer::{
    Balancer, LoadReport, Observation, Pick, PickRequest, PickResult, TargetReadiness,
    TargetRecord, name_hash,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(number: u16) -> TargetId {
    TargetId::new(format!("yardbook-south-{number:03}"))
}

fn vm(number: u16) -> VmId {
    VmId::new(format!("vm-{number}"))
}

fn record(number: u16, born_ms: u64) -> TargetRecord {
    TargetRecord {
        service: "yard".into(),
        addr: ([10, 0, 0, 1], number).into(),
        zone: "a".into(),
        slots: 3,
        state: TargetReadiness::Ready,
        cold_ms: 0,
        born_ms,
    }
}

fn balancer(count: u16) -> Balancer {
    let mut balancer = Balancer::new(HashMap::from([("a".into(), "r".into())]));
    (0..count).for_each(|n| balancer.put(ms(0), id(n), record(n, 7)));
    balancer
}

fn pick(balancer: &mut Balancer, now: Duration, time_left: Duration) -> PickResult {
    let request = PickRequest {
        service: &"yard".into(),
        affinity: name_hash(b"skip-1"),
        region: &"r".into(),
        allowed_regions: None,
        avoid: &[],
        cold_rate: 0.0,
        time_left,
    };
    balancer.pick(now, &request)
}

fn picked(balancer: &mut Balancer, now: Duration) -> Pick {
    match pick(balancer, now, ms(60_000)) {
        PickResult::Target(pick) => pick,
        other => panic!("no target: {other:?}"),
    }
}

fn observation(target: &TargetId, requests: u32) -> Observation {
    Observation {
        target: target.clone(),
        born_ms: 7,
        requests,
        own: 0,
        pace: 100,
        age: ms(0),
        rejected: false,
        limit: None,
    }
}

fn merge(balancer: &mut Balancer, now: Duration, observation: Observation) {
    balancer.merge_observations(now, now, &vm(1), [observation]);
}

/// Without the checks, a false, old or foreign observation takes a key's target away, or an older one
/// replaces what the VM has just seen itself.
#[test]
fn observations_are_believed_only_if_newer_and_of_the_same_incarnation() {
    let now = ms(10_000);
    let mut balancer = balancer(6);
    let first = picked(&mut balancer, now).id;
    let full = observation(&first, 12);
    for ignored in [
        Observation { born_ms: 6, ..full.clone() },
        Observation { age: ms(2_500), ..full.clone() },
        Observation { age: ms(u64::MAX), ..full.clone() },
        Observation { target: id(99), ..full.clone() },
    ] {
        merge(&mut balancer, now, ignored.clone());
        assert_eq!(picked(&mut balancer, now).id, first, "{ignored:?}");
    }
    merge(&mut balancer, now, full.clone());
    let second = picked(&mut balancer, now);
    assert_eq!((second.order, second.id != first), (2, true), "the first target is full");
    balancer.record_load(now + ms(1), &first, 1);
    merge(&mut balancer, now + ms(2), Observation { age: ms(5), ..full });
    assert_eq!(picked(&mut balancer, now + ms(2)).id, first, "what it saw itself is newer");
    assert_eq!(picked(&mut balancer, now + ms(2)).age, Some(ms(1)));
}

/// A process that takes the target's place is idle: what was seen of the old one must not count.
#[test]
fn a_new_incarnation_starts_without_observations() {
    let mut balancer = balancer(6);
    let first = picked(&mut balancer, ms(100)).id;
    balancer.record_load(ms(100), &first, 12);
    assert_ne!(picked(&mut balancer, ms(101)).id, first);
    let number = first.as_str()[15..].parse().expect("a number");
    balancer.put(ms(102), first.clone(), record(number, 8));
    assert_eq!(picked(&mut balancer, ms(103)).id, first);
}

/// A message that grows with the number of targets, or repeats what the receiver knows, costs a zone
/// leader of a large fleet its bandwidth.
#[test]
fn messages_carry_the_newest_changes_up_to_a_bound() {
    let mut balancer = balancer(200);
    (0..200).for_each(|n| balancer.record_load(ms(1_000 + u64::from(n)), &id(n), 2));
    let sent = balancer.observations_for(ms(1_300), &vm(1));
    assert_eq!(sent.len(), 64);
    assert!(sent.is_sorted_by_key(|o| o.age), "newest first");
    assert_eq!(sent[0].target, id(199));
    assert_eq!(balancer.observations_for(ms(1_310), &vm(1)), [], "nothing has changed");
    balancer.record_load(ms(1_320), &id(5), 2);
    assert_eq!(balancer.observations_for(ms(1_330), &vm(1)), [], "the same state again");
    balancer.record_load(ms(1_340), &id(5), 3);
    assert_eq!(balancer.observations_for(ms(1_350), &vm(1)).len(), 1);
    merge(&mut balancer, ms(1_400), observation(&id(6), 9));
    assert_eq!(balancer.observations_for(ms(1_410), &vm(1)), [], "it was the receiver's own");
    let passed_on = balancer.observations_for(ms(1_410), &vm(2));
    assert!(passed_on.iter().any(|o| o.target == id(6) && o.requests == 9));
    assert_eq!(balancer.observations_for(ms(60_000), &vm(3)), [], "all are too old");
}

/// With the message's bound and four syncs a second, 21 VMs cost a zone leader 258 KB a second.
#[test]
fn an_observation_takes_at_most_48_bytes() {
    let largest = Observation {
        born_ms: 1_800_000_000_000,
        own: 12,
        pace: 250,
        age: ms(1_999),
        rejected: true,
        ..observation(&id(315), 12)
    };
    let observations = vec![WireObservation::from(largest.clone())];
    let message = SyncResponse { observations: observations.clone(), ..SyncResponse::default() };
    assert!(message.encoded_len() <= 48, "{} bytes", message.encoded_len());
    let decoded = SyncResponse::decode(&*message.encode_to_vec()).expect("a message");
    assert_eq!(Observation::from(decoded.observations[0].clone()), largest);
    let request = SyncRequest { observations, ..SyncRequest::default() };
    let decoded = SyncRequest::decode(&*request.encode_to_vec()).expect("a message");
    assert_eq!(decoded.observations, request.observations);
}

/// One VM's false report of a rejection must not take a target away from all VMs.
#[test]
fn a_rejection_counts_only_if_recent_loaded_and_unanswered() {
    let now = ms(10_000);
    let rejected = |target: &TargetId, requests| Observation {
        rejected: true,
        ..observation(target, requests)
    };
    let first = picked(&mut balancer(6), now).id;
    let moved = |report: Observation, answered: bool| {
        let mut balancer = balancer(6);
        if answered {
            let pick = picked(&mut balancer, now);
            balancer.record_latency(now + ms(1), &pick, ms(50));
        }
        merge(&mut balancer, now, report);
        // A report of a free target, so that only the backoff can move the key.
        balancer.record_load(now + ms(10), &first, 0);
        picked(&mut balancer, now + ms(11)).id != first
    };
    assert!(moved(rejected(&first, 12), false));
    assert!(!moved(rejected(&first, 2), false), "it had a free slot");
    assert!(!moved(rejected(&first, 12), true), "it has answered since");
    assert!(!moved(Observation { age: ms(600), ..rejected(&first, 12) }, false), "long ago");
    let mut balancer = balancer(6);
    merge(&mut balancer, now, rejected(&first, 12));
    balancer.record_load(now + ms(199), &first, 0);
    assert_eq!(picked(&mut balancer, now + ms(200)).id, first, "the backoff is the first one");
}

/// A rejection reaches the other VMs with the load that the target reported with it.
#[test]
fn own_rejections_are_passed_on_with_the_load() {
    let mut balancer = balancer(2);
    balancer.record_load(ms(100), &id(0), 12);
    balancer.record_rejection(ms(100), &id(0));
    let sent = balancer.observations_for(ms(110), &vm(1));
    assert_eq!((sent.len(), sent[0].rejected, sent[0].requests), (1, true, 12));
    balancer.record_load(ms(120), &id(0), 12);
    assert!(!balancer.observations_for(ms(130), &vm(1))[0].rejected, "it answered again");
}

/// The header's fourth number is absent or invalid: it must count as the usual pace.
#[test]
fn a_load_header_without_a_valid_pace_has_the_usual_one() {
    let parse = |text| LoadReport::parse(text).map(|r| (r.requests, r.pace, r.assumed));
    assert_eq!(parse("2, 3, 3, 250"), Some((5, 250, false)));
    for text in ["2,3", "2,3,3", "2,3,3,0", "2,3,3,-5", "2,3,3,fast", "2,3,3,4000000000"] {
        assert_eq!(parse(text), Some((5, 100, true)), "{text}");
    }
    assert_eq!(parse("2,3,3,99999999999999999999"), Some((5, 100, true)));
    assert_eq!(parse("4294967295,5,3,100"), Some((u32::MAX, 100, false)));
    assert_eq!(parse("fast,3,3,100"), None);
}

/// A target on a slow machine is late although its queue is short.
#[test]
fn the_pace_scales_the_expected_run_time() {
    let mut balancer = balancer(1);
    let target = picked(&mut balancer, ms(1_000));
    balancer.record_latency(ms(1_000), &target, ms(600));
    let report = |pace| LoadReport { requests: 0, pace, assumed: false };
    let is_busy = |balancer: &mut Balancer, now| {
        matches!(pick(balancer, now, ms(1_000)), PickResult::Busy(_))
    };
    assert!(!is_busy(&mut balancer, ms(1_001)));
    balancer.record_report(ms(1_010), &target, report(250));
    balancer.record_report(ms(1_500), &target, report(250));
    assert!(is_busy(&mut balancer, ms(1_501)), "600 ms take 1,500 ms");
    balancer.record_report(ms(1_900), &target, report(100));
    balancer.record_report(ms(2_300), &target, report(100));
    assert!(!is_busy(&mut balancer, ms(2_301)));
    balancer.record_report(ms(2_400), &target, report(4_000_000_000));
    assert!(!is_busy(&mut balancer, ms(2_401)), "a huge pace is the usual one");
}

/// The first target's response would be late: refusing the request although another target of its key
/// could serve it lost requests that had time.
#[test]
fn a_request_is_refused_only_if_no_target_of_its_key_can_serve_it() {
    let mut balancer = balancer(6);
    let mut late = Vec::new();
    for place in 1..=3 {
        let target = match pick(&mut balancer, ms(100), ms(1_000)) {
            PickResult::Target(target) => target,
            other => panic!("target {place} can serve it: {other:?}"),
        };
        assert!(!late.contains(&target.id));
        balancer.record_latency(ms(100), &target, ms(3_000));
        late.push(target.id);
    }
    let PickResult::Busy(by) = pick(&mut balancer, ms(100), ms(1_000)) else {
        panic!("all three are late")
    };
    assert!(by > ms(0) && by <= ms(2_000), "{by:?}");
}
