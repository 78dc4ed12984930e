//! A stand-in for the links between machines: forwards TCP connections, delays them, and cuts them
//! by the address of the machine that opened them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use macro_rules_attribute::apply;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::read_json;
use crate::common::record;
use crate::net::{Respond, Server, text_response};

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Chunks under way in one direction.
const CHUNKS: usize = 64;

/// One forwarded port.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct PortForward {
    /// Where connections are taken.
    pub listen: SocketAddr,
    /// Where they go.
    pub to: SocketAddr,
}

/// A pair of machines or groups of machines, by prefix of their IP addresses, in both directions.
#[apply(record!)]
#[derive(Eq)]
pub struct Cut {
    /// One side.
    pub a: String,
    /// The other side.
    pub b: String,
    /// Time added in each direction, in milliseconds; none cuts the link.
    #[serde(default)]
    pub delay_ms: Option<u64>,
}

/// The faults of the stand-in.
#[apply(record!)]
#[derive(Eq, Default)]
#[serde(default)]
pub struct LinkFaults {
    /// Cut and delayed links.
    pub cuts: Vec<Cut>,
}

/// The stand-in, with a port on which faults are set.
pub struct LinkStandin {
    /// Where faults are set.
    pub fault_addr: SocketAddr,
    _server: Server,
}

impl LinkStandin {
    /// Starts to forward `routes`.
    ///
    /// # Errors
    /// Fails if it can't listen.
    pub async fn start(control: SocketAddr, routes: &[PortForward]) -> Result<Self> {
        let faults = watch::Sender::new(LinkFaults::default());
        for route in routes {
            let listener = TcpListener::bind(route.listen)
                .await
                .with_context(|| format!("listen at {}", route.listen))?;
            tokio::spawn(forward(listener, route.to, faults.subscribe()));
        }
        let listener = TcpListener::bind(control).await.context("listen for faults")?;
        let server = Server::start(listener, None, Arc::new(Control(faults)))?;
        Ok(Self { fault_addr: server.addr, _server: server })
    }
}

struct Control(watch::Sender<LinkFaults>);

#[async_trait]
impl Respond for Control {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    self.0.send_replace(faults);
                    text_response(StatusCode::OK, "")
                }
                Err(answer) => *answer,
            },
            _ => text_response(StatusCode::NOT_FOUND, "POST /faults"),
        }
    }
}

async fn forward(listener: TcpListener, to: SocketAddr, faults: watch::Receiver<LinkFaults>) {
    while let Ok((inbound, from)) = listener.accept().await {
        let faults = faults.clone();
        tokio::spawn(async move {
            let Ok(outbound) = TcpStream::connect(to).await else { return };
            let _ = inbound.set_nodelay(true);
            let _ = outbound.set_nodelay(true);
            let pair = (from.ip().to_string(), to.ip().to_string());
            let (near_read, near_write) = inbound.into_split();
            let (far_read, far_write) = outbound.into_split();
            tokio::join!(
                copy(near_read, far_write, &pair, faults.clone()),
                copy(far_read, near_write, &pair, faults.clone()),
            );
        });
    }
}

/// Copies one direction. A cut link holds what is under way until it heals.
async fn copy(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    pair: &(String, String),
    mut faults: watch::Receiver<LinkFaults>,
) {
    let (sender, mut queue) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS);
    let delays = faults.clone();
    let reader = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count) = read.read(&mut buffer).await {
            let delay = delay_of(&delays.borrow(), pair).unwrap_or_default();
            let due = Instant::now() + delay;
            if count == 0 || sender.send((due, buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let writer = async move {
        while let Some((due, chunk)) = queue.recv().await {
            tokio::time::sleep_until(due).await;
            let open = |f: &LinkFaults| delay_of(f, pair).is_some();
            if faults.wait_for(open).await.is_err() || write.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reader, writer);
}

/// The delay between two machines; none if they are cut off.
fn delay_of(faults: &LinkFaults, pair: &(String, String)) -> Option<Duration> {
    let (from, to) = pair;
    let fits = |c: &&Cut| {
        (from.starts_with(&c.a) && to.starts_with(&c.b))
            || (from.starts_with(&c.b) && to.starts_with(&c.a))
    };
    let mut cuts = faults.cuts.iter().filter(fits).peekable();
    if cuts.peek().is_none() {
        return Some(Duration::ZERO);
    }
    cuts.map(|c| c.delay_ms.map(Duration::from_millis)).min()?
}
