//! The dialling end of a session: calls with answers, and notes without.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use super::handshake::{Framing, dial};
use super::{Body, Cancel, Envelope, Identity, PeerError, Secret, codec};
use crate::model::VmId;

/// Longest time to connect and shake hands.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between tries to connect.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// Frames that may wait to be written.
const QUEUE_FRAMES: usize = 4_096;

/// How the client reaches its peer.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// This end.
    pub me: Identity,
    /// The shared secret.
    pub secret: Secret,
    /// Local address of the connection.
    pub bind: Option<IpAddr>,
}

/// State of a session as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    /// Not connected. `refused` counts refusals of the port in a row.
    Down { refused: u32 },
    /// Connected to this process.
    Up(Identity),
}

/// A client of one peer; connects again by itself.
#[derive(Debug)]
pub struct PeerClient {
    /// The peer.
    pub vm: VmId,
    next: AtomicU64,
    shared: Arc<Shared>,
    link: watch::Receiver<Link>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Queue of the present session; none while there is no session.
    queue: Mutex<Option<mpsc::Sender<Envelope>>>,
    pending: Mutex<HashMap<u64, oneshot::Sender<Body>>>,
    late: AtomicU64,
}

impl PeerClient {
    /// Starts a client of `vm` at `addr`. An empty name stands for whoever listens there.
    pub fn start(vm: VmId, addr: SocketAddr, dialer: Dialer) -> Self {
        let shared = Arc::new(Shared::default());
        let (up, link) = watch::channel(Link::Down { refused: 0 });
        let runner = Runner { vm: vm.clone(), addr, dialer, shared: shared.clone(), up };
        let task = tokio::spawn(runner.run());
        Self { vm, next: AtomicU64::new(1), shared, link, task }
    }

    /// The process at the other end, while connected.
    pub fn identity(&self) -> Option<Identity> {
        match &*self.link.borrow() {
            Link::Up(identity) => Some(identity.clone()),
            Link::Down { .. } => None,
        }
    }

    /// Refusals of the peer's port in a row: its host answers, and no process listens.
    pub fn refusals(&self) -> u32 {
        match &*self.link.borrow() {
            Link::Up(_) => 0,
            Link::Down { refused } => *refused,
        }
    }

    /// Answers that came after their call was given up.
    pub fn late_answers(&self) -> u64 {
        self.shared.late.load(Ordering::Relaxed)
    }

    /// Ends the present session, if any; a new one is opened.
    pub fn reset(&self) {
        self.shared.queue.lock().expect("queue lock").take();
    }

    /// Sends a message that has no answer; it may be lost.
    pub fn notify(&self, body: Body) {
        let envelope = Envelope { id: 0, reply: false, body: Some(body) };
        let queue = self.shared.queue.lock().expect("queue lock").clone();
        if let Some(queue) = queue {
            // A full queue loses notes, as the network may.
            let _ = queue.try_send(envelope);
        }
    }

    /// Calls the peer and waits at most `timeout` for its answer.
    ///
    /// # Errors
    /// [`PeerError::maybe_sent`] says whether the peer can have seen the call.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body, PeerError> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let queue = self.shared.queue.lock().expect("queue lock").clone();
        let Some(queue) = queue else { return Err(self.error("connect", false, "no session")) };
        self.shared.pending.lock().expect("pending lock").insert(id, sender);
        let mut guard = PendingCall { client: self, id, live: true };
        let envelope = Envelope { id, reply: false, body: Some(body) };
        if queue.try_send(envelope).is_err() {
            guard.live = false;
            return Err(self.error("queue call", false, "the session is full or closed"));
        }
        // The session ends when its last sender goes; a waiting call must not keep it open.
        drop(queue);
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(body)) => {
                guard.live = false;
                Ok(body)
            }
            Ok(Err(_)) => {
                guard.live = false;
                Err(self.error("await answer", true, "the session ended"))
            }
            Err(_) => {
                let cause = format!("none within {} ms", timeout.as_millis());
                Err(self.error("await answer", true, &cause))
            }
        }
    }

    fn error(&self, step: &'static str, sent: bool, cause: &str) -> PeerError {
        PeerError { step, peer: self.vm.to_string(), maybe_sent: sent, cause: cause.to_owned() }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forgets a call and tells the peer when its caller has given it up.
struct PendingCall<'a> {
    client: &'a PeerClient,
    id: u64,
    live: bool,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.client.shared.pending.lock().expect("pending lock").remove(&self.id);
        if self.live {
            self.client.notify(Body::Cancel(Cancel { id: self.id }));
        }
    }
}

struct Runner {
    vm: VmId,
    addr: SocketAddr,
    dialer: Dialer,
    shared: Arc<Shared>,
    up: watch::Sender<Link>,
}

impl Runner {
    async fn run(self) {
        let mut refused = 0;
        loop {
            match tokio::time::timeout(DIAL_TIMEOUT, self.open()).await {
                Ok(Ok((frames, identity))) => {
                    refused = 0;
                    self.serve(frames, identity).await;
                }
                Ok(Err(e)) => {
                    refused = if is_refused(&e) { refused + 1 } else { 0 };
                    log::debug!("peer: {} is not reached: {e:#}.", self.vm);
                }
                Err(_) => refused = 0,
            }
            self.up.send_replace(Link::Down { refused });
            tokio::time::sleep(DIAL_PAUSE).await;
        }
    }

    async fn open(&self) -> anyhow::Result<(Framing<TcpStream>, Identity)> {
        let socket = match self.addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(ip) = self.dialer.bind {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let mut frames = Framing::new(stream, codec());
        let identity = dial(&mut frames, &self.dialer.me, &self.dialer.secret).await?;
        let anyone = self.vm.as_str().is_empty();
        anyhow::ensure!(
            anyone || identity.vm == self.vm,
            "{} answered in place of {}",
            identity.vm,
            self.vm
        );
        Ok((frames, identity))
    }

    /// Runs one session to its end. Every call still pending then fails.
    async fn serve(&self, frames: Framing<TcpStream>, identity: Identity) {
        let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
        *self.shared.queue.lock().expect("queue lock") = Some(sender);
        self.up.send_replace(Link::Up(identity));
        log::info!("peer: Session with {} is open.", self.vm);
        let (sink, stream) = frames.split();
        tokio::select! {
            () = write_frames(sink, receiver) => {}
            () = read_frames(stream, &self.shared) => {}
        }
        self.shared.queue.lock().expect("queue lock").take();
        self.shared.pending.lock().expect("pending lock").clear();
        log::info!("peer: Session with {} has ended.", self.vm);
    }
}

async fn write_frames(
    mut sink: SplitSink<Framing<TcpStream>, Bytes>,
    mut queue: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = queue.recv().await {
        if sink.send(Bytes::from(envelope.encode_to_vec())).await.is_err() {
            return;
        }
    }
}

async fn read_frames(mut stream: SplitStream<Framing<TcpStream>>, shared: &Shared) {
    while let Some(Ok(frame)) = stream.next().await {
        let Ok(envelope) = Envelope::decode(frame) else { return };
        let waiter = shared.pending.lock().expect("pending lock").remove(&envelope.id);
        match (waiter, envelope.body) {
            (Some(waiter), Some(body)) => {
                // The caller may have given up just now.
                let _ = waiter.send(body);
            }
            _ => {
                shared.late.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn is_refused(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
}
