//! The book of targets, its queue, and quarantine: fuzzed against a plain model, and by cases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotstall::model::{CustomerId, TargetId};
use shallotstall::targets::{
    AttemptResult, CrashTracker, DispatchLimits, Dispatcher, OwnedTarget, Queue, QueuedRequest,
    Shed, SlotDecision,
};

const SLOTS: u32 = 3;
const RULES: DispatchLimits = DispatchLimits { headroom: 0.25, queue: 8 };

fn known(number: u8, leaving: bool, seen: Instant) -> OwnedTarget {
    OwnedTarget {
        id: TargetId::new(format!("t{number}")),
        addr: "127.0.0.1:9".parse().expect("an address"),
        slots: SLOTS,
        leaving,
        first_seen: seen,
    }
}

fn work(ticket: u64, customer: &str, until: Instant, foreign: bool) -> QueuedRequest {
    QueuedRequest {
        ticket,
        customer: customer.into(),
        weight: 1,
        deadline: until,
        foreign,
        avoid: Vec::new(),
    }
}

#[derive(Clone, Debug)]
enum Op {
    Admit { customer: u8, foreign: bool, patience_ms: u64 },
    Finish { number: usize, how: u8 },
    Probe { target: u8, running: Option<u32> },
    Leave { target: u8 },
    Return { target: u8 },
    Advance { ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0u8..3, any::<bool>(), 1u64..2_000)
            .prop_map(|(customer, foreign, patience_ms)| Op::Admit { customer, foreign, patience_ms }),
        6 => (any::<usize>(), 0u8..6).prop_map(|(number, how)| Op::Finish { number, how }),
        4 => (0u8..4, prop::option::weighted(0.8, 0u32..9))
            .prop_map(|(target, running)| Op::Probe { target, running }),
        1 => (0u8..4).prop_map(|target| Op::Leave { target }),
        1 => (0u8..4).prop_map(|target| Op::Return { target }),
        4 => (1u64..3_000).prop_map(|ms| Op::Advance { ms }),
    ]
}

/// What a plain count knows of the book.
#[derive(Default)]
struct Model {
    /// Requests that run: target and whether they are foreign.
    running: BTreeMap<u64, (TargetId, bool)>,
    waiting: BTreeMap<u64, bool>,
    answered: BTreeSet<u64>,
    leaving: BTreeSet<TargetId>,
}

impl Model {
    fn take(&mut self, steps: Vec<SlotDecision>) {
        for step in steps {
            let ticket = step.ticket();
            assert!(self.answered.insert(ticket), "{ticket} is answered twice");
            let foreign = self.waiting.remove(&ticket).expect("only what waits is answered");
            let SlotDecision::Start(slot) = step else { continue };
            assert!(!self.leaving.contains(&slot.target), "new work for a leaving target");
            self.running.insert(ticket, (slot.target.clone(), foreign));
            let there = self.running.values().filter(|(t, _)| *t == slot.target).count();
            assert!(there <= SLOTS as usize, "{there} requests at {}", slot.target);
            if foreign {
                // Four targets of three slots: a quarter is kept for the region's own callers.
                assert!(self.running.len() <= 9, "a foreign request took the headroom");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_target_gets_more_than_its_slots(ops in prop::collection::vec(op(), 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut rng = SmallRng::seed_from_u64(1);
        let mut book = Dispatcher::new(RULES);
        let mut model = Model::default();
        let mut ticket = 0;
        for op in &ops {
            let targets: Vec<OwnedTarget> = (0..4)
                .map(|n| known(n, model.leaving.contains(&known(n, false, start).id), start))
                .collect();
            book.sync(now, &targets);
            let steps = match op {
                Op::Admit { customer, foreign, patience_ms } => {
                    ticket += 1;
                    model.waiting.insert(ticket, *foreign);
                    let until = now + Duration::from_millis(*patience_ms);
                    book.admit(now, work(ticket, &format!("c{customer}"), until, *foreign), &mut rng)
                }
                Op::Finish { number, how } if !model.running.is_empty() => {
                    let ticket = *model.running.keys().nth(number % model.running.len()).expect("one");
                    let (target, _) = model.running.remove(&ticket).expect("it runs");
                    let ended = match how {
                        0 => AttemptResult::Failed,
                        1 => AttemptResult::Died,
                        2 => AttemptResult::Shed,
                        3 => AttemptResult::GivenUp,
                        _ => AttemptResult::Answered(Duration::from_millis(5)),
                    };
                    book.finish(now, &target, ended, &mut rng)
                }
                Op::Probe { target, running } => {
                    book.record_probe(now, &known(*target, false, start).id, *running, &mut rng)
                }
                Op::Leave { target } => {
                    model.leaving.insert(known(*target, false, start).id);
                    continue;
                }
                Op::Return { target } => {
                    model.leaving.remove(&known(*target, false, start).id);
                    continue;
                }
                Op::Advance { ms } => {
                    now += Duration::from_millis(*ms);
                    book.tick(now, &mut rng)
                }
                Op::Finish { .. } => continue,
            };
            model.take(steps);
            prop_assert_eq!(book.busy() as usize, model.running.len());
            prop_assert!(model.waiting.len() <= RULES.queue, "the queue is bounded");
        }
        // In the end everything has its answer.
        model.take(book.tick(now + Duration::from_secs(60), &mut rng));
        prop_assert!(model.waiting.is_empty());
    }
}

/// A customer with many waiting requests does not hold up one with few.
#[test]
fn a_queue_serves_customers_in_turn() {
    let until = Instant::now() + Duration::from_secs(1);
    let mut queue = Queue::default();
    (0..10).for_each(|n| assert!(queue.push(work(n, "many", until, false), 100).is_none()));
    queue.push(work(100, "few", until, false), 100);
    queue.push(QueuedRequest { weight: 3, ..work(200, "heavy", until, false) }, 100);
    (201..205).for_each(|n| {
        queue.push(QueuedRequest { weight: 3, ..work(n, "heavy", until, false) }, 100);
    });
    let order: Vec<u64> =
        std::iter::from_fn(|| queue.pop(|_| true)).map(|w| w.ticket).take(9).collect();
    assert_eq!(order, [0, 100, 200, 201, 202, 1, 203, 204, 2]);
}

/// A full queue turns away the newest of the customer with the longest line.
#[test]
fn a_full_queue_sheds_the_newest_of_the_longest_line() {
    let until = Instant::now() + Duration::from_secs(1);
    let mut queue = Queue::default();
    (0..4).for_each(|n| assert!(queue.push(work(n, "many", until, false), 4).is_none()));
    assert_eq!(queue.push(work(9, "few", until, false), 4), Some(Shed(3)));
    assert_eq!(queue.push(work(4, "many", until, false), 4), Some(Shed(4)));
    assert_eq!(queue.len(), 4);
    assert_eq!(queue.expire(until).len(), 4);
    assert!(queue.is_empty());
}

/// How often a request must have killed before it is no longer run.
#[test]
fn the_second_death_quarantines_a_request() {
    let now = Instant::now();
    let customer = CustomerId::from("a");
    let print =
        |path: &str, body: &str| CrashTracker::fingerprint(&customer, "GET", path, body.as_bytes());
    let bad = print("/read", "x");
    type Deaths = &'static [(&'static str, &'static str)];
    let cases: [(&str, Deaths, bool); 4] = [
        ("no death", &[], false),
        ("one death", &[("x", "1")], false),
        ("one death heard twice", &[("x", "1"), ("x", "1")], false),
        ("two deaths", &[("x", "1"), ("x", "2")], true),
    ];
    for (name, deaths, expected) in cases {
        let mut poison = CrashTracker::default();
        for (body, event) in deaths {
            poison.record_crash(now, &print("/read", body), event);
        }
        assert_eq!(poison.quarantine(now, &bad).is_some(), expected, "{name}");
        assert!(poison.quarantine(now, &print("/read", "y")).is_none(), "{name}: another body");
        let later = now + Duration::from_secs(601);
        assert!(poison.quarantine(later, &bad).is_none(), "{name}: it expires");
    }
}
