//! The answering end of sessions: accepts connections, and passes calls and notifications to a
//! [`PeerHandler`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};

use super::handshake::{Framing, answer};
use super::{Body, Envelope, Identity, Secret, codec};

/// Longest time for the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most responses that wait to be written.
const QUEUE_FRAMES_MAX: usize = 4_096;
/// Pause after a failed accept, so that a lasting error causes no busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Handles the messages of peers.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a call and returns its response. The future is dropped if the peer cancels the call or
    /// the session ends.
    async fn call(&self, from: &Identity, body: Body) -> Body;

    /// Handles a message that has no response.
    fn notify(&self, from: &Identity, body: Body);

    /// Called when the process `from` has opened a session.
    fn session_opened(&self, from: &Identity);
}

/// Accepts sessions until it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    /// The address that it listens at.
    pub addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl PeerServer {
    /// Starts accepting sessions on `listener`.
    ///
    /// # Errors
    /// Fails if the local address of the listener can't be read.
    pub fn start(
        listener: TcpListener,
        me: Identity,
        secret: Secret,
        handler: Arc<dyn PeerHandler>,
    ) -> std::io::Result<Self> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_loop(listener, me, secret, handler, stopped));
        Ok(Self { addr, stop, task })
    }

    /// Ends all sessions: accepts no further session or call, lets the running calls end, writes their
    /// responses, and waits until the peers have read them. Takes at most `timeout`, then drops the rest.
    pub async fn shutdown(mut self, timeout: Duration) {
        self.stop.send_replace(true);
        if tokio::time::timeout(timeout, &mut self.task).await.is_err() {
            log::debug!("peer: Sessions were still open after {} ms.", timeout.as_millis());
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(
    listener: TcpListener,
    me: Identity,
    secret: Secret,
    handler: Arc<dyn PeerHandler>,
    mut stop: watch::Receiver<bool>,
) {
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (me, secret, handler) = (me.clone(), secret.clone(), handler.clone());
        let stop = stop.clone();
        sessions.spawn(async move {
            if let Err(e) = run_session(stream, &me, &secret, handler, stop).await {
                log::debug!("peer: Session from {from} failed: {e:#}.");
            }
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

async fn run_session(
    stream: TcpStream,
    me: &Identity,
    secret: &Secret,
    handler: Arc<dyn PeerHandler>,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = Framing::new(stream, codec());
    let handshake = answer(&mut frames, me, secret);
    let peer = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    handler.session_opened(&peer);
    let (mut sink, mut stream) = frames.split();
    let (responses, queue) = mpsc::channel::<Envelope>(QUEUE_FRAMES_MAX);
    let mut calls =
        Calls { handler, peer, responses, running: Arc::default(), tasks: JoinSet::new() };
    {
        let write = write_responses(&mut sink, queue);
        tokio::pin!(write);
        tokio::select! {
            () = &mut write => return Ok(()),
            () = calls.read(&mut stream) => return Ok(()),
            _ = stop.wait_for(|stopped| *stopped) => {}
        }
        tokio::join!(calls.finish(), &mut write);
    }
    // Closes the sending side only. A socket that is closed with unread frames destroys responses that
    // the peer has not read yet.
    sink.close().await?;
    while let Some(Ok(_)) = stream.next().await {}
    Ok(())
}

/// Writes responses until every sender of the queue is dropped or the session fails.
async fn write_responses(
    sink: &mut SplitSink<Framing<TcpStream>, Bytes>,
    mut queue: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = queue.recv().await {
        if sink.send(Bytes::from(envelope.encode_to_vec())).await.is_err() {
            break;
        }
    }
}

/// The calls of one session.
struct Calls {
    handler: Arc<dyn PeerHandler>,
    peer: Identity,
    responses: mpsc::Sender<Envelope>,
    /// Calls in progress, by id.
    running: Arc<Mutex<HashMap<u64, AbortHandle>>>,
    tasks: JoinSet<()>,
}

impl Calls {
    /// Reads messages and starts calls until the session fails.
    async fn read(&mut self, stream: &mut SplitStream<Framing<TcpStream>>) {
        while let Some(Ok(frame)) = stream.next().await {
            let Ok(envelope) = Envelope::decode(frame) else { return };
            while self.tasks.try_join_next().is_some() {}
            match (envelope.id, envelope.body) {
                (_, None) => {}
                (_, Some(Body::Cancel(cancel))) => {
                    let call = self.running.lock().expect("calls lock").remove(&cancel.id);
                    call.iter().for_each(AbortHandle::abort);
                }
                (0, Some(body)) => self.handler.notify(&self.peer, body),
                (id, Some(body)) => self.start(id, body),
            }
        }
    }

    fn start(&mut self, id: u64, body: Body) {
        let (handler, peer) = (self.handler.clone(), self.peer.clone());
        let (responses, running) = (self.responses.clone(), self.running.clone());
        // Locked until the call is in the table: it could otherwise end, and remove its entry, before
        // that is inserted.
        let mut table = self.running.lock().expect("calls lock");
        let call = self.tasks.spawn(async move {
            let body = Some(handler.call(&peer, body).await);
            running.lock().expect("calls lock").remove(&id);
            // Fails if the session has ended, which the caller sees itself.
            let _ = responses.send(Envelope { id, reply: true, body }).await;
        });
        table.insert(id, call);
    }

    /// Waits until all calls have ended, and closes the queue of responses.
    async fn finish(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}
