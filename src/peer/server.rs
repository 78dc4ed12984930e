//! The answering end of sessions: accepts connections, and passes calls and notifications to a
//! [`PeerHandler`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
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
        let task = tokio::spawn(accept_loop(listener, me, secret, handler));
        Ok(Self { addr, task })
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
) {
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (me, secret, handler) = (me.clone(), secret.clone(), handler.clone());
        sessions.spawn(async move {
            if let Err(e) = run_session(stream, &me, &secret, handler).await {
                log::debug!("peer: Session from {from} failed: {e:#}.");
            }
        });
    }
}

async fn run_session(
    stream: TcpStream,
    me: &Identity,
    secret: &Secret,
    handler: Arc<dyn PeerHandler>,
) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = Framing::new(stream, codec());
    let handshake = answer(&mut frames, me, secret);
    let peer = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    handler.session_opened(&peer);
    let (mut sink, mut stream) = frames.split();
    let (responses, mut queue) = mpsc::channel::<Envelope>(QUEUE_FRAMES_MAX);
    let running = Arc::new(Mutex::new(HashMap::<u64, AbortHandle>::new()));
    let mut calls = JoinSet::new();
    let write = async {
        while let Some(envelope) = queue.recv().await {
            if sink.send(Bytes::from(envelope.encode_to_vec())).await.is_err() {
                break;
            }
        }
    };
    let read = async {
        while let Some(Ok(frame)) = stream.next().await {
            let Ok(envelope) = Envelope::decode(frame) else { break };
            while calls.try_join_next().is_some() {}
            match (envelope.id, envelope.body) {
                (_, None) => {}
                (_, Some(Body::Cancel(cancel))) => {
                    let call = running.lock().expect("calls lock").remove(&cancel.id);
                    call.iter().for_each(AbortHandle::abort);
                }
                (0, Some(body)) => handler.notify(&peer, body),
                (id, Some(body)) => {
                    let (handler, peer) = (handler.clone(), peer.clone());
                    let (responses, running_calls) = (responses.clone(), running.clone());
                    // Locked until the call is in the table: it could otherwise end, and remove its entry,
                    // before that is inserted.
                    let mut table = running.lock().expect("calls lock");
                    let call = calls.spawn(async move {
                        let body = Some(handler.call(&peer, body).await);
                        running_calls.lock().expect("calls lock").remove(&id);
                        // Fails if the session has ended, which the caller sees itself.
                        let _ = responses.send(Envelope { id, reply: true, body }).await;
                    });
                    table.insert(id, call);
                }
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    Ok(())
}
