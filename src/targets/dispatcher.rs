//! The dispatcher of one service at an egress VM: gives waiting requests slots at the targets that
//! this entry VM owns.
//!
//! Its methods return the decisions that follow from each event, and the caller delivers them to
//! the waiting requests. It does no I/O itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::model::TargetId;

use super::{Queue, QueuedRequest, Shed, TargetEvent, TargetState, target_chart};

/// Consecutive failures after which a target is ejected.
const FAILURE_LIMIT: u32 = 3;
/// Largest fraction of the targets that may be ejected; beyond it, ejected targets are used, too.
const EJECTED_RATIO_MAX: f64 = 0.5;
/// Time from the first successful probe of a cold target until all its slots may be used.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Time for which a load report is used.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Weight of the newest sample in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;

/// A target that this entry VM owns.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedTarget {
    /// Its id.
    pub id: TargetId,
    /// Its address.
    pub addr: SocketAddr,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// True if it gets no new requests.
    pub leaving: bool,
    /// When this VM first saw it on the platform's list. Its caches count as warm once the warm-up
    /// time has passed since then.
    pub first_seen: Instant,
}

/// Limits from the service's document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchLimits {
    /// Fraction of the slots that requests from other regions never take.
    pub headroom: f64,
    /// Most requests that may wait for a slot.
    pub queue: usize,
}

/// A slot at a target, assigned to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedSlot {
    /// Id of the request.
    pub ticket: u64,
    /// The target.
    pub target: TargetId,
    /// The target's address.
    pub addr: SocketAddr,
}

/// What happens to a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotDecision {
    /// It starts in this slot.
    Start(AssignedSlot),
    /// It gets no slot. The value is its ticket.
    Refuse(u64),
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With a complete response after this time.
    Answered(Duration),
    /// The target refused it, since it was overloaded.
    Shed,
    /// Without a complete response.
    Failed,
    /// The target's process ended.
    Died,
    /// It was cancelled before it ended.
    GivenUp,
}

/// A load report of a target, from a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    received: Instant,
    /// Reported requests beyond those of this VM.
    others: u32,
}

#[derive(Clone, Debug)]
struct TrackedTarget {
    target: OwnedTarget,
    state: TargetState,
    /// When the current state began.
    state_since: Instant,
    /// Requests of this VM that run there. Reports do not change this count.
    busy: u32,
    /// Consecutive failures of requests and probes.
    failures: u32,
    /// Moving average of the latency, in seconds.
    latency: f64,
    report: Option<Report>,
    /// True once its process has ended or restarted under this VM: `first_seen` then no longer says
    /// whether its caches are warm.
    cold: bool,
}

/// The targets of one service at their egress VM.
///
/// No target ever has more requests of this VM than slots, and foreign requests (from other
/// regions) never take the headroom. Since each target has one owner, both hold for whole regions.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    limits: DispatchLimits,
    targets: BTreeMap<TargetId, TrackedTarget>,
    queue: Queue,
}

impl Dispatcher {
    /// A dispatcher without targets.
    pub fn new(limits: DispatchLimits) -> Self {
        Self { limits, targets: BTreeMap::new(), queue: Queue::default() }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: DispatchLimits) {
        self.limits = limits;
    }

    /// Sets the owned targets. A target that is no longer owned is kept until its requests have
    /// ended. Returns true if there are new targets.
    pub fn sync(&mut self, now: Instant, owned: &[OwnedTarget]) -> bool {
        let before = self.targets.len();
        for tracked in self.targets.values_mut() {
            if !owned.iter().any(|o| o.id == tracked.target.id) {
                tracked.apply(now, TargetEvent::Leave);
            }
        }
        self.targets.retain(|id, t| t.busy > 0 || owned.iter().any(|o| &o.id == id));
        let kept = self.targets.len().min(before);
        for target in owned {
            let tracked = self
                .targets
                .entry(target.id.clone())
                .or_insert_with(|| TrackedTarget::new(now, target));
            if tracked.target.addr != target.addr {
                tracked.apply(now, TargetEvent::Died);
            }
            tracked.target = target.clone();
            let event = if target.leaving { TargetEvent::Leave } else { TargetEvent::Return };
            tracked.apply(now, event);
        }
        self.targets.len() > kept
    }

    /// The targets with their states and the requests that run there.
    pub fn targets(&self) -> impl Iterator<Item = (&OwnedTarget, TargetState, u32)> {
        self.targets.values().map(|t| (&t.target, t.state, t.busy))
    }

    /// Slots that may be used, requests that run, and requests that wait.
    pub fn load(&self, now: Instant) -> (u32, u32, u32) {
        let slots = self.usable().map(|t| t.usable_slots(now)).sum();
        let busy = self.targets.values().map(|t| t.busy).sum();
        (slots, busy, self.queue.len() as u32)
    }

    /// Number of running requests.
    pub fn busy(&self) -> u32 {
        self.targets.values().map(|t| t.busy).sum()
    }

    /// Queues a request. Its decision is among those returned, now or by a later call.
    pub fn admit(
        &mut self,
        now: Instant,
        request: QueuedRequest,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        let ticket = request.ticket;
        // Without a queue, the request is still queued for this call, so that it can take a free
        // slot; it is refused below if it has to wait.
        let shed = self.queue.push(request, self.limits.queue.max(1));
        let mut decisions = self.decide(now, rng);
        if let Some(Shed(ticket)) = shed {
            decisions.push(SlotDecision::Refuse(ticket));
        }
        let waits = !decisions.iter().any(|d| d.ticket() == ticket);
        if waits && self.limits.queue == 0 {
            self.queue.cancel(ticket);
            decisions.push(SlotDecision::Refuse(ticket));
        }
        decisions
    }

    /// Removes a waiting request that was cancelled.
    pub fn cancel(&mut self, ticket: u64) {
        self.queue.cancel(ticket);
    }

    /// Ends a running request.
    pub fn finish(
        &mut self,
        now: Instant,
        target: &TargetId,
        result: AttemptResult,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.finish(now, result);
        }
        self.decide(now, rng)
    }

    /// Records a probe: the running requests that the target reports, or `None` if the probe
    /// failed.
    pub fn record_probe(
        &mut self,
        now: Instant,
        target: &TargetId,
        running: Option<u32>,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(tracked) = self.targets.get_mut(target) {
            match running {
                Some(running) => tracked.record_probe(now, running),
                None => tracked.record_failure(now),
            }
        }
        self.decide(now, rng)
    }

    /// Records that a target's process has ended: nothing listens at its address.
    pub fn record_crash(
        &mut self,
        now: Instant,
        target: &TargetId,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.apply(now, TargetEvent::Died);
        }
        self.decide(now, rng)
    }

    /// Ends warm-ups and refuses requests whose deadline has passed. To be called regularly.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        for tracked in self.targets.values_mut() {
            if tracked.state == TargetState::Warming && now >= tracked.state_since + WARM_UP_TIME {
                tracked.apply(now, TargetEvent::Warm);
            }
        }
        self.decide(now, rng)
    }

    /// Starts and refuses waiting requests as far as that is possible now.
    fn decide(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        let mut decisions: Vec<SlotDecision> =
            self.queue.expire(now).into_iter().map(|Shed(t)| SlotDecision::Refuse(t)).collect();
        while let Some(slot) = self.start_next(now, rng) {
            decisions.push(SlotDecision::Start(slot));
        }
        decisions
    }

    fn start_next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<AssignedSlot> {
        if self.queue.is_empty() {
            return None;
        }
        let foreign = self.has_foreign_slot(now);
        let free: Vec<(TargetId, f64)> = self
            .usable()
            .filter(|t| t.busy < t.usable_slots(now))
            .map(|t| (t.target.id.clone(), t.cost(now)))
            .collect();
        let fits =
            |r: &QueuedRequest| (foreign || !r.foreign) && free.iter().any(|(id, _)| !r.avoids(id));
        let request = self.queue.pop(fits)?;
        let choices: Vec<&(TargetId, f64)> =
            free.iter().filter(|(id, _)| !request.avoids(id)).collect();
        // The cheaper of two random targets.
        let a = choices[rng.random_range(0..choices.len())];
        let b = choices[rng.random_range(0..choices.len())];
        let target = if b.1 < a.1 { &b.0 } else { &a.0 };
        let tracked = self.targets.get_mut(target)?;
        tracked.busy += 1;
        Some(AssignedSlot {
            ticket: request.ticket,
            target: target.clone(),
            addr: tracked.target.addr,
        })
    }

    /// Targets that may get requests. If too many are ejected, the ejected ones are included, since
    /// the cause is then more likely outside the targets.
    fn usable(&self) -> impl Iterator<Item = &TrackedTarget> {
        let serving = |s: TargetState| matches!(s, TargetState::Warming | TargetState::Serving);
        let ejected = self.targets.values().filter(|t| t.state == TargetState::Ejected).count();
        let probed = self.targets.values().filter(|t| serving(t.state)).count() + ejected;
        let use_ejected = ejected as f64 > probed as f64 * EJECTED_RATIO_MAX;
        self.targets
            .values()
            .filter(move |t| serving(t.state) || (use_ejected && t.state == TargetState::Ejected))
    }

    /// True if one more request from another region leaves the headroom free.
    fn has_foreign_slot(&self, now: Instant) -> bool {
        let slots: u32 = self.usable().map(|t| t.usable_slots(now)).sum();
        // The small addend keeps rounding errors of the product from costing a whole slot.
        f64::from(self.busy() + 1) <= f64::from(slots) * (1.0 - self.limits.headroom) + 1e-9
    }
}

impl SlotDecision {
    /// Id of the request.
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

impl TrackedTarget {
    fn new(now: Instant, target: &OwnedTarget) -> Self {
        Self {
            target: target.clone(),
            state: target_chart().initial(),
            state_since: now,
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
            log::info!("target: {} is {next:?}.", self.target.id);
            self.state = next;
            self.state_since = now;
            self.failures = 0;
        }
    }

    /// Slots that may be used now. This VM's own count takes precedence over a load report: the
    /// report lowers the slots at most by half, since a target that reports too high a load would
    /// otherwise get no requests at all.
    fn usable_slots(&self, now: Instant) -> u32 {
        let slots = match self.state {
            TargetState::Warming => {
                let fraction = (now - self.state_since).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
                ((f64::from(self.target.slots) * fraction.min(1.0)) as u32).max(1)
            }
            _ => self.target.slots,
        };
        let fresh = self.report.filter(|r| now < r.received + REPORT_TTL);
        let free_of_others = slots.saturating_sub(fresh.map_or(0, |r| r.others));
        free_of_others.max(slots.div_ceil(2))
    }

    /// The cost of one more request; lower is better. It is the fraction of slots in use plus the
    /// average latency in seconds, of which at most 1 counts.
    fn cost(&self, now: Instant) -> f64 {
        f64::from(self.busy) / f64::from(self.usable_slots(now).max(1)) + self.latency.min(1.0)
    }

    fn finish(&mut self, now: Instant, result: AttemptResult) {
        self.busy = self.busy.saturating_sub(1);
        match result {
            AttemptResult::Answered(latency) => {
                self.failures = 0;
                let latency = latency.as_secs_f64();
                self.latency += (latency - self.latency) * LATENCY_GAIN;
            }
            AttemptResult::Shed | AttemptResult::GivenUp => {}
            AttemptResult::Failed => self.record_failure(now),
            AttemptResult::Died => self.apply(now, TargetEvent::Died),
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.apply(now, TargetEvent::Failing);
        }
    }

    fn record_probe(&mut self, now: Instant, running: u32) {
        self.failures = 0;
        self.apply(now, TargetEvent::ProbeOk);
        // A target that has been on the platform's list for longer than the warm-up time was warmed
        // by its previous owner, unless its process has ended since.
        if !self.cold && now >= self.target.first_seen + WARM_UP_TIME {
            self.apply(now, TargetEvent::Warm);
        }
        self.report = Some(Report { received: now, others: running.saturating_sub(self.busy) });
    }
}
