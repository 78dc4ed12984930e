//! The limits of requests per second that targets name for all entry VMs together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotstall::model::{RegionId, ServiceId, TargetId};
use shallotstall::steer::{
    Balancer, LimitNotice, LimitShare, PickRequest, PickResult, TargetReadiness, TargetRecord,
    name_hash,
};

const BORN: u64 = 1_000;
/// Time from a target's first word on its limit until the limit is binding.
const SETTLING: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which the limits are in force.
const PERIOD: Duration = Duration::from_secs(60);
/// Time from a request to its response.
const LATENCY: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(10);
const TARGETS: u16 = 6;
/// Time from the Unix epoch to the machines' start.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id(number: u16) -> TargetId {
    TargetId::new(format!("t-{number}"))
}

fn record(number: u16, born_ms: u64) -> TargetRecord {
    TargetRecord {
        service: "rota".into(),
        addr: ([10, 0, 0, 1], number).into(),
        zone: "a".into(),
        slots: 100,
        state: TargetReadiness::Ready,
        cold_ms: 0,
        born_ms,
    }
}

/// The balancer of the entry VM with number `vm`, of `vms` with the same share of every limit.
fn balancer(vms: usize, vm: usize, seed: u64) -> Balancer {
    let mut balancer = Balancer::new(HashMap::from([("a".into(), "north".into())]));
    (0..TARGETS).for_each(|n| balancer.put(ms(0), id(n), record(n, BORN)));
    balancer.set_seed(seed);
    let place = vm as f64 / vms as f64;
    let share = LimitShare { fraction: 1.0 / vms as f64, place, epoch: EPOCH };
    balancer.set_limit_share(ms(0), share);
    balancer
}

fn pick(balancer: &mut Balancer, now: Duration, key: u32) -> PickResult {
    let request = PickRequest {
        service: &ServiceId::new("rota"),
        affinity: name_hash(&key.to_le_bytes()),
        region: &RegionId::new("north"),
        allowed_regions: None,
        avoid: &[],
        cold_rate: 0.0,
        time_left: ms(4_000),
    };
    balancer.pick(now, &request)
}

/// Entry VMs under a load of requests per second each, whose targets with a number below `limited`
/// name a limit.
struct Play {
    vms: usize,
    limited: u16,
    limit: f64,
    load: f64,
}

/// What a play showed.
#[derive(Default)]
struct Outcome {
    /// When each target got its requests.
    arrivals: HashMap<TargetId, Vec<Duration>>,
    rejected: usize,
}

impl Play {
    fn run(&self, seed: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vm = |n| balancer(self.vms, n, seed * 1_000 + n as u64);
        let mut vms: Vec<Balancer> = (0..self.vms).map(vm).collect();
        let mut outcome = Outcome::default();
        let mut responses: VecDeque<(Duration, usize, TargetId)> = VecDeque::new();
        let mut now = ms(1_000);
        while now < PERIOD {
            while responses.front().is_some_and(|(at, ..)| *at <= now) {
                let Some((_, vm, target)) = responses.pop_front() else { break };
                let limited = (0..self.limited).any(|n| id(n) == target);
                let notice =
                    if limited { LimitNotice::Named(self.limit) } else { LimitNotice::Absent };
                vms[vm].record_limit(now, &target, BORN, notice);
                vms[vm].record_end(&target);
            }
            for (n, vm) in vms.iter_mut().enumerate() {
                if !rng.random_bool((self.load * STEP.as_secs_f64()).min(1.0)) {
                    continue;
                }
                match pick(vm, now, rng.random()) {
                    PickResult::Target(pick) => {
                        vm.record_sent(&pick.id);
                        outcome.arrivals.entry(pick.id.clone()).or_default().push(now);
                        responses.push_back((now + LATENCY, n, pick.id));
                    }
                    _ => outcome.rejected += 1,
                }
            }
            now += STEP;
        }
        outcome
    }
}

/// Most arrivals in a window that begins after the limit has become binding.
fn most_in_window(arrivals: &[Duration]) -> usize {
    let binding = arrivals.iter().filter(|at| **at >= ms(1_000) + SETTLING);
    let count = |start: &Duration| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    binding.map(count).max().unwrap_or(0)
}

/// Load pattern: demand of many times the limits, at few and at many entry VMs, and limits far below one
/// request a second for each. A limit that each VM keeps for itself alone fails most of these.
#[test]
fn all_vms_together_keep_a_limit_and_use_most_of_it() {
    let cases = [
        Play { vms: 4, limited: TARGETS, limit: 20.0, load: 90.0 },
        Play { vms: 25, limited: TARGETS, limit: 3.5, load: 10.0 },
        Play { vms: 25, limited: 1, limit: 3.5, load: 10.0 },
        Play { vms: 25, limited: 2, limit: 1.0, load: 10.0 },
        Play { vms: 134, limited: TARGETS, limit: 10.0, load: 8.0 },
        Play { vms: 134, limited: TARGETS, limit: 0.5, load: 8.0 },
    ];
    for (play, seed) in cases.iter().zip(1..) {
        let outcome = play.run(seed);
        let allowed = (1.5 * play.limit * WINDOW.as_secs_f64() + 5.0) as usize;
        for number in 0..play.limited {
            let arrivals = &outcome.arrivals[&id(number)];
            let most = most_in_window(arrivals);
            let case = format!("{} VMs, limit {}", play.vms, play.limit);
            assert!(most <= allowed, "{case}: {most} in a window, {allowed} allowed");
            let late = arrivals.iter().filter(|at| **at >= PERIOD - ms(20_000)).count();
            let used = late as f64 / (20.0 * play.limit);
            println!("{case}: {most} of {allowed} in a window, {used:.2} of the limit used");
            assert!(used >= 0.8, "{case}: {used:.2} of the limit used");
        }
        if play.limited < TARGETS {
            assert_eq!(outcome.rejected, 0, "the targets without a limit take the others");
        }
    }
}

#[test]
fn a_limit_ends_when_responses_name_none_and_not_with_an_overtaken_one() {
    let mut balancer = balancer(1, 0, 1);
    let mut record = |at, notice| balancer.record_limit(ms(at), &id(0), BORN, notice);
    assert_eq!(record(1_000, LimitNotice::Named(3.5)), Some(Some(3.5)));
    assert_eq!(record(1_100, LimitNotice::Absent), None, "overtaken");
    assert_eq!(record(9_000, LimitNotice::Invalid), None);
    assert_eq!(record(9_100, LimitNotice::Named(0.0)), Some(Some(0.1)), "asked now and then");
    assert_eq!(record(20_000, LimitNotice::Absent), Some(None));
}

/// Guards against a limit that is forgotten when the store loses the target's record for a while.
#[test]
fn a_limit_holds_for_the_incarnation_that_named_it() {
    let mut balancer = balancer(1, 0, 1);
    balancer.record_limit(ms(1_000), &id(0), BORN, LimitNotice::Named(1.0));
    balancer.remove(ms(2_000), &id(0), true);
    assert_eq!(balancer.limited_count(), 0);
    balancer.put(ms(4_000), id(0), record(0, BORN));
    assert_eq!(balancer.limited_count(), 1);
    balancer.put(ms(5_000), id(0), record(0, BORN + 1));
    assert_eq!(balancer.limited_count(), 0, "another incarnation");
}

/// Callers that are rejected for limits are told later and later times, at the limits' rate.
#[test]
fn rejected_callers_return_at_the_rate_of_the_limits() {
    let mut balancer = balancer(1, 0, 1);
    for number in 0..TARGETS {
        balancer.record_limit(ms(1_000), &id(number), BORN, LimitNotice::Named(1.0));
    }
    let waits: Vec<Duration> = (0..200)
        .filter_map(|key| match pick(&mut balancer, ms(1_001), key) {
            PickResult::Limited(wait) => Some(wait),
            _ => None,
        })
        .collect();
    assert!(waits.len() > 100, "{}", waits.len());
    assert!(waits.is_sorted());
    let step = (waits[10] - waits[1]) / 9;
    assert!((ms(150)..ms(250)).contains(&step), "6 targets, 5.4 requests a second: {step:?}");
}

#[test]
fn the_least_readable_value_counts() {
    let names = [HeaderName::from_static("server-limit"), HeaderName::from_static("x-limit")];
    let huge = "9".repeat(400);
    let cases: &[(&[(usize, &str)], LimitNotice)] = &[
        (&[], LimitNotice::Absent),
        (&[(0, "3.5")], LimitNotice::Named(3.5)),
        (&[(1, " 7 ")], LimitNotice::Named(7.0)),
        (&[(0, "9"), (0, "4"), (1, "6")], LimitNotice::Named(4.0)),
        (&[(0, "many"), (1, "6")], LimitNotice::Named(6.0)),
        (&[(0, "0")], LimitNotice::Named(0.0)),
        (&[(0, "-1")], LimitNotice::Invalid),
        (&[(0, "NaN")], LimitNotice::Invalid),
        (&[(0, "inf")], LimitNotice::Invalid),
        (&[(0, &huge)], LimitNotice::Invalid),
        (&[(0, "")], LimitNotice::Invalid),
        (&[(0, "3, 4")], LimitNotice::Invalid),
    ];
    for (fields, expected) in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in *fields {
            headers.append(names[*name].clone(), value.parse().expect("a value"));
        }
        assert_eq!(LimitNotice::from_head(&names, &headers), *expected, "{fields:?}");
    }
}

/// Guards against a target that ends a VM's process by the limit that it names.
#[test]
fn limits_of_any_size_are_taken() {
    for rate in [0.0, f64::MIN_POSITIVE, 1e9, 1e12, f64::MAX] {
        let mut balancer = balancer(4, 1, 1);
        balancer.record_limit(ms(1_000), &id(0), BORN, LimitNotice::Named(rate));
        for key in 0..500 {
            pick(&mut balancer, ms(1_000 + u64::from(key) * 7), key);
        }
    }
}
