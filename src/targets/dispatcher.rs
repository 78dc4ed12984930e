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
use crate::steer::LimitNotice;

use super::notices::{NoticeInForce, NoticeReport, TargetNotices};
use super::tracked::{AttemptResult, OwnedTarget, TrackedTarget};
use super::{ClosedTargets, Outage, Queue, QueuedRequest, Shed, TargetEvent, TargetState};

/// Largest fraction of the targets that may be ejected; beyond it, ejected targets are used, too.
const EJECTED_RATIO_MAX: f64 = 0.5;

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

/// The targets of one service at their egress VM.
///
/// No target ever has more requests of this VM than slots, and foreign requests (from other
/// regions) never take the headroom. Since each target has one owner, both hold for whole regions.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    limits: DispatchLimits,
    targets: BTreeMap<TargetId, TrackedTarget>,
    notices: TargetNotices,
    queue: Queue,
}

impl Dispatcher {
    /// A dispatcher without targets.
    pub fn new(limits: DispatchLimits) -> Self {
        Self {
            limits,
            targets: BTreeMap::new(),
            notices: TargetNotices::default(),
            queue: Queue::default(),
        }
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
                tracked.target.leaving = true;
                tracked.apply(now, TargetEvent::Leave);
            }
        }
        self.notices.forget_old(now, owned);
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
            tracked.apply_words(now, &self.notices);
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

    /// The targets that take no requests by their own word, but not those that leave by the list.
    pub fn closed_targets(&self, now: Instant) -> ClosedTargets {
        let words = self.targets.values().filter(|t| !t.target.leaving);
        let closed = words.filter_map(|t| self.notices.get(&t.target)?.in_force(now));
        closed.map(|n| n.as_closed()).fold(ClosedTargets::default(), ClosedTargets::merge)
    }

    /// The targets that take no requests by their own word.
    pub fn notices(&self, now: Instant) -> impl Iterator<Item = (&TargetId, NoticeInForce)> {
        let tracked = self.targets.values().map(|t| &t.target);
        tracked.filter_map(move |t| Some((&t.id, self.notices.get(t)?.in_force(now)?)))
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
        if result == AttemptResult::Died {
            self.end_incarnation(now, target);
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
        self.end_incarnation(now, target);
        self.decide(now, rng)
    }

    /// Records what a target says of itself in a response that is known to be its own.
    pub fn record_notice(
        &mut self,
        now: Instant,
        report: &NoticeReport<'_>,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        let tracked = self.targets.get_mut(report.target);
        let born_ms = tracked.as_ref().and_then(|t| t.started_ms()).unwrap_or(0);
        self.notices.record(now, report, born_ms, rng.random());
        if let Some(tracked) = tracked {
            tracked.apply_words(now, &self.notices);
        }
        self.decide(now, rng)
    }

    /// Records what a target's response says of the limit of requests per second that it takes.
    pub fn record_limit(
        &mut self,
        now: Instant,
        target: &TargetId,
        notice: LimitNotice,
        rng: &mut impl Rng,
    ) -> Vec<SlotDecision> {
        let changed = self.targets.get_mut(target).is_some_and(|t| t.record_limit(now, notice));
        if changed {
            log::info!("target: {target} says of its limit: {notice:?}.");
        }
        self.decide(now, rng)
    }

    /// Records when a target's process started, as its probe says. The notices of an earlier process
    /// are dropped.
    pub fn record_start(&mut self, now: Instant, target: &TargetId, started_ms: u64) {
        let Some(tracked) = self.targets.get_mut(target) else { return };
        tracked.record_start(now, started_ms);
        self.notices.start_incarnation(&tracked.target, started_ms);
        tracked.apply_words(now, &self.notices);
    }

    /// What a target has said of itself, if that is in force.
    pub fn notice_of(&self, now: Instant, target: &TargetId) -> Option<NoticeInForce> {
        let tracked = self.targets.get(target)?;
        self.notices.get(&tracked.target)?.in_force(now)
    }

    fn end_incarnation(&mut self, now: Instant, target: &TargetId) {
        let Some(tracked) = self.targets.get_mut(target) else { return };
        self.notices.clear(&tracked.target);
        tracked.apply_words(now, &self.notices);
    }

    /// Ends warm-ups and pauses, and refuses requests whose deadline has passed. To be called regularly.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        for tracked in self.targets.values_mut() {
            tracked.end_warm_up(now);
            tracked.apply_words(now, &self.notices);
        }
        self.decide(now, rng)
    }

    /// Starts and refuses waiting requests as far as that is possible now.
    fn decide(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SlotDecision> {
        // What must start before any target takes requests is refused at once.
        let outage = self.outage(now).map_or(Duration::ZERO, |o| o.time_left());
        let limited = self.usable().map(|t| t.limit_wait(now)).min().unwrap_or_default();
        let expired = self.queue.expire(now + outage.max(limited)).into_iter();
        let mut decisions: Vec<SlotDecision> =
            expired.map(|Shed(ticket)| SlotDecision::Refuse(ticket)).collect();
        while let Some(slot) = self.start_next(now, rng) {
            decisions.push(SlotDecision::Start(slot));
        }
        decisions
    }

    fn outage(&self, now: Instant) -> Option<Outage> {
        let count = self.targets.values().filter(|t| !t.target.leaving).count();
        self.closed_targets(now).outage(count)
    }

    fn start_next(&mut self, now: Instant, rng: &mut impl Rng) -> Option<AssignedSlot> {
        if self.queue.is_empty() {
            return None;
        }
        let foreign = self.has_foreign_slot(now);
        let free: Vec<(TargetId, f64)> = self
            .usable()
            .filter(|t| t.busy < t.usable_slots(now) && t.limit_wait(now).is_zero())
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
        tracked.start(now);
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
