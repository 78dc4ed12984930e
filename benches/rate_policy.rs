//! Compares policies for dividing a customer's rate among members by their wrongful refusals:
//! requests refused although a single token bucket for all members would have admitted them.
//!
//! The simulation runs the escrow code of the daemons in virtual time: 18 members in 6 zones of 3
//! regions, with a one-way delay of 0.5 ms within a region and 55 ms between regions. One customer
//! has a rate of 100 requests a second and a burst of 40. 70 % of its requests arrive in one hot
//! zone, which changes every 20 s.

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
/// The customer's limit.
const LIMIT: RateLimit = RateLimit { rate: 100.0, burst: 40.0 };
const RUN_TIME: Duration = Duration::from_secs(600);
const TICK_INTERVAL: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time in one hot zone, in seconds.
const HOT_ZONE_S: usize = 20;
const SEEDS: [u64; 3] = [1, 2, 3];

/// How the customer's rate and burst are divided among the members.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Each member has an equal, fixed share.
    StaticSplit,
    /// Members lend their shares to a pool whose home is fixed.
    FixedPool,
    /// Members lend their shares to a pool whose home moves to where the demand is.
    MovingPool,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    refused: u64,
    wrongful: u64,
}

/// Something that happens at a simulated time.
enum SimEvent {
    Message(usize, IncomingNote),
    Homes(usize, Vec<shallotstall::peer::PoolHome>),
    Arrival,
    Tick,
    Heartbeat,
}

/// A simulated fleet with one customer.
struct Simulation {
    policy: Policy,
    start: Instant,
    rng: SmallRng,
    /// Request rate as a fraction of the customer's rate.
    load: f64,
    /// How long a request waits for admission before it is refused.
    max_wait: Duration,
    members: Vec<Escrow>,
    /// The buckets of [`Policy::StaticSplit`], by member.
    buckets: Vec<TokenBucket>,
    /// Times and numbers of future events.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Future events by number.
    events: BTreeMap<u64, SimEvent>,
    next: u64,
    /// A single bucket for all members, which tells which refusals are wrongful.
    oracle: TokenBucket,
    /// Arrival time of each undecided request, and whether the oracle admits it.
    pending: BTreeMap<u64, (Instant, bool)>,
    counts: Counts,
    waits: Histogram<u64>,
}

fn account() -> Account {
    Account::new("rota", "zoo")
}

fn zone_of(member: usize) -> usize {
    member % ZONES
}

/// One-way delay between two members; each region has two zones.
fn delay(a: usize, b: usize) -> Duration {
    match zone_of(a) / 2 == zone_of(b) / 2 {
        true => Duration::from_micros(500),
        false => Duration::from_millis(55),
    }
}

fn peers() -> Vec<PeerStatus> {
    (0..MEMBERS)
        .map(|m| PeerStatus {
            vm: format!("vm{m:02}").as_str().into(),
            zone: format!("z{}", zone_of(m)).as_str().into(),
            live: true,
        })
        .collect()
}

impl Simulation {
    fn new(policy: Policy, load: f64, max_wait: Duration, seed: u64) -> Self {
        let start = Instant::now();
        let place = match policy {
            Policy::FixedPool => PoolPlace::Stays,
            _ => PoolPlace::Follows,
        };
        let members = peers().into_iter().map(|me| {
            let mut escrow = Escrow::new(start, me, 1, Settings::default());
            escrow.set_peers(peers());
            escrow.set_limit(start, &account(), Some(LIMIT));
            escrow.set_pool_place(&account(), place);
            escrow.set_parts(start, PART_COUNT / MEMBERS as u32);
            escrow
        });
        let member_count = MEMBERS as f64;
        let bucket = TokenBucket::new(start, LIMIT.rate / member_count, LIMIT.burst / member_count);
        let mut simulation = Self {
            policy,
            start,
            rng: SmallRng::seed_from_u64(seed),
            load,
            max_wait,
            members: members.collect(),
            buckets: vec![bucket; MEMBERS],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            oracle: TokenBucket::new(start, LIMIT.rate, LIMIT.burst),
            pending: BTreeMap::new(),
            counts: Counts::default(),
            waits: Histogram::new(3).expect("three digits"),
        };
        simulation.schedule(start, SimEvent::Tick);
        simulation.schedule(start, SimEvent::Heartbeat);
        simulation.schedule(start + Duration::from_secs(5), SimEvent::Arrival);
        simulation
    }

    fn schedule(&mut self, at: Instant, event: SimEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn run(mut self) -> (Counts, Histogram<u64>) {
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now > self.start + RUN_TIME {
                break;
            }
            match self.events.remove(&number).expect("every queued number has an event") {
                SimEvent::Message(to, event) => {
                    let actions = self.members[to].receive(now, &event);
                    self.perform(now, to, actions);
                }
                SimEvent::Homes(to, homes) => self.members[to].learn_homes(now, &homes),
                SimEvent::Arrival => self.arrive(now),
                SimEvent::Tick => {
                    for member in 0..MEMBERS {
                        let actions = self.members[member].tick(now);
                        self.perform(now, member, actions);
                    }
                    self.schedule(now + TICK_INTERVAL, SimEvent::Tick);
                }
                SimEvent::Heartbeat => {
                    (0..MEMBERS).for_each(|m| self.announce(now, m));
                    self.schedule(now + HEARTBEAT_INTERVAL, SimEvent::Heartbeat);
                }
            }
        }
        (self.counts, self.waits)
    }

    fn arrive(&mut self, now: Instant) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (LIMIT.rate * self.load);
        self.schedule(now + Duration::from_secs_f64(gap), SimEvent::Arrival);
        let period = (now - self.start).as_secs() as usize / HOT_ZONE_S;
        let hot = (period * 5 + 1) % ZONES;
        let zone = match self.rng.random_bool(0.7) {
            true => hot,
            false => self.rng.random_range(0..ZONES),
        };
        // Look-ups return two of the three members of a zone.
        let member = zone + ZONES * self.rng.random_range(0..2);
        let within_rate = self.oracle.take(now, 1.0);
        self.counts.requests += 1;
        let ticket = self.counts.requests;
        self.pending.insert(ticket, (now, within_rate));
        if self.policy == Policy::StaticSplit {
            match self.buckets[member].take(now, 1.0) {
                true => self.record_admitted(now, ticket),
                false => self.record_refused(ticket),
            }
            return;
        }
        let request = AdmissionRequest { id: ticket, deadline: now + self.max_wait };
        let (admission, actions) = self.members[member].request(now, &account(), request);
        if admission == Admission::Admitted {
            self.record_admitted(now, ticket);
        }
        self.perform(now, member, actions);
    }

    fn perform(&mut self, now: Instant, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, account, note } => {
                    let number = peers().iter().position(|p| p.vm == to).expect("a member");
                    let from = peers()[member].vm.clone();
                    let event = IncomingNote { from, account, note };
                    self.schedule(now + delay(member, number), SimEvent::Message(number, event));
                }
                Action::Admit(ticket) => self.record_admitted(now, ticket),
                Action::Refuse { id: ticket, .. } => self.record_refused(ticket),
                Action::AnnounceHome => self.announce(now, member),
            }
        }
    }

    fn announce(&mut self, now: Instant, member: usize) {
        let homes = self.members[member].homes();
        for other in (0..MEMBERS).filter(|o| *o != member && !homes.is_empty()) {
            self.schedule(now + delay(member, other), SimEvent::Homes(other, homes.clone()));
        }
    }

    fn record_admitted(&mut self, now: Instant, ticket: u64) {
        if let Some((at, _)) = self.pending.remove(&ticket) {
            let wait = (now - at).as_micros() as u64;
            self.waits.record(wait).expect("waits are short");
        }
    }

    fn record_refused(&mut self, ticket: u64) {
        let within_rate = self.pending.remove(&ticket).is_some_and(|(_, within_rate)| within_rate);
        self.counts.refused += 1;
        self.counts.wrongful += u64::from(within_rate);
    }
}

fn main() {
    println!(
        "{:12} {:>8} {:>9} {:>22} {:>9} {:>9}",
        "policy", "load", "max wait", "wrongful (3 seeds)", "wait p50", "wait p99"
    );
    for policy in [Policy::StaticSplit, Policy::FixedPool, Policy::MovingPool] {
        for load in [0.5, 0.8, 0.95] {
            for max_wait_ms in [150, 300] {
                let max_wait = Duration::from_millis(max_wait_ms);
                let runs: Vec<_> = SEEDS
                    .iter()
                    .map(|s| Simulation::new(policy, load, max_wait, *s).run())
                    .collect();
                let percents: Vec<f64> = runs
                    .iter()
                    .map(|(c, _)| 100.0 * c.wrongful as f64 / c.requests as f64)
                    .collect();
                let mean = percents.iter().sum::<f64>() / percents.len() as f64;
                let low = percents.iter().copied().fold(f64::INFINITY, f64::min);
                let high = percents.iter().copied().fold(0.0, f64::max);
                let mut waits = Histogram::<u64>::new(3).expect("three digits");
                runs.iter().for_each(|(_, w)| waits.add(w).expect("both have three digits"));
                let ms = |q| waits.value_at_quantile(q) as f64 / 1_000.0;
                println!(
                    "{:12} {:>7}% {:>6} ms {:>7.3}% ({:.3}-{:.3}) {:>6.1} ms {:>6.1} ms",
                    format!("{policy:?}"),
                    load * 100.0,
                    max_wait_ms,
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
