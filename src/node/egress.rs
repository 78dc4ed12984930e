//! The egress side: runs requests at the targets that this VM owns. Requests come from this VM's
//! own ingress or from a peer; each waits for a slot, is sent to its target, and is answered with
//! what the target did. Owns the dispatcher of each service and the bandwidth budgets of links.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::model::{CustomerId, ServiceId, TargetId, VmState};
use crate::peer::{Answer, Forward, Identity, Outcome, ServiceLoad};
use crate::route::LinkBudget;
use crate::spread::ConfigView;
use crate::targets::{
    AssignedSlot, AttemptResult, ClosedTargets, DispatchLimits, Dispatcher, OwnedTarget,
    QueuedRequest, SlotDecision,
};
use crate::zone::Roster;

use super::forwarded::stopping_answer;
use super::status::TargetStatus;
use super::target_call::{failed_answer, send};
use super::trace::{SpanContext, SpanEnd};
use super::{Node, small_rng};

/// Most targets that an answer names as passed over.
const PASSED_OVER_MAX: usize = 8;

/// The targets that this VM owns, with the requests that wait for their slots.
#[derive(Default)]
pub(crate) struct Egress {
    inner: Mutex<Inner>,
    next_ticket: AtomicU64,
    /// True if there are new targets, which have not been probed yet.
    unprobed: AtomicBool,
}

#[derive(Default)]
struct Inner {
    dispatchers: BTreeMap<ServiceId, Dispatcher>,
    /// The requests that wait for a slot, by ticket.
    waiting: HashMap<u64, oneshot::Sender<Option<AssignedSlot>>>,
    /// This VM's bandwidth for each link, by service and region at the other end.
    links: BTreeMap<(ServiceId, String), LinkBudget>,
    rng: Option<SmallRng>,
    /// When each target was first seen on the platform's list.
    first_seen: BTreeMap<TargetId, Instant>,
}

impl Egress {
    /// Passes the targets whose slices this VM owns to the dispatchers. A service that is no longer
    /// configured keeps its dispatcher without targets, so that running requests can end.
    pub(crate) fn update_targets(
        &self,
        now: Instant,
        me: &Identity,
        view: &ConfigView,
        slices: &[u16],
    ) {
        let mut inner = self.inner.lock().expect("egress lock");
        inner.track_listed(now, view);
        for (name, service) in &view.services {
            let limits = &service.document.limits;
            let dispatch_limits =
                DispatchLimits { headroom: limits.headroom, queue: limits.queue as usize };
            let owned = inner.owned_targets(now, me, view, name, slices);
            let dispatcher = inner
                .dispatchers
                .entry(name.clone())
                .or_insert_with(|| Dispatcher::new(dispatch_limits));
            dispatcher.set_limits(dispatch_limits);
            if dispatcher.sync(now, &owned) {
                self.unprobed.store(true, Ordering::Relaxed);
            }
        }
        for (name, dispatcher) in &mut inner.dispatchers {
            if !view.services.contains_key(name) {
                dispatcher.sync(now, &[]);
            }
        }
    }

    /// The load of each service's targets here.
    pub(crate) fn loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let inner = self.inner.lock().expect("egress lock");
        let load = |(name, dispatcher): (&ServiceId, &Dispatcher)| {
            let (slots, busy, queued) = dispatcher.load(now);
            let ClosedTargets { leaving, paused, pause_left } = dispatcher.closed_targets(now);
            let pause_left_ms = pause_left.map_or(0, |left| left.as_millis() as u64);
            let service = name.to_string();
            ServiceLoad { service, slots, busy, queued, leaving, paused, pause_left_ms }
        };
        inner.dispatchers.iter().map(load).collect()
    }

    /// The targets of a service here that take no requests by their own word.
    pub(crate) fn closed_targets(&self, now: Instant, service: &ServiceId) -> ClosedTargets {
        let inner = self.inner.lock().expect("egress lock");
        inner.dispatchers.get(service).map(|d| d.closed_targets(now)).unwrap_or_default()
    }

    /// The same targets by name, each with what it has said.
    fn passed_over(&self, now: Instant, service: &ServiceId) -> String {
        let inner = self.inner.lock().expect("egress lock");
        let Some(dispatcher) = inner.dispatchers.get(service) else { return String::new() };
        let named = dispatcher.notices(now).take(PASSED_OVER_MAX);
        let named: Vec<String> = named.map(|(id, notice)| format!("{id} {notice}")).collect();
        named.join("; ")
    }

    /// The services that have or had targets here.
    pub(crate) fn services(&self) -> Vec<ServiceId> {
        self.inner.lock().expect("egress lock").dispatchers.keys().cloned().collect()
    }

    /// True if targets have been added since the last call.
    pub(crate) fn take_unprobed(&self) -> bool {
        self.unprobed.swap(false, Ordering::Relaxed)
    }

    /// Number of requests that run at targets.
    pub(crate) fn busy(&self) -> u32 {
        self.inner.lock().expect("egress lock").dispatchers.values().map(Dispatcher::busy).sum()
    }

    /// Number of requests that run at targets outside `slices`.
    pub(crate) fn busy_outside(&self, slices: &[u16]) -> u32 {
        let inner = self.inner.lock().expect("egress lock");
        inner
            .dispatchers
            .values()
            .flat_map(Dispatcher::targets)
            .filter(|(owned, _, _)| !owns_slice(slices, &owned.id))
            .map(|(_, _, busy)| busy)
            .sum()
    }

    /// The targets of all services.
    pub(crate) fn targets(&self, now: Instant) -> Vec<TargetStatus> {
        let inner = self.inner.lock().expect("egress lock");
        let mut out = Vec::new();
        for (service, dispatcher) in &inner.dispatchers {
            for (target, state, busy) in dispatcher.targets() {
                let (service, target) = (service.clone(), target.clone());
                let notice = dispatcher.notice_of(now, &target.id);
                out.push(TargetStatus { service, target, state, busy, notice });
            }
        }
        out
    }

    /// Updates a service's dispatcher and delivers the slots it assigns to the waiting requests.
    /// A slot whose request no longer waits goes back to the dispatcher.
    pub(crate) fn with_dispatcher(
        &self,
        service: &ServiceId,
        update: impl FnOnce(&mut Dispatcher, &mut SmallRng) -> Vec<SlotDecision>,
    ) {
        let mut inner = self.inner.lock().expect("egress lock");
        let Inner { dispatchers, waiting, rng, .. } = &mut *inner;
        let rng = rng.get_or_insert_with(small_rng);
        let Some(dispatcher) = dispatchers.get_mut(service) else { return };
        let mut decisions = update(dispatcher, rng);
        while !decisions.is_empty() {
            let returned: Vec<AssignedSlot> =
                decisions.into_iter().filter_map(|decision| deliver(waiting, decision)).collect();
            let return_slot = |slot: AssignedSlot| {
                dispatcher.finish(Instant::now(), &slot.target, AttemptResult::GivenUp, rng)
            };
            decisions = returned.into_iter().flat_map(return_slot).collect();
        }
    }

    /// Refuses all requests that wait for a slot.
    pub(crate) fn refuse_waiting(&self) {
        let waiting = std::mem::take(&mut self.inner.lock().expect("egress lock").waiting);
        waiting.into_values().for_each(|sender| drop(sender.send(None)));
    }

    /// True if this VM's bandwidth to `region` is not used up.
    pub(crate) fn link_is_open(
        &self,
        node: &Node,
        now: Instant,
        service: &ServiceId,
        region: &str,
    ) -> bool {
        self.with_link(node, now, service, region, |link| link.is_open(now))
    }

    /// Counts bytes that were sent to `region`.
    pub(crate) fn spend_link(
        &self,
        node: &Node,
        now: Instant,
        service: &ServiceId,
        region: &str,
        bytes: u64,
    ) {
        self.with_link(node, now, service, region, |link| {
            link.debit(now, bytes);
            true
        });
    }

    fn with_link(
        &self,
        node: &Node,
        now: Instant,
        service: &ServiceId,
        region: &str,
        act: impl FnOnce(&mut LinkBudget) -> bool,
    ) -> bool {
        let Some(rate) = super::membership::link_rate(node, service, region) else { return true };
        let mut inner = self.inner.lock().expect("egress lock");
        let link = inner
            .links
            .entry((service.clone(), region.to_owned()))
            .or_insert_with(|| LinkBudget::new(now, rate));
        link.set_rate(now, rate);
        act(link)
    }
}

/// Runs a request at a target that this VM owns, within a span of its own.
pub(crate) async fn run(node: &Node, forward: Forward) -> Answer {
    let start = Instant::now();
    let parent = SpanContext::parse(&forward.traceparent);
    let span = parent.as_ref().map_or_else(SpanContext::root, SpanContext::child);
    let mut answer = run_in_span(node, &forward, &span, start).await;
    answer.passed_over = node.egress.passed_over(Instant::now(), &ServiceId::new(&forward.service));
    let outcome = format!("{:?} {}", crate::peer::decode_outcome(&answer), answer.cause);
    let parent = parent.map_or_else(String::new, |p| p.span);
    let (request, peer) = (forward.request.as_str(), answer.target.as_str());
    let end = SpanEnd { start, request, peer, outcome: outcome.trim() };
    node.tracer.finish(&span, &parent, "egress", end);
    answer
}

async fn run_in_span(node: &Node, forward: &Forward, span: &SpanContext, start: Instant) -> Answer {
    let service = ServiceId::new(&forward.service);
    let foreign = forward.region != node.me.place.region.as_str();
    if foreign && !node.egress.link_is_open(node, start, &service, &forward.region) {
        let cause = format!("the link to region {} is full", forward.region);
        return failed_answer(Outcome::Busy, "", cause);
    }
    let deadline = start + Duration::from_millis(forward.left_ms);
    let Some(mut held) = take_slot(node, forward, &service, deadline, foreign).await else {
        return failed_answer(Outcome::Busy, "", "no slot became free in time".to_owned());
    };
    let left = deadline.saturating_duration_since(Instant::now());
    // A stop may have begun while the request waited.
    if !node.lifecycle.accepts(left) {
        return stopping_answer();
    }
    let answer = send(node, forward, span, &mut held, left).await;
    if foreign {
        let bytes = answer.body.len() as u64;
        node.egress.spend_link(node, Instant::now(), &service, &forward.region, bytes);
    }
    answer
}

/// A slot in use. It goes back to its dispatcher when dropped.
pub(super) struct HeldSlot<'a> {
    node: &'a Node,
    pub(super) service: ServiceId,
    pub(super) slot: AssignedSlot,
    /// How the attempt has ended.
    pub(super) result: AttemptResult,
}

impl Drop for HeldSlot<'_> {
    fn drop(&mut self) {
        let (target, result) = (&self.slot.target, self.result);
        let finish = |dispatcher: &mut Dispatcher, rng: &mut _| {
            dispatcher.finish(Instant::now(), target, result, rng)
        };
        self.node.egress.with_dispatcher(&self.service, finish);
    }
}

/// Sends a decision to the request that waits for it. Returns the slot if the request is gone.
fn deliver(
    waiting: &mut HashMap<u64, oneshot::Sender<Option<AssignedSlot>>>,
    decision: SlotDecision,
) -> Option<AssignedSlot> {
    let sender = waiting.remove(&decision.ticket());
    let slot = match decision {
        SlotDecision::Start(slot) => Some(slot),
        SlotDecision::Refuse(_) => None,
    };
    match sender {
        Some(sender) => sender.send(slot).err().flatten(),
        None => slot,
    }
}

/// A request that waits for a slot. When dropped early, it leaves the queue, and a slot that was
/// just assigned goes back.
struct SlotWaiter<'a> {
    egress: &'a Egress,
    service: ServiceId,
    ticket: u64,
    receiver: oneshot::Receiver<Option<AssignedSlot>>,
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.egress.inner.lock().expect("egress lock").waiting.remove(&ticket);
        let slot = self.receiver.try_recv().ok().flatten();
        self.egress.with_dispatcher(&self.service, |dispatcher, rng| {
            dispatcher.cancel(ticket);
            match &slot {
                Some(slot) => {
                    dispatcher.finish(Instant::now(), &slot.target, AttemptResult::GivenUp, rng)
                }
                None => Vec::new(),
            }
        });
    }
}

/// Queues a request for a slot; none if it is refused or its deadline passes.
async fn take_slot<'a>(
    node: &'a Node,
    forward: &Forward,
    service: &ServiceId,
    deadline: Instant,
    foreign: bool,
) -> Option<HeldSlot<'a>> {
    let egress = &node.egress;
    let now = Instant::now();
    let view = node.view();
    let document = view.services.get(service)?.document.clone();
    let customer = CustomerId::new(&forward.customer);
    let ticket = egress.next_ticket.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    egress.inner.lock().expect("egress lock").waiting.insert(ticket, sender);
    let mut waiter = SlotWaiter { egress, service: service.clone(), ticket, receiver };
    let queued = QueuedRequest {
        ticket,
        weight: document.customer(&customer).map_or(1, |c| c.weight),
        customer,
        deadline: deadline.min(now + Duration::from_millis(document.limits.queue_ms)),
        foreign,
        avoid: forward.avoid.clone(),
    };
    egress.with_dispatcher(service, |dispatcher, rng| dispatcher.admit(now, queued, rng));
    // The dispatcher decides before the deadline. The timeout is for a service that was just added
    // and has no dispatcher yet.
    let assigned = tokio::time::timeout_at(deadline.into(), &mut waiter.receiver).await;
    let slot = assigned.ok().and_then(Result::ok).flatten();
    drop(waiter);
    Some(HeldSlot { node, service: service.clone(), slot: slot?, result: AttemptResult::GivenUp })
}

impl Inner {
    /// Records when each target first was on the platform's list, and drops those that left it.
    fn track_listed(&mut self, now: Instant, view: &ConfigView) {
        let listed = &view.vms.targets;
        self.first_seen.retain(|id, _| listed.iter().any(|t| &t.id == id));
        for target in listed {
            self.first_seen.entry(target.id.clone()).or_insert(now);
        }
    }

    fn owned_targets(
        &self,
        now: Instant,
        me: &Identity,
        view: &ConfigView,
        service: &ServiceId,
        slices: &[u16],
    ) -> Vec<OwnedTarget> {
        view.vms
            .targets
            .iter()
            .filter(|t| &t.service == service && t.place.zone == me.place.zone)
            .filter(|t| owns_slice(slices, &t.id))
            .map(|t| OwnedTarget {
                id: t.id.clone(),
                addr: t.addr,
                slots: t.slots,
                leaving: t.state == VmState::Leaving || view.drains.covers_target(&t.id, &t.place),
                first_seen: self.first_seen.get(&t.id).copied().unwrap_or(now),
            })
            .collect()
    }
}

fn owns_slice(slices: &[u16], target: &TargetId) -> bool {
    slices.binary_search(&Roster::slice(target.as_str())).is_ok()
}
