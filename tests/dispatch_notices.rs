//! The dispatcher obeys what targets say of themselves.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotstall::model::TargetId;
use shallotstall::steer::{LimitNotice, TargetNotice};
use shallotstall::targets::{
    AttemptResult, ClosedTargets, DispatchLimits, Dispatcher, NoticeInForce, NoticeReport, Outage,
    OwnedTarget, QueuedRequest, SlotDecision,
};

const SLOTS: u32 = 10;
const LIMITS: DispatchLimits = DispatchLimits { headroom: 0.0, queue: 100 };
const LEAVING: TargetNotice = TargetNotice { leaving: true, pause: None };
/// When the notices of these tests are said, in milliseconds since the Unix epoch.
const SAID_MS: u64 = 5_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn pause(n: u64) -> TargetNotice {
    TargetNotice { leaving: false, pause: Some(ms(n)) }
}

/// A dispatcher with targets, at a time of the test's own.
struct Fixture {
    dispatcher: Dispatcher,
    owned: Vec<OwnedTarget>,
    now: Instant,
    rng: SmallRng,
    next_ticket: u64,
}

impl Fixture {
    /// Targets `t0`, `t1` and so on, which all serve with all their slots.
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let owned = |n: u16| OwnedTarget {
            id: TargetId::new(format!("t{n}")),
            addr: ([127, 0, 0, 1], 9_000 + n).into(),
            slots: SLOTS,
            leaving: false,
            first_seen: now,
        };
        let mut fixture = Self {
            dispatcher: Dispatcher::new(LIMITS),
            owned: (0..count).map(owned).collect(),
            now: now + ms(60_000),
            rng: SmallRng::seed_from_u64(7),
            next_ticket: 0,
        };
        fixture.sync();
        (0..count as usize).for_each(|n| fixture.probe(n));
        fixture
    }

    fn sync(&mut self) {
        self.dispatcher.sync(self.now, &self.owned);
    }

    fn probe(&mut self, number: usize) {
        let id = &self.owned[number].id;
        self.dispatcher.record_probe(self.now, id, Some(0), &mut self.rng);
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.dispatcher.tick(self.now, &mut self.rng);
    }

    fn say_from(
        &mut self,
        number: usize,
        addr: SocketAddr,
        notice: TargetNotice,
    ) -> Vec<SlotDecision> {
        let target = &self.owned[number].id;
        let report = NoticeReport { target, addr, notice, said_ms: SAID_MS };
        self.dispatcher.record_notice(self.now, &report, &mut self.rng)
    }

    fn say(&mut self, number: usize, notice: TargetNotice) -> Vec<SlotDecision> {
        self.say_from(number, self.owned[number].addr, notice)
    }

    /// Adds a request that may wait for a second.
    fn admit(&mut self) -> Vec<SlotDecision> {
        self.next_ticket += 1;
        let request = QueuedRequest {
            ticket: self.next_ticket,
            customer: "c".into(),
            weight: 1,
            deadline: self.now + ms(1_000),
            foreign: false,
            avoid: Vec::new(),
        };
        self.dispatcher.admit(self.now, request, &mut self.rng)
    }

    fn notice(&self, number: usize) -> Option<NoticeInForce> {
        self.dispatcher.notice_of(self.now, &self.owned[number].id)
    }

    /// Sends as many requests as there is room for, ends them, and returns how many were at once at a
    /// target.
    fn started(&mut self, number: usize) -> usize {
        let mut started = Vec::new();
        loop {
            let decisions = self.admit();
            let Some(SlotDecision::Start(slot)) = decisions.first() else { break };
            started.push(slot.target.clone());
        }
        self.dispatcher.cancel(self.next_ticket);
        for target in &started {
            let answered = AttemptResult::Answered(ms(1));
            self.dispatcher.finish(self.now, target, answered, &mut self.rng);
        }
        started.iter().filter(|t| **t == self.owned[number].id).count()
    }
}

#[test]
fn a_leaving_target_gets_nothing_more_whatever_the_list_says() {
    let mut fixture = Fixture::new(2);
    assert_eq!(fixture.started(0), SLOTS as usize);
    fixture.say(0, LEAVING);
    for _ in 0..100 {
        fixture.advance(ms(500));
        fixture.sync();
        fixture.probe(0);
        assert_eq!(fixture.started(0), 0);
    }
    assert_eq!(fixture.started(1), SLOTS as usize, "the other one serves");
    assert_eq!(fixture.notice(0), Some(NoticeInForce::Leaving { age: ms(50_000) }));
}

/// Guards against a notice that is lost when the ownership moves away and comes back.
#[test]
fn a_notice_outlives_the_ownership() {
    for notice in [LEAVING, pause(30_000)] {
        let mut fixture = Fixture::new(2);
        fixture.say(0, notice);
        let owned = fixture.owned.clone();
        fixture.owned.remove(0);
        fixture.sync();
        fixture.advance(ms(5_000));
        fixture.owned = owned;
        fixture.sync();
        fixture.probe(0);
        assert_eq!(fixture.started(0), 0, "{notice:?}");
    }
}

/// Guards against a target that is out for good because an earlier one at its address has left.
#[test]
fn a_notice_ends_with_the_process_that_gave_it() {
    type Restart = fn(&mut Fixture);
    let restarts: [(&str, Restart); 4] = [
        ("its port refuses connections", |b| {
            let id = b.owned[0].id.clone();
            b.dispatcher.record_crash(b.now, &id, &mut b.rng);
        }),
        ("a request finds that it has ended", |b| {
            let id = b.owned[0].id.clone();
            b.dispatcher.finish(b.now, &id, AttemptResult::Died, &mut b.rng);
        }),
        ("it has another address", |b| {
            b.owned[0].addr.set_port(9_100);
            b.sync();
        }),
        ("its probe names a later start", |b| {
            let id = b.owned[0].id.clone();
            b.dispatcher.record_start(b.now, &id, SAID_MS + 1);
        }),
    ];
    for (name, restart) in restarts {
        for notice in [LEAVING, pause(30_000)] {
            let mut fixture = Fixture::new(2);
            let id = fixture.owned[0].id.clone();
            fixture.dispatcher.record_start(fixture.now, &id, SAID_MS - 100);
            fixture.say(0, notice);
            fixture.dispatcher.record_start(fixture.now, &id, SAID_MS - 100);
            assert_eq!(fixture.started(0), 0, "the same process");
            restart(&mut fixture);
            assert_eq!(fixture.notice(0), None, "{name}");
            assert_eq!(fixture.started(0), 0, "{name}: no probe has succeeded yet");
            fixture.probe(0);
            assert_eq!(fixture.started(0), 1, "{name}: it is cold");
        }
    }
}

/// A response of the process at an earlier address says nothing of the one at the new address.
#[test]
fn a_late_notice_from_an_earlier_address_is_not_taken_for_the_new_process() {
    let mut fixture = Fixture::new(1);
    let earlier = fixture.owned[0].addr;
    fixture.owned[0].addr.set_port(9_100);
    fixture.sync();
    fixture.probe(0);
    fixture.say_from(0, earlier, LEAVING);
    assert_eq!(fixture.notice(0), None);
    assert!(fixture.started(0) > 0);
}

#[test]
fn a_paused_target_gets_nothing_until_the_pause_is_over_and_returns_gradually() {
    let mut fixture = Fixture::new(2);
    fixture.say(0, pause(2_000));
    // A probe that was under way does not end the pause.
    fixture.probe(0);
    for _ in 0..4 {
        assert_eq!(fixture.started(0), 0);
        fixture.advance(ms(499));
        fixture.sync();
    }
    assert!(matches!(fixture.notice(0), Some(NoticeInForce::Paused { age, left })
        if age == ms(1_996) && left >= ms(4)));
    // Longer by a random part of it, a tenth at most.
    fixture.advance(ms(204));
    assert_eq!(fixture.notice(0), None);
    assert_eq!(fixture.started(0), 0, "no probe has succeeded yet");
    fixture.probe(0);
    let mut slots = Vec::new();
    for _ in 0..6 {
        slots.push(fixture.started(0));
        fixture.advance(ms(1_000));
        fixture.probe(0);
    }
    assert_eq!(slots, [1, 2, 4, 6, 8, 10]);
}

/// Guards against a paused target that gets requests as the last resort.
#[test]
fn paused_targets_are_no_last_resort() {
    let mut fixture = Fixture::new(3);
    for n in 0..3 {
        fixture.say(n, pause(2_000));
    }
    assert_eq!((0..3).map(|n| fixture.started(n)).sum::<usize>(), 0);
    assert_eq!(fixture.dispatcher.load(fixture.now).0, 0, "no slots are reported to peers");
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut fixture = Fixture::new(1);
    fixture.say(0, pause(5_000));
    fixture.say(0, pause(100));
    fixture.advance(ms(4_900));
    assert!(fixture.notice(0).is_some());
}

/// Guards against requests that wait in the queue although no target can take them in time.
#[test]
fn a_request_that_must_start_before_any_pause_ends_is_refused_at_once() {
    let cases = [
        ("both paused, the first for longer than it may wait", [pause(5_000), pause(3_000)], true),
        ("the first pause ends in time", [pause(5_000), pause(500)], false),
        ("one leaves, the other is paused for too long", [LEAVING, pause(3_000)], true),
        ("one leaves, the other's pause ends in time", [LEAVING, pause(500)], false),
        ("both leave", [LEAVING, LEAVING], true),
    ];
    for (name, notices, refused) in cases {
        for waits_before in [false, true] {
            let mut fixture = Fixture::new(2);
            let mut decisions = Vec::new();
            if waits_before {
                // All slots are taken, so that it waits when the notices come.
                (0..20).for_each(|_| assert_eq!(fixture.admit().len(), 1));
                assert_eq!(fixture.admit(), []);
            }
            for (number, notice) in notices.into_iter().enumerate() {
                decisions.extend(fixture.say(number, notice));
            }
            if !waits_before {
                decisions.extend(fixture.admit());
            }
            let expected: Vec<SlotDecision> =
                refused.then_some(SlotDecision::Refuse(fixture.next_ticket)).into_iter().collect();
            assert_eq!(decisions, expected, "{name}, waits before: {waits_before}");
        }
    }
}

/// Guards against an outage that is taken for granted while one target says nothing.
#[test]
fn an_outage_needs_the_word_of_every_target() {
    let leaving = ClosedTargets { leaving: 1, ..ClosedTargets::default() };
    let paused = |n: u64| ClosedTargets { leaving: 0, paused: 1, pause_left: Some(ms(n)) };
    let cases = [
        ("no targets", vec![], 0, None),
        ("nobody has said anything", vec![], 2, None),
        ("one of two leaves", vec![leaving], 2, None),
        ("one of two is paused", vec![paused(10)], 2, None),
        ("all leave", vec![leaving, leaving], 2, Some(Outage::AllLeaving)),
        ("one leaves, one is paused", vec![leaving, paused(10)], 2, Some(Outage::Paused(ms(10)))),
        ("the first pause counts", vec![paused(30), paused(20)], 2, Some(Outage::Paused(ms(20)))),
    ];
    for (name, closed, count, expected) in cases {
        let closed = closed.into_iter().fold(ClosedTargets::default(), ClosedTargets::merge);
        assert_eq!(closed.outage(count), expected, "{name}");
    }
}

/// Guards against an egress VM that sends a target more than the limit that it has named, and against
/// requests that wait for a limit that won't let them through in time.
#[test]
fn a_target_gets_no_more_than_the_limit_that_it_names() {
    const LIMIT: f64 = 5.0;
    let mut fixture = Fixture::new(1);
    let target = fixture.owned[0].id.clone();
    let say = |fixture: &mut Fixture, notice| {
        fixture.dispatcher.record_limit(fixture.now, &target, notice, &mut fixture.rng)
    };
    say(&mut fixture, LimitNotice::Named(LIMIT));
    let mut started = Vec::new();
    for _ in 0..400 {
        fixture.now += ms(20);
        let mut decisions = fixture.dispatcher.tick(fixture.now, &mut fixture.rng);
        decisions.extend(fixture.admit());
        while let Some(decision) = decisions.pop() {
            let SlotDecision::Start(slot) = decision else { continue };
            started.push(fixture.now);
            let (answered, rng) = (AttemptResult::Answered(ms(10)), &mut fixture.rng);
            decisions.extend(fixture.dispatcher.finish(fixture.now, &slot.target, answered, rng));
        }
    }
    let in_window = |start: &Instant| {
        started.iter().filter(|at| (*start..*start + ms(4_000)).contains(*at)).count()
    };
    let most = started.iter().map(in_window).max().unwrap_or(0);
    assert!(most as f64 <= 1.5 * LIMIT * 4.0 + 5.0, "{most} in 4 s");
    assert!(started.len() as f64 >= 0.8 * LIMIT * 8.0, "{} in 8 s", started.len());

    say(&mut fixture, LimitNotice::Named(0.1));
    fixture.advance(ms(3_000));
    let refused = fixture.admit().iter().any(|d| matches!(d, SlotDecision::Refuse(_)));
    assert!(refused, "its permit comes after the deadline");
}
