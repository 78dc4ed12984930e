//! The requests of one connection that is read ahead: tracks them, starts those that may start, and hands
//! each to its turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, Response};
use http_body_util::Empty;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::task::AbortOnDropHandle;

use crate::net::progress::{RequestGuard, SharedProgress};
use crate::net::respond::{self, Arrival, RequestExtensions, Respond};
use crate::net::{HeldBytes, HoldKind};

use super::admission::{Admission, OverlapKind, StartDecision};
use super::boundary::{RequestHead, Tracker, TrackerEvent};
use super::budget::AheadBudget;
use super::buffer::ReadBuffer;
use super::later::LaterRequests;

/// What a header may take beside its value, in bytes.
const HEADER_BYTES: usize = 192;
/// What a head may take beside its values, in bytes: it has up to 100 headers.
const HEAD_BYTES_MAX: usize = 100 * HEADER_BYTES;

/// What the handlers of a connection need.
#[derive(Clone)]
pub(crate) struct HandlerContext {
    pub(crate) responder: Arc<dyn Respond>,
    pub(crate) from: SocketAddr,
    pub(crate) progress: SharedProgress,
    /// True once the server asks clients to close their connections.
    pub(crate) closing: Arc<AtomicBool>,
}

/// The task of a handler.
pub(crate) type HandlerTask = AbortOnDropHandle<anyhow::Result<Response<Body>>>;

/// A request that was started ahead of its turn.
struct StartedRequest {
    task: HandlerTask,
    guard: RequestGuard,
    _permit: OwnedSemaphorePermit,
}

/// A request that the tracker has found.
struct KnownRequest {
    head: Box<RequestHead>,
    /// Position of its end on the connection, and when its last byte was read; none while its body is
    /// arriving.
    end: Option<(u64, Duration)>,
    started: Option<StartedRequest>,
    /// Counts its head.
    _held: HeldBytes,
}

/// A request whose turn has come.
pub(crate) struct RequestTurn {
    /// Its arrival is now if that is not known.
    pub(crate) extensions: RequestExtensions,
    /// Its handler's task, if it was started ahead.
    pub(crate) task: Option<HandlerTask>,
    /// Counts it as unanswered.
    pub(crate) guard: (RequestGuard, Option<TurnGuard>),
}

impl RequestTurn {
    /// The turn of a request that came at `now` on a connection that is not read ahead.
    pub(crate) fn alone(now: Duration, guard: RequestGuard) -> Self {
        let extensions =
            RequestExtensions { arrival: Arrival(now), later: LaterRequests::default() };
        Self { extensions, task: None, guard: (guard, None) }
    }
}

/// The request in its turn; dropped when its response has been passed to the connection.
pub(crate) struct TurnGuard {
    session: Session,
    number: u64,
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.session.lock().answered(self.number);
    }
}

/// The shared state of a connection that is read ahead.
#[derive(Clone)]
pub(crate) struct Session(Arc<Mutex<SessionState>>);

/// A session that may have ended.
#[derive(Clone, Debug)]
pub(super) struct WeakSession(Weak<Mutex<SessionState>>);

impl WeakSession {
    /// True if the response to a request behind `number` is ready.
    pub(super) fn is_ready_behind(&self, number: u64) -> bool {
        let session = self.0.upgrade().map(Session);
        session.is_some_and(|session| session.lock().is_ready_behind(number))
    }
}

pub(super) struct SessionState {
    /// The session that owns this state.
    own: WeakSession,
    pub(super) buffer: ReadBuffer,
    tracker: Tracker,
    admission: Admission,
    known: BTreeMap<u64, KnownRequest>,
    context: HandlerContext,
    budget: Arc<AheadBudget>,
    /// True if a bound holds a request back.
    held: bool,
    /// True if there is no room for another head.
    short: bool,
}

impl Session {
    /// A session that holds at most `bytes_max` bytes, also of one head.
    pub(crate) fn new(bytes_max: usize, context: HandlerContext, budget: Arc<AheadBudget>) -> Self {
        let state = |own: &Weak<_>| SessionState {
            own: WeakSession(own.clone()),
            buffer: ReadBuffer::new(bytes_max, budget.bytes.hold(HoldKind::Ahead)),
            tracker: Tracker::new(bytes_max),
            admission: Admission::default(),
            known: BTreeMap::new(),
            context,
            budget,
            held: false,
            short: false,
        };
        Self(Arc::new_cyclic(|own| Mutex::new(state(own))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SessionState> {
        // A guard that is dropped while its connection's task panics must not panic again.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the turn of a request that the server has parsed, at `now`.
    pub(crate) fn begin_turn<B>(&self, request: &Request<B>, now: Duration) -> RequestTurn {
        let mut state = self.lock();
        let (number, arrived, started) = state.begin_turn(request, now);
        let (task, guard) = match started {
            Some(started) => (Some(started.task), started.guard),
            None => (None, state.context.progress.start_request()),
        };
        let later = number.map(|number| state.later(number)).unwrap_or_default();
        let extensions = RequestExtensions { arrival: Arrival(arrived), later };
        let turn = number.map(|number| TurnGuard { session: self.clone(), number });
        RequestTurn { extensions, task, guard: (guard, turn) }
    }

    /// Decides whether the present response closes the connection; `wanted` says that it should. After
    /// the first that should, nothing starts ahead, and the response to the last request that has been
    /// started closes it.
    pub(crate) fn closes(&self, wanted: bool) -> bool {
        let mut state = self.lock();
        if wanted {
            state.admission.close();
        }
        state.admission.is_closing() && state.admission.may_close()
    }
}

impl SessionState {
    /// Follows the bytes that have come by `now`, and starts what may start.
    pub(super) fn advance(&mut self, now: Duration) {
        self.short = !self.has_head_room();
        while !self.short && !self.admission.is_full() && self.track_one(now) {
            self.short = !self.has_head_room();
        }
        if self.context.closing.load(Ordering::Relaxed) {
            self.admission.close();
        }
        self.start_all();
    }

    fn is_ready_behind(&self, number: u64) -> bool {
        let mut later = self.known.range(number + 1..).filter_map(|(_, r)| r.started.as_ref());
        later.any(|started| started.task.is_finished())
    }

    /// Position on the connection up to which the server may read: the end of the first unanswered
    /// request.
    fn limit(&self) -> u64 {
        let first = self.admission.first().and_then(|n| self.known.get(&n));
        first.and_then(|r| r.end).map_or(u64::MAX, |(end, _)| end)
    }

    /// The bytes that the server may read now.
    pub(super) fn available(&self) -> &[u8] {
        self.buffer.available(self.limit())
    }

    /// True if a bound holds back a request or the reading.
    pub(super) fn is_bounded(&self) -> bool {
        self.held || self.short || self.buffer.room(1) == 0
    }

    /// Records that the client has ended the connection. If a handler runs, nobody waits for its
    /// response: what was started ahead is cancelled, and what was read ahead is dropped.
    pub(super) fn client_left(&mut self) {
        self.stop_tracking();
        if self.admission.is_in_turn() {
            self.buffer.truncate(self.limit());
            self.keep_first(1);
        }
    }

    fn stop_tracking(&mut self) {
        self.tracker.stop();
        self.buffer.track_all();
    }

    /// Cancels the requests behind the first `left`.
    fn keep_first(&mut self, left: usize) {
        self.admission.truncate(left);
        let first = self.admission.first();
        self.known.retain(|&number, _| Some(number) == first);
        self.held = false;
    }

    /// True if what comes next may be followed: the rest of a body, the first head, or one more for which
    /// there is room.
    fn has_head_room(&self) -> bool {
        let Some((_, newest)) = self.known.last_key_value() else { return true };
        let held = self.budget.bytes.hold(HoldKind::Ahead);
        newest.end.is_none() || held.has_room(HEAD_BYTES_MAX)
    }

    /// Returns false if more bytes are needed.
    fn track_one(&mut self, now: Duration) -> bool {
        let step = self.tracker.advance(self.buffer.untracked());
        self.buffer.track(step.consumed);
        match step.event {
            Some(TrackerEvent::Head { head, has_body, last }) => {
                self.add(head, has_body, last, now);
            }
            Some(TrackerEvent::End) => self.complete_newest(now),
            Some(TrackerEvent::Stopped) => {}
            None => return step.consumed > 0,
        }
        true
    }

    fn add(&mut self, head: Box<RequestHead>, has_body: bool, last: bool, now: Duration) {
        let may_overlap = !has_body
            && !last
            && self.context.responder.may_overlap(&head.method, &head.uri, &head.headers);
        let kind = if may_overlap { OverlapKind::Overlap } else { OverlapKind::Alone };
        let number = self.admission.add(kind);
        let end = (!has_body).then(|| (self.buffer.tracked_position(), now));
        let mut held = self.budget.bytes.hold(HoldKind::Ahead);
        held.set(head_bytes(&head));
        self.known.insert(number, KnownRequest { head, end, started: None, _held: held });
    }

    fn complete_newest(&mut self, now: Duration) {
        let end = (self.buffer.tracked_position(), now);
        if let Some(mut newest) = self.known.last_entry() {
            newest.get_mut().end.get_or_insert(end);
        }
    }

    fn start_all(&mut self) {
        self.held = false;
        loop {
            match self.admission.next_start() {
                StartDecision::Nothing => return,
                StartDecision::Bound(number) => return self.hold(number),
                StartDecision::Start(number) => {
                    let Some(permit) = self.budget.try_acquire() else {
                        return self.hold(number);
                    };
                    self.start(number, permit);
                }
            }
        }
    }

    fn hold(&mut self, number: u64) {
        self.held = true;
        if self.admission.hold(number) {
            self.budget.held.inc();
        }
    }

    fn later(&self, number: u64) -> LaterRequests {
        LaterRequests::new(self.own.clone(), number)
    }

    fn start(&mut self, number: u64, permit: OwnedSemaphorePermit) {
        self.admission.started(number);
        let later = self.later(number);
        let Some(known) = self.known.get_mut(&number) else { return };
        let Some((_, arrived)) = known.end else { return };
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.method_mut() = known.head.method.clone();
        *request.uri_mut() = known.head.uri.clone();
        *request.headers_mut() = known.head.headers.clone();
        let HandlerContext { responder, from, progress, .. } = &self.context;
        let extensions = RequestExtensions { arrival: Arrival(arrived), later };
        let handler = respond::dispatch(request, *from, responder.clone(), extensions);
        let task = AbortOnDropHandle::new(tokio::spawn(handler));
        let guard = progress.start_request();
        known.started = Some(StartedRequest { task, guard, _permit: permit });
        self.budget.started.inc();
    }

    /// Returns the number of the request if the tracker knows it, when it arrived, and what has been
    /// started for it. If the tracker has read another request, everything is cancelled.
    fn begin_turn<B>(
        &mut self,
        request: &Request<B>,
        now: Duration,
    ) -> (Option<u64>, Duration, Option<StartedRequest>) {
        let untracked = self.tracker.is_stopped() && self.known.is_empty();
        let number = self.admission.begin_turn();
        match number.and_then(|number| self.known.get_mut(&number)) {
            Some(known) if known.head.matches(request) => {
                let arrived = known.end.map_or(now, |(_, arrived)| arrived);
                (number, arrived, known.started.take())
            }
            None if untracked => (None, now, None),
            _ => {
                log::debug!("http: a request was read differently; nothing more starts ahead.");
                self.stop_tracking();
                self.keep_first(0);
                (None, now, None)
            }
        }
    }

    fn answered(&mut self, number: u64) {
        self.admission.answered(number);
        self.known.retain(|&n, _| n > number);
    }
}

/// What a head takes, in bytes.
fn head_bytes(head: &RequestHead) -> usize {
    head.headers.values().map(|value| HEADER_BYTES + value.len()).sum()
}
