//! Requests refused although they were inside their customer's rate, by policy.
//!
//! The deciding part runs as the daemons run it, in virtual time: 18 members in 6 zones of 3
//! regions, 0.5 ms apart in a region and 55 ms between regions. One customer has a rate of 100 a
//! second and a burst of 40; 70 % of its requests come in at one hot zone, which changes every
//! 20 s. A refusal counts as wrongful where one bucket over all members would have admitted.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotstall::escrow::{
    Action, Admission, AdmissionRequest, Escrow, IncomingNote, PeerStatus, RateLimit, Settings,
    TokenBucket,
};
use shallotstall::model::{Account, PoolPlace};
use shallotstall::zone::PART_COUNT;

const MEMBERS: usize = 18;
const ZONES: usize = 6;
const TOTAL: RateLimit = RateLimit { rate: 100.0, burst: 40.0 };
const RUN: Duration = Duration::from_secs(600);
const TICK: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(500);
const SEEDS: [u64; 3] = [1, 2, 3];

/// How the sum is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Each member keeps its equal part.
    StaticSplit,
    /// Floors are lent to a pool that stays where it is.
    FixedPool,
    /// Floors are lent to a pool that follows demand.
    MovingPool,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    refused: u64,
    wrongful: u64,
}

enum Due {
    Message(usize, IncomingNote),
    Homes(usize, Vec<shallotstall::peer::PoolHome>),
    Arrival,
    Tick,
    Heartbeat,
}

struct Fleet {
    policy: Policy,
    start: Instant,
    rng: SmallRng,
    offered: f64,
    patience: Duration,
    members: Vec<Escrow>,
    buckets: Vec<TokenBucket>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    oracle: TokenBucket,
    /// Time of arrival, and whether the oracle admits.
    open: BTreeMap<u64, (Instant, bool)>,
    counts: Counts,
    waits: Histogram<u64>,
}

fn account() -> Account {
    Account::new("rota", "zoo")
}

fn zone(member: usize) -> usize {
    member % ZONES
}

fn delay(a: usize, b: usize) -> Duration {
    match zone(a) / 2 == zone(b) / 2 {
        true => Duration::from_micros(500),
        false => Duration::from_millis(55),
    }
}

fn peers() -> Vec<PeerStatus> {
    (0..MEMBERS)
        .map(|m| PeerStatus {
            vm: format!("vm{m:02}").as_str().into(),
            zone: format!("z{}", zone(m)).as_str().into(),
            live: true,
        })
        .collect()
}

impl Fleet {
    fn new(policy: Policy, offered: f64, patience: Duration, seed: u64) -> Self {
        let start = Instant::now();
        let place = match policy {
            Policy::FixedPool => PoolPlace::Stays,
            _ => PoolPlace::Follows,
        };
        let members = peers().into_iter().map(|me| {
            let mut escrow = Escrow::new(start, me, 1, Settings::default());
            escrow.set_peers(peers());
            escrow.set_limit(start, &account(), Some(TOTAL));
            escrow.set_pool_place(&account(), place);
            escrow.set_parts(start, PART_COUNT / MEMBERS as u32);
            escrow
        });
        let part = MEMBERS as f64;
        let bucket = TokenBucket::new(start, TOTAL.rate / part, TOTAL.burst / part);
        let mut fleet = Self {
            policy,
            start,
            rng: SmallRng::seed_from_u64(seed),
            offered,
            patience,
            members: members.collect(),
            buckets: vec![bucket; MEMBERS],
            events: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            oracle: TokenBucket::new(start, TOTAL.rate, TOTAL.burst),
            open: BTreeMap::new(),
            counts: Counts::default(),
            waits: Histogram::new(3).expect("three digits"),
        };
        fleet.schedule(start, Due::Tick);
        fleet.schedule(start, Due::Heartbeat);
        fleet.schedule(start + Duration::from_secs(5), Due::Arrival);
        fleet
    }

    fn schedule(&mut self, at: Instant, due: Due) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.due.insert(self.next, due);
    }

    fn run(mut self) -> (Counts, Histogram<u64>) {
        while let Some(Reverse((now, number))) = self.events.pop() {
            if now > self.start + RUN {
                break;
            }
            match self.due.remove(&number).expect("an event") {
                Due::Message(to, event) => {
                    let actions = self.members[to].receive(now, &event);
                    self.carry_out(now, to, actions);
                }
                Due::Homes(to, homes) => self.members[to].learn_homes(now, &homes),
                Due::Arrival => self.arrive(now),
                Due::Tick => {
                    for member in 0..MEMBERS {
                        let actions = self.members[member].tick(now);
                        self.carry_out(now, member, actions);
                    }
                    self.schedule(now + TICK, Due::Tick);
                }
                Due::Heartbeat => {
                    (0..MEMBERS).for_each(|m| self.announce(now, m));
                    self.schedule(now + HEARTBEAT, Due::Heartbeat);
                }
            }
        }
        (self.counts, self.waits)
    }

    fn arrive(&mut self, now: Instant) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (TOTAL.rate * self.offered);
        self.schedule(now + Duration::from_secs_f64(gap), Due::Arrival);
        let turn = (now - self.start).as_secs() as usize / 20;
        let hot = (turn * 5 + 1) % ZONES;
        let zone = match self.rng.random_bool(0.7) {
            true => hot,
            false => self.rng.random_range(0..ZONES),
        };
        // Look-ups name two of a zone's three members.
        let member = zone + ZONES * self.rng.random_range(0..2);
        let inside = self.oracle.take(now, 1.0);
        self.counts.requests += 1;
        let ticket = self.counts.requests;
        self.open.insert(ticket, (now, inside));
        if self.policy == Policy::StaticSplit {
            match self.buckets[member].take(now, 1.0) {
                true => self.admitted(now, ticket),
                false => self.refused(ticket),
            }
            return;
        }
        let request = AdmissionRequest { id: ticket, deadline: now + self.patience };
        let (verdict, actions) = self.members[member].request(now, &account(), request);
        if verdict == Admission::Admitted {
            self.admitted(now, ticket);
        }
        self.carry_out(now, member, actions);
    }

    fn carry_out(&mut self, now: Instant, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, account, note } => {
                    let number = peers().iter().position(|p| p.vm == to).expect("a member");
                    let from = peers()[member].vm.clone();
                    let event = IncomingNote { from, account, note };
                    self.schedule(now + delay(member, number), Due::Message(number, event));
                }
                Action::Admit(ticket) => self.admitted(now, ticket),
                Action::Refuse { id: ticket, .. } => self.refused(ticket),
                Action::AnnounceHome => self.announce(now, member),
            }
        }
    }

    fn announce(&mut self, now: Instant, member: usize) {
        let homes = self.members[member].homes();
        for other in (0..MEMBERS).filter(|o| *o != member && !homes.is_empty()) {
            self.schedule(now + delay(member, other), Due::Homes(other, homes.clone()));
        }
    }

    fn admitted(&mut self, now: Instant, ticket: u64) {
        if let Some((at, _)) = self.open.remove(&ticket) {
            let wait = (now - at).as_micros() as u64;
            self.waits.record(wait).expect("waits are short");
        }
    }

    fn refused(&mut self, ticket: u64) {
        let inside = self.open.remove(&ticket).is_some_and(|(_, inside)| inside);
        self.counts.refused += 1;
        self.counts.wrongful += u64::from(inside);
    }
}

fn main() {
    println!(
        "{:12} {:>8} {:>9} {:>22} {:>9} {:>9}",
        "policy", "offered", "patience", "wrongful (3 seeds)", "wait p50", "wait p99"
    );
    for policy in [Policy::StaticSplit, Policy::FixedPool, Policy::MovingPool] {
        for offered in [0.5, 0.8, 0.95] {
            for patience_ms in [150, 300] {
                let patience = Duration::from_millis(patience_ms);
                let runs: Vec<_> =
                    SEEDS.iter().map(|s| Fleet::new(policy, offered, patience, *s).run()).collect();
                let shares: Vec<f64> = runs
                    .iter()
                    .map(|(c, _)| 100.0 * c.wrongful as f64 / c.requests as f64)
                    .collect();
                let mean = shares.iter().sum::<f64>() / shares.len() as f64;
                let low = shares.iter().copied().fold(f64::INFINITY, f64::min);
                let high = shares.iter().copied().fold(0.0, f64::max);
                let mut waits = Histogram::<u64>::new(3).expect("three digits");
                runs.iter().for_each(|(_, w)| waits.add(w).expect("the same kind"));
                let ms = |q| waits.value_at_quantile(q) as f64 / 1_000.0;
                println!(
                    "{:12} {:>7}% {:>6} ms {:>7.3}% ({:.3}-{:.3}) {:>6.1} ms {:>6.1} ms",
                    format!("{policy:?}"),
                    offered * 100.0,
                    patience_ms,
                    mean,
                    low,
                    high,
                    ms(0.5),
                    ms(0.99)
                );
                if policy == Policy::StaticSplit {
                    break;
                }
            }
        }
    }
}
