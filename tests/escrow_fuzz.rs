//! Stateful fuzzing of distributed rate limiting against one global token bucket.
//!
//! Members exchange messages over a network that loses, duplicates, delays and reorders them. They
//! are killed, restarted, paused and partitioned, shares move between them, and their clocks run at
//! different speeds. In every case all members together must admit no more than one token bucket.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::escrow::{
    Action, Admission, AdmissionRequest, Escrow, IncomingNote, PeerStatus, RateLimit, Settings,
    TokenBucket,
};
use shallotstall::model::{Account, Place, VmId};
use shallotstall::peer::ask::Note;
use shallotstall::zone::{Allocation, Member, PART_COUNT, Roster};

const MEMBERS: usize = 5;
const LIMIT: RateLimit = RateLimit { rate: 40.0, burst: 20.0 };

/// One step of a test case. A message number is taken modulo the number of messages in flight.
#[derive(Clone, Debug)]
enum Op {
    Advance {
        ms: u64,
    },
    Requests {
        member: usize,
        count: u8,
    },
    /// Requests at every member.
    RequestsEverywhere {
        count: u8,
    },
    /// Lets time pass while all messages are delivered.
    Run {
        ms: u64,
    },
    /// Lets time pass, then delivers all messages.
    DelayedDelivery {
        ms: u64,
    },
    /// Partitions one member from all others for a while.
    Isolate {
        member: usize,
        ms: u64,
    },
    /// A complete transfer: release, roster write, and all members read the roster.
    MoveShare {
        member: usize,
        keep_percent: u8,
    },
    KillAndRestart {
        member: usize,
        ms: u64,
    },
    Deliver {
        message: usize,
    },
    DeliverAll,
    Duplicate {
        message: usize,
    },
    Drop {
        message: usize,
    },
    Kill {
        member: usize,
    },
    Restart {
        member: usize,
    },
    Pause {
        member: usize,
    },
    Resume {
        member: usize,
    },
    Partition {
        a: usize,
        b: usize,
    },
    Heal,
    /// The member starts to release all but this percentage of its parts.
    Release {
        member: usize,
        keep_percent: u8,
    },
    /// The member writes its release to the roster, if nothing released is in use.
    TransferExcess {
        member: usize,
    },
    ReadRoster {
        member: usize,
    },
    Remove {
        member: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let member = 0..MEMBERS;
    prop_oneof![
        12 => (1u64..400).prop_map(|ms| Op::Advance { ms }),
        2 => (400u64..4000).prop_map(|ms| Op::Advance { ms }),
        12 => (member.clone(), 1u8..30).prop_map(|(member, count)| Op::Requests { member, count }),
        6 => (5u8..60).prop_map(|count| Op::RequestsEverywhere { count }),
        6 => (100u64..1500).prop_map(|ms| Op::Run { ms }),
        3 => (20u64..500).prop_map(|ms| Op::DelayedDelivery { ms }),
        2 => (member.clone(), 500u64..3000).prop_map(|(member, ms)| Op::Isolate { member, ms }),
        2 => (member.clone(), 0u8..100).prop_map(|(member, keep_percent)| Op::MoveShare { member, keep_percent }),
        2 => (member.clone(), 0u64..900).prop_map(|(member, ms)| Op::KillAndRestart { member, ms }),
        8 => any::<usize>().prop_map(|message| Op::Deliver { message }),
        12 => Just(Op::DeliverAll),
        3 => any::<usize>().prop_map(|message| Op::Duplicate { message }),
        3 => any::<usize>().prop_map(|message| Op::Drop { message }),
        1 => member.clone().prop_map(|member| Op::Kill { member }),
        2 => member.clone().prop_map(|member| Op::Restart { member }),
        1 => member.clone().prop_map(|member| Op::Pause { member }),
        2 => member.clone().prop_map(|member| Op::Resume { member }),
        1 => (member.clone(), member.clone()).prop_map(|(a, b)| Op::Partition { a, b }),
        1 => Just(Op::Heal),
        1 => (member.clone(), 0u8..100).prop_map(|(member, keep_percent)| Op::Release { member, keep_percent }),
        3 => member.clone().prop_map(|member| Op::TransferExcess { member }),
        4 => member.clone().prop_map(|member| Op::ReadRoster { member }),
        1 => member.prop_map(|member| Op::Remove { member }),
    ]
}

struct Node {
    vm: VmId,
    /// Speed of its clock relative to true time.
    clock: f64,
    incarnation: u64,
    alive: bool,
    /// True time at which its process last ended.
    died: Duration,
    paused: bool,
    escrow: Escrow,
    allocation: Allocation,
    /// The roster that this member last read.
    known: Roster,
    next_id: u64,
}

struct Message {
    to: usize,
    incoming: IncomingNote,
}

struct World {
    start: Instant,
    /// True time since the start.
    elapsed: Duration,
    account: Account,
    nodes: Vec<Node>,
    roster: Roster,
    network: Vec<Message>,
    partitions: BTreeMap<(usize, usize), bool>,
    oracle: TokenBucket,
    admitted: u64,
}

impl World {
    fn new() -> Self {
        let start = Instant::now();
        let mut roster = Roster::default();
        let mut nodes = Vec::new();
        for number in 0..MEMBERS {
            let member = listed(number, 1);
            roster.join(&member).expect("nobody is on the roster yet");
            nodes.push(Node {
                vm: member.vm.clone(),
                clock: 1.0 + (number as f64 - 2.0) * 0.002,
                incarnation: 1,
                alive: true,
                died: Duration::ZERO,
                paused: false,
                escrow: new_escrow(start, number, 1),
                allocation: Allocation::new(start),
                known: Roster::default(),
                next_id: 0,
            });
        }
        // The first member to join took all parts; distribute them as the daemon does.
        for vm in nodes.iter().map(|n| n.vm.clone()) {
            let (parts, slices) = roster.retained(&vm).expect("the member is listed");
            roster.transfer_excess(&vm, 1, parts, &slices).expect("the member is listed");
        }
        // The fastest clock runs 0.4 % faster than true time, and its bucket refills accordingly.
        let rate = LIMIT.rate * 1.004;
        let mut oracle = TokenBucket::new(start, rate, LIMIT.burst);
        oracle.add(start, LIMIT.burst);
        let account = Account::new("rota", "zoo");
        let (network, partitions) = (Vec::new(), BTreeMap::new());
        let elapsed = Duration::ZERO;
        let mut world = Self {
            start,
            elapsed,
            account,
            nodes,
            roster,
            network,
            partitions,
            oracle,
            admitted: 0,
        };
        (0..MEMBERS).for_each(|n| world.read_roster(n));
        world
    }

    fn local(&self, member: usize) -> Instant {
        self.start + self.elapsed.mul_f64(self.nodes[member].clock)
    }

    fn runs(&self, member: usize) -> bool {
        self.nodes[member].alive && !self.nodes[member].paused
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains_key(&(a.min(b), a.max(b)))
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Advance { ms } => self.advance(*ms),
            Op::Requests { member, count } => (0..*count).for_each(|_| self.request(*member)),
            Op::RequestsEverywhere { count } => {
                (0..MEMBERS).for_each(|m| (0..*count).for_each(|_| self.request(m)));
            }
            Op::Run { ms } => self.run(*ms),
            Op::DelayedDelivery { ms } => {
                self.advance(*ms);
                self.deliver_all();
            }
            Op::Isolate { member, ms } => self.isolate(*member, *ms),
            Op::MoveShare { member, keep_percent } => {
                self.release(*member, *keep_percent);
                self.transfer_excess(*member);
                (0..MEMBERS).for_each(|m| self.read_roster(m));
            }
            Op::KillAndRestart { member, ms } => {
                self.kill(*member);
                self.run(*ms);
                self.restart(*member);
                (0..MEMBERS).for_each(|m| self.read_roster(m));
            }
            Op::Deliver { message } => self.deliver(*message, true),
            Op::DeliverAll => self.deliver_all(),
            Op::Duplicate { message } => self.deliver(*message, false),
            Op::Drop { message } => {
                if !self.network.is_empty() {
                    let index = message % self.network.len();
                    self.network.remove(index);
                }
            }
            Op::Kill { member } => self.kill(*member),
            Op::Restart { member } => self.restart(*member),
            Op::Pause { member } => self.nodes[*member].paused = true,
            Op::Resume { member } => self.nodes[*member].paused = false,
            Op::Partition { a, b } => {
                self.partitions.insert((*a.min(b), *a.max(b)), true);
            }
            Op::Heal => self.partitions.clear(),
            Op::Release { member, keep_percent } => self.release(*member, *keep_percent),
            Op::TransferExcess { member } => self.transfer_excess(*member),
            Op::ReadRoster { member } => self.read_roster(*member),
            Op::Remove { member } => self.remove(*member),
        }
    }

    /// Lets time pass in steps of at most 50 ms, in each of which all running members tick.
    fn advance(&mut self, ms: u64) {
        // The limit must hold at the end of each step, not only at the end of an operation.
        let steps = ms.div_ceil(50);
        for _ in 0..steps {
            self.elapsed += Duration::from_millis(ms / steps);
            for member in 0..MEMBERS {
                self.tick(member);
            }
            self.check_limit();
        }
    }

    /// Lets time pass while all messages are delivered.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(50) {
            self.advance(50);
            self.deliver_all();
        }
    }

    /// Cuts all links of a member for a while. The others then see it as not live.
    fn isolate(&mut self, member: usize, ms: u64) {
        let before = self.partitions.clone();
        for other in 0..MEMBERS {
            self.partitions.insert((member.min(other), member.max(other)), true);
        }
        self.run(ms);
        self.partitions = before;
    }

    /// Checks that what is available at all members together is at most the account's limit.
    fn check_limit(&mut self) {
        let (mut rate, mut burst) = (0.0, 0.0);
        for member in 0..MEMBERS {
            let now = self.local(member);
            if self.nodes[member].alive {
                let account = self.account.clone();
                let escrow = self.nodes[member].escrow.account(&account).expect("the account");
                let held = escrow.available(now);
                rate += held.rate;
                burst += held.burst;
            }
        }
        assert!(rate <= LIMIT.rate + 1e-6, "{rate} tokens/s available at {:?}", self.elapsed);
        assert!(burst <= LIMIT.burst + 1e-6, "{burst} tokens available at {:?}", self.elapsed);
    }

    fn tick(&mut self, member: usize) {
        if !self.runs(member) {
            return;
        }
        let now = self.local(member);
        let peers = self.peers(member);
        let node = &mut self.nodes[member];
        node.escrow.set_peers(peers);
        let parts = node.allocation.parts(now);
        if node.escrow.parts() != parts {
            node.escrow.set_parts(now, parts);
        }
        let actions = node.escrow.tick(now);
        self.carry_out(member, actions);
    }

    /// All members as `member` sees them: live are those that run and that it has a link to.
    fn peers(&self, member: usize) -> Vec<PeerStatus> {
        (0..MEMBERS)
            .map(|other| PeerStatus {
                vm: self.nodes[other].vm.clone(),
                zone: zone_of(other).as_str().into(),
                live: self.runs(other) && !self.is_partitioned(member, other),
            })
            .collect()
    }

    fn request(&mut self, member: usize) {
        if !self.runs(member) {
            return;
        }
        let now = self.local(member);
        let node = &mut self.nodes[member];
        node.next_id += 1;
        let request =
            AdmissionRequest { id: node.next_id, deadline: now + Duration::from_millis(300) };
        let (admission, actions) = node.escrow.request(now, &self.account, request);
        if admission == Admission::Admitted {
            self.admit();
        }
        self.carry_out(member, actions);
    }

    /// Takes the token of an admitted request from the oracle, which must have one.
    fn admit(&mut self) {
        self.admitted += 1;
        let now = self.start + self.elapsed;
        let held = self.oracle.tokens(now);
        assert!(
            self.oracle.take(now, 1.0 - 1e-6),
            "admission {} at {:?}: one bucket would hold {held} tokens",
            self.admitted,
            self.elapsed,
        );
    }

    fn carry_out(&mut self, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, account, note } => {
                    let to = self.nodes.iter().position(|n| n.vm == to).expect("a member");
                    if !self.is_partitioned(member, to) {
                        let from = self.nodes[member].vm.clone();
                        self.network
                            .push(Message { to, incoming: IncomingNote { from, account, note } });
                    }
                }
                Action::Admit(_) => self.admit(),
                Action::Refuse { .. } => {}
                Action::AnnounceHome => {
                    let homes = self.nodes[member].escrow.homes();
                    for other in 0..MEMBERS {
                        if other != member
                            && self.runs(other)
                            && !self.is_partitioned(member, other)
                        {
                            let now = self.local(other);
                            self.nodes[other].escrow.learn_homes(now, &homes);
                        }
                    }
                }
            }
        }
    }

    fn deliver(&mut self, message: usize, remove: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = message % self.network.len();
        let (to, incoming) = (self.network[index].to, self.network[index].incoming.clone());
        if remove {
            self.network.remove(index);
        }
        self.receive(to, &incoming);
    }

    /// Delivers all messages in 4 rounds, so that responses are delivered, too.
    fn deliver_all(&mut self) {
        for _ in 0..4 {
            for message in std::mem::take(&mut self.network) {
                self.receive(message.to, &message.incoming);
            }
        }
    }

    fn receive(&mut self, to: usize, incoming: &IncomingNote) {
        if self.runs(to) {
            let now = self.local(to);
            let actions = self.nodes[to].escrow.receive(now, incoming);
            self.carry_out(to, actions);
        }
    }

    fn kill(&mut self, member: usize) {
        if self.nodes[member].alive {
            self.nodes[member].alive = false;
            self.nodes[member].died = self.elapsed;
        }
    }

    /// Removes a dead member from the roster after the time for which the daemon waits.
    fn remove(&mut self, member: usize) {
        let node = &self.nodes[member];
        let (vm, incarnation) = (node.vm.clone(), node.incarnation);
        if !node.alive && self.elapsed >= node.died + Duration::from_millis(3_000) {
            // Fails if this incarnation is not listed, for example because it was removed before.
            let _ = self.roster.remove(&vm, incarnation);
            assert!(self.roster.is_valid(), "the roster stays valid");
        }
    }

    /// Starts a new incarnation, which takes its predecessor's place on the roster and no more.
    fn restart(&mut self, member: usize) {
        if self.nodes[member].alive {
            return;
        }
        let now = self.local(member);
        let node = &mut self.nodes[member];
        node.incarnation += self.elapsed.as_millis() as u64 + 1;
        node.alive = true;
        node.paused = false;
        node.escrow = new_escrow(now, member, node.incarnation);
        node.allocation = Allocation::new(now);
        self.roster.join(&listed(member, node.incarnation)).expect("the incarnation is newer");
        self.read_roster(member);
    }

    fn release(&mut self, member: usize, keep_percent: u8) {
        let vm = self.nodes[member].vm.clone();
        let Some(mine) = self.nodes[member].known.member(&vm).cloned() else { return };
        if !self.runs(member) || self.nodes[member].allocation.releasing().is_some() {
            return;
        }
        let kept = (u64::from(mine.parts) * u64::from(keep_percent) / 100) as u32;
        self.nodes[member].allocation.start_release(kept, mine.slices.clone());
        self.tick(member);
    }

    /// Writes a release to the roster, once nothing that is to be released is in use.
    fn transfer_excess(&mut self, member: usize) {
        let now = self.local(member);
        let Some((parts, slices)) = self.nodes[member].allocation.releasing().cloned() else {
            return;
        };
        let node = &mut self.nodes[member];
        let settled = node.allocation.can_release(now) && node.escrow.is_settled(now);
        if !self.runs(member) || !settled {
            return;
        }
        let (vm, incarnation) = (self.nodes[member].vm.clone(), self.nodes[member].incarnation);
        if self.roster.transfer_excess(&vm, incarnation, parts, &slices).is_ok() {
            assert!(self.roster.is_valid(), "the roster stays valid");
            self.read_roster(member);
        }
        self.nodes[member].allocation.finish_release();
        self.tick(member);
    }

    fn read_roster(&mut self, member: usize) {
        if !self.runs(member) {
            return;
        }
        let now = self.local(member);
        let roster = self.roster.clone();
        let node = &mut self.nodes[member];
        for old in &node.known.members {
            let listed = roster.member(&old.vm).map(|m| m.incarnation);
            if listed != Some(old.incarnation) {
                node.escrow.member_died(now, &old.vm, old.incarnation);
            }
        }
        let mine = roster.member(&node.vm).filter(|m| m.incarnation == node.incarnation);
        node.allocation.update(mine);
        node.escrow.set_parts(now, node.allocation.parts(now));
        node.known = roster;
    }
}

fn zone_of(member: usize) -> String {
    format!("z{}", member % 2)
}

fn listed(member: usize, incarnation: u64) -> Member {
    let addr = "127.0.0.1:1".parse().expect("an address");
    Member {
        vm: format!("vm{member}").as_str().into(),
        place: Place { region: "r".into(), zone: zone_of(member).as_str().into() },
        incarnation,
        peers: addr,
        callers: addr,
        parts: 0,
        slices: Vec::new(),
        leaving: false,
    }
}

fn new_escrow(now: Instant, member: usize, incarnation: u64) -> Escrow {
    let me = PeerStatus {
        vm: format!("vm{member}").as_str().into(),
        zone: zone_of(member).as_str().into(),
        live: true,
    };
    let mut escrow = Escrow::new(now, me, incarnation, Settings::default());
    escrow.set_limit(now, &Account::new("rota", "zoo"), Some(LIMIT));
    escrow
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn members_together_admit_what_one_bucket_admits(ops in prop::collection::vec(op(), 50..400)) {
        let mut world = World::new();
        for op in &ops {
            world.apply(op);
            world.check_limit();
        }
        prop_assert!(world.roster.is_valid());
        prop_assert!(world.roster.members.iter().map(|m| m.parts).sum::<u32>() <= PART_COUNT);
    }
}

/// Without faults, one member can use the whole rate of the account.
#[test]
fn one_member_can_use_the_whole_rate() {
    let mut world = World::new();
    for _ in 0..100 {
        world.advance(50);
        world.deliver_all();
    }
    let before = world.admitted;
    for _ in 0..200 {
        world.advance(50);
        (0..3).for_each(|_| world.request(3));
        world.deliver_all();
    }
    // 10 s at 60 requests a second against 40 a second and a burst of 20.
    let admitted = world.admitted - before;
    assert!((400..=422).contains(&admitted), "admitted {admitted}");
}

/// A member that is partitioned from all others goes on with its own quota once its loan expires.
#[test]
fn a_partitioned_member_goes_on_with_its_quota() {
    let mut world = World::new();
    for _ in 0..100 {
        world.advance(50);
        world.deliver_all();
    }
    (0..MEMBERS).filter(|m| *m != 4).for_each(|m| world.apply(&Op::Partition { a: 4, b: m }));
    for _ in 0..100 {
        world.advance(50);
        world.deliver_all();
    }
    let before = world.admitted;
    for _ in 0..200 {
        world.advance(50);
        world.request(4);
        world.deliver_all();
    }
    // Two zones of three and two members: vm4 is one of three in z0 and has a sixth of the limit.
    let admitted = world.admitted - before;
    assert!((62..=72).contains(&admitted), "admitted {admitted}");
}

/// A pool home that is about to leave returns its loans while it still runs, so that the lenders
/// don't wait until the loans expire.
#[test]
fn a_leaving_pool_home_returns_its_loans() {
    let mut world = World::new();
    world.run(6_000);
    let account = world.account.clone();
    let home = world.nodes[0].escrow.home(&account).expect("a home");
    let leaving = world.nodes.iter().position(|n| n.vm == home).expect("a member");
    let now = world.local(leaving);
    let peers = world.peers(leaving).into_iter().map(|p| PeerStatus { live: p.vm != home, ..p });
    let node = &mut world.nodes[leaving];
    node.escrow.set_peers(peers.collect());
    let actions = node.escrow.tick(now);
    let returned = |a: &Action| matches!(a, Action::Send { note: Note::LoanReturn(_), .. });
    assert_eq!(actions.iter().filter(|a| returned(a)).count(), MEMBERS - 1);
    assert_ne!(node.escrow.home(&account), Some(home));
}

/// A pool that gets a request before its first loan must have the member retry soon.
#[test]
fn a_request_before_the_first_loan_is_retried_soon() {
    let mut world = World::new();
    world.advance(2_600);
    // The first requests reach the pool home before any loan does.
    (0..MEMBERS).for_each(|m| world.request(m));
    world.deliver_all();
    world.run(5_000);
    let before = world.admitted;
    for _ in 0..40 {
        (0..MEMBERS).for_each(|m| world.request(m));
        world.run(250);
    }
    // 10 s at 20 requests a second, half of the rate.
    assert!(world.admitted - before >= 198, "admitted {}", world.admitted - before);
}
