//! The egress side: requests for targets that this VM owns.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri};
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::model::{CustomerId, ServiceId, TargetId, VmState};
use crate::net::HttpError;
use crate::peer::{Answer, Forward, Identity, Load, Outcome};
use crate::route::LinkBudget;
use crate::spread::View;
use crate::targets::{Book, Ended, Known, Rules, Slot, Step, Work};
use crate::zone::Roster;

use super::trace::{SpanEnd, SpanId};
use super::{Node, probe, sanitize, small_rng};

/// The targets that this VM owns.
#[derive(Default)]
pub(crate) struct Egress {
    inner: Mutex<Inner>,
    next: AtomicU64,
    /// True if there are targets that were never probed.
    unprobed: AtomicBool,
}

#[derive(Default)]
struct Inner {
    books: BTreeMap<ServiceId, Book>,
    waiting: HashMap<u64, oneshot::Sender<Option<Slot>>>,
    links: BTreeMap<(ServiceId, String), LinkBudget>,
    rng: Option<SmallRng>,
    /// When each target was first seen on the platform's list.
    seen: BTreeMap<TargetId, Instant>,
}

impl Egress {
    /// Gives the books the targets whose slices this VM owns.
    pub(crate) fn follow(&self, now: Instant, me: &Identity, view: &View, slices: &[u16]) {
        let mut inner = self.inner.lock().expect("egress lock");
        inner.see(now, view);
        for (name, service) in &view.services {
            let limits = &service.document.limits;
            let rules = Rules { headroom: limits.headroom, queue: limits.queue as usize };
            let known = inner.owned_targets(now, me, view, name, slices);
            let book = inner.books.entry(name.clone()).or_insert_with(|| Book::new(rules));
            book.set_rules(rules);
            if book.sync(now, &known) {
                self.unprobed.store(true, Ordering::Relaxed);
            }
        }
        for (name, book) in &mut inner.books {
            if !view.services.contains_key(name) {
                book.sync(now, &[]);
            }
        }
    }

    /// The load of each service.
    pub(crate) fn loads(&self, now: Instant) -> Vec<Load> {
        let inner = self.inner.lock().expect("egress lock");
        let load = |(name, book): (&ServiceId, &Book)| {
            let (slots, busy, queued) = book.load(now);
            Load { service: name.to_string(), slots, busy, queued }
        };
        inner.books.iter().map(load).collect()
    }

    /// The services that have had targets here.
    pub(crate) fn services(&self) -> Vec<ServiceId> {
        self.inner.lock().expect("egress lock").books.keys().cloned().collect()
    }

    /// True once after there have been new targets.
    pub(crate) fn take_unprobed(&self) -> bool {
        self.unprobed.swap(false, Ordering::Relaxed)
    }

    /// Requests that run at targets.
    pub(crate) fn busy(&self) -> u32 {
        self.inner.lock().expect("egress lock").books.values().map(Book::busy).sum()
    }

    /// Requests that run at targets outside `slices`.
    pub(crate) fn busy_outside(&self, slices: &[u16]) -> u32 {
        let inner = self.inner.lock().expect("egress lock");
        inner
            .books
            .values()
            .flat_map(Book::targets)
            .filter(|(known, _, _)| !owns(slices, &known.id))
            .map(|(_, _, busy)| busy)
            .sum()
    }

    /// The targets and their states, for status pages.
    pub(crate) fn targets(&self) -> Vec<(ServiceId, Known, String, u32)> {
        let inner = self.inner.lock().expect("egress lock");
        let mut out = Vec::new();
        for (name, book) in &inner.books {
            for (known, state, busy) in book.targets() {
                out.push((name.clone(), known.clone(), format!("{state:?}"), busy));
            }
        }
        out
    }

    /// Acts on a service's book and delivers what follows to the waiting requests.
    pub(crate) fn act(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut Book, &mut SmallRng) -> Vec<Step>,
    ) {
        let mut inner = self.inner.lock().expect("egress lock");
        let Inner { books, waiting, rng, .. } = &mut *inner;
        let rng = rng.get_or_insert_with(small_rng);
        let Some(book) = books.get_mut(service) else { return };
        let mut steps = act(book, rng);
        while !steps.is_empty() {
            let orphans: Vec<Slot> =
                steps.into_iter().filter_map(|step| deliver(waiting, step)).collect();
            let give_up =
                |slot: Slot| book.finish(Instant::now(), &slot.target, Ended::GivenUp, rng);
            steps = orphans.into_iter().flat_map(give_up).collect();
        }
    }

    /// True if this VM's part of the link to `region` has room.
    pub(crate) fn link_is_open(
        &self,
        node: &Node,
        now: Instant,
        service: &ServiceId,
        region: &str,
    ) -> bool {
        self.with_link(node, now, service, region, |link| link.is_open(now))
    }

    /// Counts bytes sent to `region`.
    pub(crate) fn spend_link(
        &self,
        node: &Node,
        now: Instant,
        service: &ServiceId,
        region: &str,
        bytes: u64,
    ) {
        self.with_link(node, now, service, region, |link| {
            link.spend(now, bytes);
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
        let Some(rate) = super::fleet::link_rate(node, service, region) else { return true };
        let mut inner = self.inner.lock().expect("egress lock");
        let link = inner
            .links
            .entry((service.clone(), region.to_owned()))
            .or_insert_with(|| LinkBudget::new(now, rate));
        link.resize(now, rate);
        act(link)
    }
}

/// Runs a request at a target that this VM owns.
pub(crate) async fn run(node: &Node, forward: Forward) -> Answer {
    let start = Instant::now();
    let parent = SpanId::parse(&forward.traceparent);
    let span = parent.as_ref().map_or_else(SpanId::root, SpanId::child);
    let answer = run_in_span(node, &forward, &span, start).await;
    let outcome = format!("{:?} {}", crate::peer::outcome(&answer), answer.cause);
    let parent = parent.map_or_else(String::new, |p| p.span);
    let (request, peer) = (forward.request.as_str(), answer.target.as_str());
    let end = SpanEnd { start, request, peer, outcome: outcome.trim() };
    node.tracer.finish(&span, &parent, "egress", end);
    answer
}

async fn run_in_span(node: &Node, forward: &Forward, span: &SpanId, start: Instant) -> Answer {
    let service = ServiceId::new(&forward.service);
    let foreign = forward.region != node.me.place.region.as_str();
    if foreign && !node.egress.link_is_open(node, start, &service, &forward.region) {
        return failed(Outcome::Busy, "", format!("the link to {} is full", forward.region));
    }
    let until = start + Duration::from_millis(forward.left_ms);
    let Some(mut held) = take_slot(node, forward, &service, until, foreign).await else {
        return failed(Outcome::Busy, "", "no slot in time".to_owned());
    };
    let left = until.saturating_duration_since(Instant::now());
    let answer = send(node, forward, span, &mut held, left).await;
    if foreign {
        let bytes = answer.body.len() as u64;
        node.egress.spend_link(node, Instant::now(), &service, &forward.region, bytes);
    }
    answer
}

/// A slot in use; given back when dropped.
struct Held<'a> {
    node: &'a Node,
    service: ServiceId,
    slot: Slot,
    ended: Ended,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let (target, ended) = (&self.slot.target, self.ended);
        let finish = |b: &mut Book, rng: &mut _| b.finish(Instant::now(), target, ended, rng);
        self.node.egress.act(&self.service, finish);
    }
}

/// Sends a step to the request that waits for it; returns a slot that nobody takes.
fn deliver(waiting: &mut HashMap<u64, oneshot::Sender<Option<Slot>>>, step: Step) -> Option<Slot> {
    let sender = waiting.remove(&step.ticket());
    let slot = match step {
        Step::Start(slot) => Some(slot),
        Step::Refuse(_) => None,
    };
    match sender {
        Some(sender) => sender.send(slot).err().flatten(),
        None => slot,
    }
}

/// A request that waits for a slot. Dropped early, it stops waiting and gives its slot back.
struct Waiter<'a> {
    egress: &'a Egress,
    service: ServiceId,
    ticket: u64,
    receiver: oneshot::Receiver<Option<Slot>>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.egress.inner.lock().expect("egress lock").waiting.remove(&ticket);
        let slot = self.receiver.try_recv().ok().flatten();
        self.egress.act(&self.service, |book, rng| {
            book.cancel(ticket);
            match &slot {
                Some(slot) => book.finish(Instant::now(), &slot.target, Ended::GivenUp, rng),
                None => Vec::new(),
            }
        });
    }
}

async fn take_slot<'a>(
    node: &'a Node,
    forward: &Forward,
    service: &ServiceId,
    until: Instant,
    foreign: bool,
) -> Option<Held<'a>> {
    let egress = &node.egress;
    let now = Instant::now();
    let view = node.view();
    let document = view.services.get(service)?.document.clone();
    let customer = CustomerId::new(&forward.customer);
    let ticket = egress.next.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    egress.inner.lock().expect("egress lock").waiting.insert(ticket, sender);
    let mut waiter = Waiter { egress, service: service.clone(), ticket, receiver };
    let work = Work {
        ticket,
        weight: document.customer(&customer).map_or(1, |c| c.weight),
        customer,
        until: until.min(now + Duration::from_millis(document.limits.queue_ms)),
        foreign,
        avoid: forward.avoid.clone(),
    };
    egress.act(service, |book, rng| book.admit(now, work, rng));
    // The book answers in time; a service that is just being removed has none.
    let answer = tokio::time::timeout_at(until.into(), &mut waiter.receiver).await;
    let slot = answer.ok().and_then(Result::ok).flatten();
    drop(waiter);
    Some(Held { node, service: service.clone(), slot: slot?, ended: Ended::GivenUp })
}

async fn send(
    node: &Node,
    forward: &Forward,
    span: &SpanId,
    held: &mut Held<'_>,
    left: Duration,
) -> Answer {
    let start = Instant::now();
    let target = held.slot.target.to_string();
    let child = span.child();
    let Some(request) = to_request(forward, &held.slot, &child, left) else {
        return failed(Outcome::NotReached, &target, "the request can't be written".to_owned());
    };
    // A connection from the pool may have gone silent; only what can be repeated goes on one.
    let sent = match forward.idempotent {
        true => node.client.send(request, left).await,
        false => node.client.send_unpooled(request, left).await,
    };
    let answer = match sent {
        Ok(response) => {
            let shed = response.headers().contains_key("x-shed");
            held.ended = if shed { Ended::Shed } else { Ended::Answered(start.elapsed()) };
            answered(response, &target)
        }
        Err(e) => {
            held.ended = Ended::Failed;
            failure(node, held, &target, &e).await
        }
    };
    let outcome = format!("{:?}", held.ended);
    let end = SpanEnd { start, request: &forward.request, peer: &target, outcome: &outcome };
    node.tracer.finish(&child, &span.span, "target", end);
    answer
}

async fn failure(node: &Node, held: &mut Held<'_>, target: &str, error: &HttpError) -> Answer {
    let cause = error.to_string();
    if !error.maybe_sent {
        if error.connection_refused {
            held.ended = Ended::Died;
        }
        return failed(Outcome::NotReached, target, cause);
    }
    // A target that died refuses new connections; one that is only slow does not.
    let probe = probe::probe(node, held.slot.addr).await;
    if probe.is_err_and(|e| e.connection_refused) {
        held.ended = Ended::Died;
        return failed(Outcome::Died, target, cause);
    }
    failed(Outcome::Unknown, target, cause)
}

fn to_request(
    forward: &Forward,
    slot: &Slot,
    span: &SpanId,
    left: Duration,
) -> Option<Request<Bytes>> {
    let uri: Uri = format!("http://{}{}", slot.addr, forward.path).parse().ok()?;
    let mut request = Request::new(forward.body.clone());
    *request.method_mut() = forward.method.parse().ok()?;
    *request.uri_mut() = uri;
    *request.headers_mut() = sanitize::to_headers(&forward.headers);
    let own = [
        ("x-request-id", forward.request.clone()),
        ("x-shallot-customer", forward.customer.clone()),
        ("x-shallot-deadline-ms", left.as_millis().to_string()),
        ("traceparent", span.header()),
    ];
    for (name, value) in own {
        request.headers_mut().insert(name, HeaderValue::from_str(&value).ok()?);
    }
    Some(request)
}

fn answered(response: Response<Bytes>, target: &str) -> Answer {
    Answer {
        outcome: Outcome::Answered.into(),
        status: response.status().as_u16().into(),
        headers: sanitize::for_caller(response.headers()),
        body: response.into_body(),
        target: target.to_owned(),
        cause: String::new(),
    }
}

pub(crate) fn failed(outcome: Outcome, target: &str, cause: String) -> Answer {
    Answer { outcome: outcome.into(), target: target.to_owned(), cause, ..Answer::default() }
}

impl Inner {
    /// Learns when targets came on the platform's list, and forgets those that have gone.
    fn see(&mut self, now: Instant, view: &View) {
        let listed = &view.vms.targets;
        self.seen.retain(|id, _| listed.iter().any(|t| &t.id == id));
        for target in listed {
            self.seen.entry(target.id.clone()).or_insert(now);
        }
    }

    fn owned_targets(
        &self,
        now: Instant,
        me: &Identity,
        view: &View,
        service: &ServiceId,
        slices: &[u16],
    ) -> Vec<Known> {
        view.vms
            .targets
            .iter()
            .filter(|t| &t.service == service && t.place.zone == me.place.zone)
            .filter(|t| owns(slices, &t.id))
            .map(|t| Known {
                id: t.id.clone(),
                addr: t.addr,
                slots: t.slots,
                leaving: t.state == VmState::Leaving || view.drains.covers_target(&t.id, &t.place),
                seen: self.seen.get(&t.id).copied().unwrap_or(now),
            })
            .collect()
    }
}

fn owns(slices: &[u16], target: &TargetId) -> bool {
    slices.binary_search(&Roster::slice(target.as_str())).is_ok()
}
