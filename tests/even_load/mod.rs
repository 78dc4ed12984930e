//! Replays a load pattern: the balancers of many entry VMs, and targets that are a queue each.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotstall::model::{TargetId, VmId};
use shallotstall::steer::{
    Balancer, LoadReport, Observation, Pick, PickRequest, PickResult, TargetReadiness,
    TargetRecord, name_hash,
};

const STEP_MS: u64 = 5;
const SLOTS: usize = 3;
/// Requests at a target beyond which it rejects.
const REQUESTS_MAX: usize = 12;
/// Objects that a target keeps warm.
const WARM_MAX: usize = 14;
const COLD_WORK_MS: u64 = 640;
const WARM_WORK_MS: u64 = 200;
const SYNC_STEPS: u64 = 50;
/// Longest delay of a message; an observation takes two, after up to two intervals of syncs.
const DELAY_MAX_MS: u64 = 250;
/// The targets whose reports [`Pattern::lie`] replaces.
pub const LIARS: usize = 3;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn id(number: usize) -> TargetId {
    TargetId::new(format!("t-{number}"))
}

pub fn record(number: usize, born_ms: u64) -> TargetRecord {
    TargetRecord {
        service: "yard".into(),
        addr: ([10, 0, 0, 1], number as u16).into(),
        zone: "a".into(),
        slots: SLOTS as u32,
        state: TargetReadiness::Ready,
        cold_ms: 0,
        born_ms,
    }
}

/// What the VMs know of targets.
#[derive(Clone, Copy, PartialEq)]
pub enum Knowledge {
    /// What each has seen itself.
    Own,
    /// What any of them has seen.
    Shared,
    /// The present state: the bound of what the choice can do.
    Exact,
}

/// What is replayed.
#[derive(Clone, Copy)]
pub struct Pattern {
    pub vms: usize,
    pub targets: usize,
    /// Requests per second of all VMs.
    pub rate: f64,
    pub objects: u32,
    pub knowledge: Knowledge,
    /// Fraction of all requests that ask for one object.
    pub hot: f64,
    /// Fraction of the targets that are 2.5 times slower, for 600 ms at a time.
    pub slow: f64,
    /// The VM that neither sends nor gets observations.
    pub cut_off: Option<usize>,
    /// The load header of some targets.
    pub lie: Option<&'static str>,
}

pub const USUAL: Pattern = Pattern {
    vms: 16,
    targets: 32,
    rate: 180.0,
    objects: 400,
    knowledge: Knowledge::Shared,
    hot: 0.0,
    slow: 0.15,
    cut_off: None,
    lie: None,
};

struct Job {
    vm: usize,
    object: u32,
    pick: Pick,
    sent: u64,
}

#[derive(Default)]
pub struct Target {
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    pub warm: VecDeque<u32>,
    slow_until: u64,
    pub accepted: u64,
    pub rejected: u64,
    /// Accepted requests for the object of [`Pattern::hot`].
    pub hot: u64,
}

impl Target {
    fn pace(&self, now: u64) -> u32 {
        if self.slow_until > now { 250 } else { 100 }
    }
}

/// Observations on their way: when they arrive, when they were sent, from whom and to whom.
type Message = (u64, u64, usize, usize, Vec<Observation>);

pub struct Replay {
    pattern: Pattern,
    pub now: u64,
    pub vms: Vec<Balancer>,
    pub targets: Vec<Target>,
    messages: Vec<Message>,
    rng: StdRng,
    /// Slot time in seconds that was idle while requests waited at other targets.
    pub idle: f64,
    /// Accepted requests by the place of the target in the object's order.
    orders: [u64; 4],
    warm: u64,
    /// Requests for which no target was chosen.
    pub refused: u64,
    /// Time from sending to the response, of each request and its VM.
    pub latencies: Vec<(usize, u64)>,
}

impl Replay {
    pub fn new(pattern: Pattern) -> Self {
        let vms = (0..pattern.vms).map(|vm| {
            let mut balancer = Balancer::new(HashMap::from([("a".into(), "r".into())]));
            balancer.set_seed(vm as u64);
            (0..pattern.targets).for_each(|t| balancer.put(ms(0), id(t), record(t, 1)));
            balancer
        });
        Self {
            vms: vms.collect(),
            targets: (0..pattern.targets).map(|_| Target::default()).collect(),
            messages: Vec::new(),
            rng: StdRng::seed_from_u64(7),
            now: 1_000,
            idle: 0.0,
            orders: [0; 4],
            warm: 0,
            refused: 0,
            latencies: Vec::new(),
            pattern,
        }
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now += STEP_MS;
            self.change_pace();
            (0..self.targets.len()).for_each(|t| self.finish(t));
            self.arrive();
            if self.pattern.knowledge == Knowledge::Shared {
                self.sync();
            }
            let waiting: usize = self.targets.iter().map(|t| t.waiting.len()).sum();
            let idle: usize = self.targets.iter().map(|t| SLOTS - t.running.len()).sum();
            self.idle += (idle.min(waiting) as u64 * STEP_MS) as f64 / 1_000.0;
        }
    }

    fn change_pace(&mut self) {
        let wanted = (self.pattern.slow * self.targets.len() as f64).round() as usize;
        while self.targets.iter().filter(|t| t.slow_until > self.now).count() < wanted {
            let number = self.rng.random_range(0..self.targets.len());
            self.targets[number].slow_until = self.now + 600;
        }
    }

    fn arrive(&mut self) {
        let expected = self.pattern.rate * STEP_MS as f64 / 1_000.0;
        for _ in 0..(expected + self.rng.random::<f64>()) as usize {
            let (vm, draw) = (self.rng.random_range(0..self.vms.len()), self.rng.random::<f64>());
            let object = self.rng.random_range(1..=self.pattern.objects);
            self.send(vm, if draw < self.pattern.hot { 0 } else { object });
        }
    }

    fn send(&mut self, vm: usize, object: u32) {
        if self.pattern.knowledge == Knowledge::Exact {
            self.tell_all(vm);
        }
        let request = PickRequest {
            service: &"yard".into(),
            affinity: name_hash(&object.to_le_bytes()),
            region: &"r".into(),
            allowed_regions: None,
            avoid: &[],
            cold_rate: 0.0,
            time_left: ms(3_000),
        };
        let PickResult::Target(pick) = self.vms[vm].pick(ms(self.now), &request) else {
            self.refused += 1;
            return;
        };
        let number: usize = pick.id.as_str()[2..].parse().expect("a number");
        self.vms[vm].record_sent(&pick.id);
        let target = &mut self.targets[number];
        if target.running.len() + target.waiting.len() >= REQUESTS_MAX {
            target.rejected += 1;
            self.report(number, vm, &pick);
            self.vms[vm].record_rejection(ms(self.now), &pick.id);
            return self.vms[vm].record_end(&pick.id);
        }
        target.accepted += 1;
        target.hot += u64::from(object == 0);
        self.orders[usize::from(pick.order)] += 1;
        target.waiting.push_back(Job { vm, object, pick, sent: self.now });
        self.start(number);
    }

    /// Tells a VM the present state of all targets.
    fn tell_all(&mut self, vm: usize) {
        let now = self.now;
        let exact = |(number, target): (usize, &Target)| Observation {
            target: id(number),
            born_ms: 1,
            requests: (target.running.len() + target.waiting.len()) as u32,
            own: 0,
            pace: target.pace(now),
            age: Duration::ZERO,
            rejected: false,
            limit: None,
        };
        let exact: Vec<_> = self.targets.iter().enumerate().map(exact).collect();
        self.vms[vm].merge_observations(ms(now), ms(now), &"all".into(), exact);
    }

    fn start(&mut self, number: usize) {
        let target = &mut self.targets[number];
        while target.running.len() < SLOTS
            && let Some(job) = target.waiting.pop_front()
        {
            let warm = target.warm.iter().position(|o| *o == job.object);
            self.warm += u64::from(warm.is_some());
            let work = if warm.is_some() { WARM_WORK_MS } else { COLD_WORK_MS };
            warm.map(|place| target.warm.remove(place));
            target.warm.push_front(job.object);
            target.warm.truncate(WARM_MAX);
            let work = work * u64::from(target.pace(self.now)) / 100;
            target.running.push((self.now + work, job));
        }
    }

    fn report(&mut self, number: usize, vm: usize, pick: &Pick) {
        let target = &self.targets[number];
        let pace = target.pace(self.now);
        let honest = format!("{}, {}, 3, {pace}", target.running.len(), target.waiting.len());
        let lie = self.pattern.lie.filter(|_| number < LIARS);
        if let Some(report) = LoadReport::parse(lie.unwrap_or(&honest)) {
            self.vms[vm].record_report(ms(self.now), pick, report);
        }
    }

    fn finish(&mut self, number: usize) {
        while let Some(place) =
            self.targets[number].running.iter().position(|(end, _)| *end <= self.now)
        {
            // The report counts the request itself, as does the VM.
            let Job { vm, pick, sent, .. } = {
                let job = &self.targets[number].running[place].1;
                Job { pick: job.pick.clone(), ..*job }
            };
            self.report(number, vm, &pick);
            self.targets[number].running.swap_remove(place);
            self.vms[vm].record_latency(ms(self.now), &pick, ms(self.now - sent));
            self.vms[vm].record_end(&pick.id);
            self.latencies.push((vm, self.now - sent));
            self.start(number);
        }
    }

    /// The first VM passes on what the others tell it.
    fn sync(&mut self) {
        let now = self.now;
        for vm in 1..self.vms.len() {
            let due = (now / STEP_MS + vm as u64 * 7).is_multiple_of(SYNC_STEPS);
            if due && self.pattern.cut_off != Some(vm) {
                for (from, to) in [(vm, 0), (0, vm)] {
                    let receiver = VmId::new(to.to_string());
                    let observations = self.vms[from].observations_for(ms(now), &receiver);
                    let arrival = now + self.rng.random_range(0..DELAY_MAX_MS);
                    self.messages.push((arrival, now, from, to, observations));
                }
            }
        }
        let arrived = self.messages.extract_if(.., |message| message.0 <= now);
        for (_, sent, from, to, observations) in arrived {
            let sender = VmId::new(from.to_string());
            self.vms[to].merge_observations(ms(now), ms(sent), &sender, observations);
        }
    }

    /// The busiest target's requests to the mean.
    pub fn peak(&self) -> f64 {
        let accepted: Vec<u64> = self.targets.iter().map(|t| t.accepted).collect();
        let mean = accepted.iter().sum::<u64>() as f64 / accepted.len() as f64;
        *accepted.iter().max().expect("targets") as f64 / mean
    }

    pub fn rejected(&self) -> u64 {
        self.targets.iter().map(|t| t.rejected).sum()
    }

    /// Fraction of the accepted requests that went to the first target of their object.
    pub fn first_fraction(&self) -> f64 {
        self.orders[1] as f64 / self.orders.iter().sum::<u64>() as f64
    }

    pub fn warm_fraction(&self) -> f64 {
        self.warm as f64 / self.latencies.len() as f64
    }

    pub fn mean_latency(&self, vm: impl Fn(usize) -> bool) -> f64 {
        let of_vm = self.latencies.iter().filter(|(n, _)| vm(*n)).map(|(_, ms)| *ms);
        of_vm.clone().sum::<u64>() as f64 / of_vm.count() as f64
    }
}

pub fn replay(pattern: Pattern) -> Replay {
    let mut replay = Replay::new(pattern);
    replay.run(30_000 / STEP_MS);
    replay
}
