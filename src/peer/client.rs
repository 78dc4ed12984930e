//! The dialling end of a session: calls, which have a response, and notifications, which have none.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpSocket;
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio::time::error::Elapsed;

use super::arrival::{ArrivalMeter, CountedStream};
use super::handshake::{Framing, dial};
use super::{Body, Cancel, Envelope, Identity, PeerError, Secret, codec};
use crate::model::VmId;

/// Longest time for connecting and the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two tries to open a session. After a session that was up for longer, the next try
/// follows after [`DIAL_PAUSE`].
const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between the end of a session and the next try.
const DIAL_PAUSE: Duration = Duration::from_millis(5);
/// Time after which a call is not waited for any longer because frames go on arriving.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most frames that wait to be written.
const QUEUE_FRAMES_MAX: usize = 4_096;

/// How a client opens its sessions.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// The identity of this process.
    pub me: Identity,
    /// The secret that all entry VMs share.
    pub secret: Secret,
    /// Local address to connect from; none for any.
    pub bind: Option<IpAddr>,
}

/// The state of a client's session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// There is no session. `refusals` counts consecutive refused connections.
    Down { refusals: u32 },
    /// There is a session with this process.
    Up(Identity),
}

/// A client of one peer, which opens a new session whenever the last one has ended.
#[derive(Debug)]
pub struct PeerClient {
    /// The peer.
    pub vm: VmId,
    next_id: AtomicU64,
    shared: Arc<Shared>,
    state: watch::Receiver<SessionState>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Frames to be written in the current session; none while there is no session.
    queue: Mutex<Option<mpsc::Sender<Envelope>>>,
    /// Calls that wait for their response, by id.
    pending: Mutex<HashMap<u64, oneshot::Sender<Body>>>,
    late_responses: AtomicU64,
    /// What the current session has received.
    arrivals: Arc<ArrivalMeter>,
}

impl PeerClient {
    /// Starts a client of `vm` at `addr`. With an empty name it accepts any VM at that address.
    pub fn start(vm: VmId, addr: SocketAddr, dialer: Dialer) -> Self {
        let shared = Arc::new(Shared::default());
        let (sender, state) = watch::channel(SessionState::Down { refusals: 0 });
        let runner =
            SessionRunner { vm: vm.clone(), addr, dialer, shared: shared.clone(), state: sender };
        let task = tokio::spawn(runner.run());
        Self { vm, next_id: AtomicU64::new(1), shared, state, task }
    }

    /// The process at the other end of the session, if there is one.
    pub fn identity(&self) -> Option<Identity> {
        match &*self.state.borrow() {
            SessionState::Up(identity) => Some(identity.clone()),
            SessionState::Down { .. } => None,
        }
    }

    /// The number of consecutive refused connections. A refusal means that the peer's host is up and
    /// no process listens on the port.
    pub fn refusals(&self) -> u32 {
        match &*self.state.borrow() {
            SessionState::Up(_) => 0,
            SessionState::Down { refusals } => *refusals,
        }
    }

    /// The number of responses that arrived after their call had timed out or was cancelled.
    pub fn late_answers(&self) -> u64 {
        self.shared.late_responses.load(Ordering::Relaxed)
    }

    /// Ends the current session, if any. A new one is opened.
    pub fn reset(&self) {
        self.shared.queue.lock().expect("queue lock").take();
    }

    /// Sends a message that has no response. It may be lost.
    pub fn notify(&self, body: Body) {
        let envelope = Envelope { id: 0, reply: false, body: Some(body) };
        let queue = self.shared.queue.lock().expect("queue lock").clone();
        if let Some(queue) = queue {
            // Dropped if the queue is full: the receiver must cope with lost messages anyway.
            let _ = queue.try_send(envelope);
        }
    }

    /// Calls the peer and waits at most `timeout` for its response.
    ///
    /// # Errors
    /// [`PeerError::maybe_sent`] says whether the peer may have received the call.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body, PeerError> {
        self.call_within(body, timeout, timeout).await
    }

    /// As [`Self::call`], but while a frame is arriving, the time starts anew until `transfer` is over.
    async fn call_within(
        &self,
        body: Body,
        timeout: Duration,
        transfer: Duration,
    ) -> Result<Body, PeerError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let queue = self.shared.queue.lock().expect("queue lock").clone();
        let Some(queue) = queue else { return Err(self.error("connect", false, "no session")) };
        self.shared.pending.lock().expect("pending lock").insert(id, sender);
        let mut pending = PendingCall { client: self, id, cancel: true };
        let envelope = Envelope { id, reply: false, body: Some(body) };
        if queue.try_send(envelope).is_err() {
            pending.cancel = false;
            return Err(self.error("queue call", false, "the session is full or closed"));
        }
        // The session ends when the last sender is dropped; a waiting call must not keep it open.
        drop(queue);
        match self.await_response(receiver, timeout, transfer).await {
            Ok(Ok(body)) => {
                pending.cancel = false;
                Ok(body)
            }
            Ok(Err(_)) => {
                pending.cancel = false;
                let error = self.error("await response", true, "the session ended");
                Err(PeerError { session_ended: true, ..error })
            }
            Err(_) => {
                let cause = format!("no response within {} ms", timeout.as_millis());
                Err(self.error("await response", true, &cause))
            }
        }
    }

    /// Waits for a response at most `timeout`. Until `transfer` is over, the time starts anew while a large
    /// frame is arriving, which may be the response or in front of it.
    async fn await_response(
        &self,
        mut receiver: oneshot::Receiver<Body>,
        timeout: Duration,
        transfer: Duration,
    ) -> Result<Result<Body, RecvError>, Elapsed> {
        let end = Instant::now() + transfer;
        loop {
            let received = self.shared.arrivals.received();
            let outcome = tokio::time::timeout(timeout, &mut receiver).await;
            let arriving = Instant::now() < end && self.shared.arrivals.is_arriving(received);
            if outcome.is_ok() || !arriving {
                return outcome;
            }
        }
    }

    /// Calls the peer with a message that it may receive twice. Waits at most `timeout` for a session
    /// and as long for the response, or longer while a frame is arriving. If the session ends meanwhile, repeats the call in the next one:
    /// a lost connection does not mean that the peer has failed.
    ///
    /// # Errors
    /// Fails as [`Self::call`] does, and if the session ends twice.
    pub async fn call_idempotent(&self, body: Body, timeout: Duration) -> Result<Body, PeerError> {
        self.await_session(timeout).await;
        match self.call_within(body.clone(), timeout, TRANSFER_TIMEOUT).await {
            Err(e) if e.session_ended => {
                self.await_session(timeout).await;
                self.call_within(body, timeout, TRANSFER_TIMEOUT).await
            }
            result => result,
        }
    }

    /// Waits at most `timeout` until there is a session or the peer's host refuses one.
    async fn await_session(&self, timeout: Duration) {
        let mut state = self.state.clone();
        let decided = state.wait_for(|s| match s {
            SessionState::Up(_) => true,
            SessionState::Down { refusals } => *refusals > 0,
        });
        // Without a session, the call itself fails and says so.
        let _ = tokio::time::timeout(timeout, decided).await;
    }

    fn error(&self, step: &'static str, maybe_sent: bool, cause: &str) -> PeerError {
        let (peer, cause) = (self.vm.to_string(), cause.to_owned());
        PeerError { step, peer, maybe_sent, session_ended: false, cause }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Removes a call from [`Shared::pending`] when it is dropped. If `cancel` is true, as for a call that
/// has timed out or was dropped by its caller, the peer is told to cancel it.
struct PendingCall<'a> {
    client: &'a PeerClient,
    id: u64,
    cancel: bool,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.client.shared.pending.lock().expect("pending lock").remove(&self.id);
        if self.cancel {
            self.client.notify(Body::Cancel(Cancel { id: self.id }));
        }
    }
}

struct SessionRunner {
    vm: VmId,
    addr: SocketAddr,
    dialer: Dialer,
    shared: Arc<Shared>,
    state: watch::Sender<SessionState>,
}

impl SessionRunner {
    async fn run(self) {
        let mut refusals = 0;
        loop {
            let next_dial = Instant::now() + DIAL_INTERVAL;
            match tokio::time::timeout(DIAL_TIMEOUT, self.connect()).await {
                Ok(Ok((frames, identity))) => {
                    refusals = 0;
                    self.run_session(frames, identity).await;
                }
                Ok(Err(e)) => {
                    refusals = if is_connection_refused(&e) { refusals + 1 } else { 0 };
                    log::debug!("peer: Connecting to {} at {} failed: {e:#}.", self.vm, self.addr);
                }
                Err(_) => refusals = 0,
            }
            self.state.send_replace(SessionState::Down { refusals });
            tokio::time::sleep_until(next_dial.max(Instant::now() + DIAL_PAUSE)).await;
        }
    }

    async fn connect(&self) -> anyhow::Result<(Framing<CountedStream>, Identity)> {
        let socket = match self.addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(ip) = self.dialer.bind {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let stream = CountedStream { stream, meter: self.shared.arrivals.clone() };
        let mut frames = Framing::new(stream, codec());
        let identity = dial(&mut frames, &self.dialer.me, &self.dialer.secret).await?;
        let any_vm = self.vm.as_str().is_empty();
        anyhow::ensure!(
            any_vm || identity.vm == self.vm,
            "{} answered instead of {}",
            identity.vm,
            self.vm
        );
        Ok((frames, identity))
    }

    /// Runs one session until it ends. Calls that are still pending then fail.
    async fn run_session(&self, frames: Framing<CountedStream>, identity: Identity) {
        let (sender, receiver) = mpsc::channel(QUEUE_FRAMES_MAX);
        self.shared.arrivals.begin_session();
        *self.shared.queue.lock().expect("queue lock") = Some(sender);
        self.state.send_replace(SessionState::Up(identity));
        log::info!("peer: Session with {} at {} opened.", self.vm, self.addr);
        let (sink, stream) = frames.split();
        tokio::select! {
            () = write_frames(sink, receiver) => {}
            () = read_frames(stream, &self.shared) => {}
        }
        self.shared.queue.lock().expect("queue lock").take();
        self.shared.pending.lock().expect("pending lock").clear();
        log::info!("peer: Session with {} at {} ended.", self.vm, self.addr);
    }
}

async fn write_frames(
    mut sink: SplitSink<Framing<CountedStream>, Bytes>,
    mut queue: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = queue.recv().await {
        if sink.send(Bytes::from(envelope.encode_to_vec())).await.is_err() {
            return;
        }
    }
}

async fn read_frames(mut stream: SplitStream<Framing<CountedStream>>, shared: &Shared) {
    while let Some(Ok(frame)) = stream.next().await {
        shared.arrivals.record_frame(frame.len());
        let Ok(envelope) = Envelope::decode(frame) else { return };
        let waiter = shared.pending.lock().expect("pending lock").remove(&envelope.id);
        match (waiter, envelope.body) {
            (Some(waiter), Some(body)) => {
                // Fails if the caller gave up in the meantime.
                let _ = waiter.send(body);
            }
            _ => {
                shared.late_responses.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn is_connection_refused(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
}
