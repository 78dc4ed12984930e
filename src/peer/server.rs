//! The answering end of sessions.

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

/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Answers that may wait to be written.
const QUEUE_FRAMES: usize = 4_096;

/// Handles what peers send.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers a call.
    async fn call(&self, from: &Identity, body: Body) -> Body;

    /// Takes a message that has no answer.
    fn notify(&self, from: &Identity, body: Body);

    /// Learns that the process `from` has opened a session.
    fn session_opened(&self, from: &Identity);
}

/// A listener for sessions.
#[derive(Debug)]
pub struct PeerServer {
    /// Where it listens.
    pub addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl PeerServer {
    /// Starts to answer sessions on `listener`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
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
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (me, secret, handler) = (me.clone(), secret.clone(), handler.clone());
        sessions.spawn(async move {
            if let Err(e) = session(stream, &me, &secret, handler).await {
                log::debug!("peer: session from {from} ended: {e:#}.");
            }
        });
    }
}

async fn session(
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
    let (replies, mut queue) = mpsc::channel::<Envelope>(QUEUE_FRAMES);
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
                    let (replies, done) = (replies.clone(), running.clone());
                    let mut table = running.lock().expect("calls lock");
                    let call = calls.spawn(async move {
                        let body = Some(handler.call(&peer, body).await);
                        done.lock().expect("calls lock").remove(&id);
                        // The session may have ended; the caller then knows by itself.
                        let _ = replies.send(Envelope { id, reply: true, body }).await;
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
