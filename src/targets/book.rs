//! The targets of one service that this entry VM owns: who may take the next request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::TargetId;

use super::{Queue, QueuedRequest, Shed, TargetEvent, TargetState, target_chart};

/// Failures in a row after which a target is ejected.
const FAILURES: u32 = 3;
/// Largest part of the targets that may be ejected; beyond it all of them are used again.
const EJECTED_MAX: f64 = 0.5;
/// Time in which a cold target comes to its full slots.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for which a load report is believed.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);
/// Weight of the newest latency in the mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// A target that this entry VM owns.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedTarget {
    /// The target.
    pub id: TargetId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its slots.
    pub slots: u32,
    /// True if it gets no new work.
    pub leaving: bool,
    /// When this VM first saw it on the platform's list; its caches are warm some time later.
    pub first_seen: Instant,
}

/// Bounds from the service's document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchLimits {
    /// Part of the slots that requests of other regions never take.
    pub headroom: f64,
    /// Requests that may wait.
    pub queue: usize,
}

/// A slot of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedSlot {
    /// The request.
    pub ticket: u64,
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub addr: SocketAddr,
}

/// What becomes of a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotDecision {
    /// It starts.
    Start(AssignedSlot),
    /// It gets no slot.
    Refuse(u64),
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With a whole answer after this time.
    Answered(Duration),
    /// The target had no room for it.
    Shed,
    /// Without a whole answer.
    Failed,
    /// With the end of the target's process.
    Died,
    /// The caller gave up first.
    GivenUp,
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    at: Instant,
    /// Requests beyond this VM's own that the target reported.
    others: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    known: OwnedTarget,
    state: TargetState,
    /// When the state began.
    since: Instant,
    /// Requests of this VM that run there: the own count outranks any report.
    busy: u32,
    failures: u32,
    /// Mean latency, in seconds.
    latency: f64,
    report: Option<Report>,
    /// True once its process has ended or started anew: its caches are cold.
    cold: bool,
}

/// The targets of one service at their egress VM.
///
/// No target ever has more requests of this VM than slots, and foreign requests never take the
/// headroom. As each target has one owner, both hold for whole regions.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    rules: DispatchLimits,
    targets: BTreeMap<TargetId, Entry>,
    queue: Queue,
}

impl Dispatcher {
    /// A book without targets.
    pub fn new(rules: DispatchLimits) -> Self {
        Self { rules, targets: BTreeMap::new(), queue: Queue::default() }
    }

    /// Changes the bounds.
    pub fn set_limits(&mut self, rules: DispatchLimits) {
        self.rules = rules;
    }

    /// Sets the targets owned. One that is no longer owned stays until its requests have ended.
    /// Returns true if there are new ones.
    pub fn sync(&mut self, now: Instant, known: &[OwnedTarget]) -> bool {
        let before = self.targets.len();
        for entry in self.targets.values_mut() {
            if !known.iter().any(|k| k.id == entry.known.id) {
                entry.apply(now, TargetEvent::Leave);
            }
        }
        self.targets.retain(|id, e| e.busy > 0 || known.iter().any(|k| &k.id == id));
        let kept = self.targets.len().min(before);
        for target in known {
            let entry =
                self.targets.entry(target.id.clone()).or_insert_with(|| Entry::new(now, target));
            if entry.known.addr != target.addr {
                entry.apply(now, TargetEvent::Died);
            }
            entry.known = target.clone();
            let event = if target.leaving { TargetEvent::Leave } else { TargetEvent::Return };
            entry.apply(now, event);
        }
        self.targets.len() > kept
    }

    /// The targets and their states.
    pub fn targets(&self) -> impl Iterator<Item = (&OwnedTarget, TargetState, u32)> {
        self.targets.values().map(|e| (&e.known, e.state, e.busy))
    }

    /// Slots that may be used, slots in use, and requests that wait.
    pub fn load(&self, now: Instant) -> (u32, u32, u32) {
        let slots = self.usable().map(|e| e.allowed(now)).sum();
        let busy = self.targets.values().map(|e| e.busy).sum();
        (slots, busy, self.queue.len() as u32)
    }

    /// Requests that run.
    pub fn busy(&self) -> u32 {
        self.targets.values().map(|e| e.busy).sum()
    }

    /// Asks for a slot; the answer is among the steps, now or later.
    pub fn admit(
        &mut self,
        now: Instant,
        work: QueuedRequest,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        let ticket = work.ticket;
        let shed = self.queue.push(work, self.rules.queue.max(1));
        let mut steps = self.steps(now, rng);
        if let Some(Shed(ticket)) = shed {
            steps.push(SlotDecision::Refuse(ticket));
        }
        let waits = !steps.iter().any(|s| s.ticket() == ticket);
        if waits && self.rules.queue == 0 {
            self.queue.cancel(ticket);
            steps.push(SlotDecision::Refuse(ticket));
        }
        steps
    }

    /// Gives up a request that waits.
    pub fn cancel(&mut self, ticket: u64) {
        self.queue.cancel(ticket);
    }

    /// Ends a request at a target.
    pub fn finish(
        &mut self,
        now: Instant,
        target: &TargetId,
        ended: AttemptResult,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.finish(now, ended);
        }
        self.steps(now, rng)
    }

    /// Learns how a probe ended, with the running requests that the target reports.
    pub fn record_probe(
        &mut self,
        now: Instant,
        target: &TargetId,
        running: Option<u32>,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(entry) = self.targets.get_mut(target) {
            match running {
                Some(running) => entry.probe_ok(now, running),
                None => entry.fail(now),
            }
        }
        self.steps(now, rng)
    }

    /// Learns that nothing listens at a target's address: its process has ended.
    pub fn record_crash(
        &mut self,
        now: Instant,
        target: &TargetId,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.apply(now, TargetEvent::Died);
        }
        self.steps(now, rng)
    }

    /// Lets time pass: ends warm-ups and waits.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        for entry in self.targets.values_mut() {
            if entry.state == TargetState::Warming && now >= entry.since + WARM_UP {
                entry.apply(now, TargetEvent::Warm);
            }
        }
        self.steps(now, rng)
    }

    fn steps(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        let mut steps: Vec<SlotDecision> =
            self.queue.expire(now).into_iter().map(|Shed(t)| SlotDecision::Refuse(t)).collect();
        while let Some(slot) = self.start_next(now, rng) {
            steps.push(SlotDecision::Start(slot));
        }
        steps
    }

    fn start_next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<AssignedSlot> {
        if self.queue.is_empty() {
            return None;
        }
        let foreign = self.has_foreign_room(now);
        let free: Vec<(TargetId, f64)> = self
            .usable()
            .filter(|e| e.busy < e.allowed(now))
            .map(|e| (e.known.id.clone(), e.cost(now)))
            .collect();
        let fits =
            |w: &QueuedRequest| (foreign || !w.foreign) && free.iter().any(|(id, _)| !w.avoids(id));
        let work = self.queue.pop(fits)?;
        let choices: Vec<&(TargetId, f64)> =
            free.iter().filter(|(id, _)| !work.avoids(id)).collect();
        let a = choices[rng.random_range(0..choices.len())];
        let b = choices[rng.random_range(0..choices.len())];
        let target = if b.1 < a.1 { &b.0 } else { &a.0 };
        let entry = self.targets.get_mut(target)?;
        entry.busy += 1;
        Some(AssignedSlot { ticket: work.ticket, target: target.clone(), addr: entry.known.addr })
    }

    /// Targets that may take work. If too many are ejected, ejected ones may, too: then the fault
    /// is more likely elsewhere.
    fn usable(&self) -> impl Iterator<Item = &Entry> {
        let serving = |s: TargetState| matches!(s, TargetState::Warming | TargetState::Serving);
        let ejected = self.targets.values().filter(|e| e.state == TargetState::Ejected).count();
        let proved = self.targets.values().filter(|e| serving(e.state)).count() + ejected;
        let panic = ejected as f64 > proved as f64 * EJECTED_MAX;
        self.targets
            .values()
            .filter(move |e| serving(e.state) || (panic && e.state == TargetState::Ejected))
    }

    /// True if one more foreign request leaves the headroom free.
    fn has_foreign_room(&self, now: Instant) -> bool {
        let slots: u32 = self.usable().map(|e| e.allowed(now)).sum();
        f64::from(self.busy() + 1) <= f64::from(slots) * (1.0 - self.rules.headroom) + 1e-9
    }
}

impl SlotDecision {
    /// The request.
    pub fn ticket(&self) -> u64 {
        match self {
            SlotDecision::Start(slot) => slot.ticket,
            SlotDecision::Refuse(ticket) => *ticket,
        }
    }
}

impl QueuedRequest {
    fn avoids(&self, target: &TargetId) -> bool {
        self.avoid.iter().any(|a| a == target.as_str())
    }
}

impl Entry {
    fn new(now: Instant, known: &OwnedTarget) -> Self {
        Self {
            known: known.clone(),
            state: target_chart().initial(),
            since: now,
            busy: 0,
            failures: 0,
            latency: 0.0,
            report: None,
            cold: false,
        }
    }

    fn apply(&mut self, now: Instant, event: TargetEvent) {
        self.cold |= event == TargetEvent::Died;
        let next = target_chart().next(self.state, event);
        if next != self.state {
            log::info!("target: {} is {next:?}.", self.known.id);
            self.state = next;
            self.since = now;
            self.failures = 0;
        }
    }

    /// Slots that may be used now. A report can only lower them, and at most by half: the own count
    /// outranks it, and a target that reports too much would otherwise be lost to its region.
    fn allowed(&self, now: Instant) -> u32 {
        let slots = match self.state {
            TargetState::Warming => {
                let part = (now - self.since).as_secs_f64() / WARM_UP.as_secs_f64();
                ((f64::from(self.known.slots) * part.min(1.0)) as u32).max(1)
            }
            _ => self.known.slots,
        };
        let fresh = self.report.filter(|r| now < r.at + REPORT_AGE_MAX);
        let trusted = slots.saturating_sub(fresh.map_or(0, |r| r.others));
        trusted.max(slots.div_ceil(2))
    }

    /// Lower is better: the share of slots in use, then latency.
    fn cost(&self, now: Instant) -> f64 {
        f64::from(self.busy) / f64::from(self.allowed(now).max(1)) + self.latency.min(1.0)
    }

    fn finish(&mut self, now: Instant, ended: AttemptResult) {
        self.busy = self.busy.saturating_sub(1);
        match ended {
            AttemptResult::Answered(took) => {
                self.failures = 0;
                let took = took.as_secs_f64();
                self.latency += (took - self.latency) * LATENCY_WEIGHT;
            }
            AttemptResult::Shed | AttemptResult::GivenUp => {}
            AttemptResult::Failed => self.fail(now),
            AttemptResult::Died => self.apply(now, TargetEvent::Died),
        }
    }

    fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.apply(now, TargetEvent::Failing);
        }
    }

    fn probe_ok(&mut self, now: Instant, running: u32) {
        self.failures = 0;
        self.apply(now, TargetEvent::ProbeOk);
        // A target that another VM served until now is warm.
        if !self.cold && now >= self.known.first_seen + WARM_UP {
            self.apply(now, TargetEvent::Warm);
        }
        self.report = Some(Report { at: now, others: running.saturating_sub(self.busy) });
    }
}
