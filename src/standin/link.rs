//! A stand-in for the links between machines: a TCP proxy that can delay or cut the connections
//! between given addresses.

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

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum chunks in flight in one direction; reading pauses at this number.
const MAX_CHUNKS: usize = 64;

/// A forwarded port.
#[apply(record!)]
#[derive(Copy, Eq)]
pub struct PortForward {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that connections are forwarded to.
    pub to: SocketAddr,
}

/// A fault of the links between two groups of machines, in both directions. A group is given by a
/// prefix of the IP addresses in it, as text.
#[apply(record!)]
#[derive(Eq)]
pub struct LinkFault {
    /// Address prefix of one group.
    pub a: String,
    /// Address prefix of the other group.
    pub b: String,
    /// Delay added in each direction, in milliseconds. If absent, the links are cut.
    #[serde(default)]
    pub delay_ms: Option<u64>,
}

/// The faults of the links.
#[apply(record!)]
#[derive(Eq, Default)]
#[serde(default)]
pub struct LinkFaults {
    /// The links that are cut or delayed.
    pub cuts: Vec<LinkFault>,
}

/// A running stand-in for links.
pub struct LinkStandin {
    /// The address of the fault port.
    pub fault_addr: SocketAddr,
    _server: Server,
}

impl LinkStandin {
    /// Starts to forward `ports`, with the fault port at `fault_addr`.
    ///
    /// # Errors
    /// Fails if an address can't be listened on.
    pub async fn start(fault_addr: SocketAddr, ports: &[PortForward]) -> Result<Self> {
        let faults = watch::Sender::new(LinkFaults::default());
        for port in ports {
            let listener = TcpListener::bind(port.listen)
                .await
                .with_context(|| format!("listen at {}", port.listen))?;
            tokio::spawn(forward(listener, port.to, faults.subscribe()));
        }
        let listener = TcpListener::bind(fault_addr)
            .await
            .with_context(|| format!("listen at {fault_addr}"))?;
        let server = Server::start(listener, None, Arc::new(FaultHandler(faults)))?;
        Ok(Self { fault_addr: server.addr, _server: server })
    }
}

struct FaultHandler(watch::Sender<LinkFaults>);

#[async_trait]
impl Respond for FaultHandler {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/faults") => match read_json(&request) {
                Ok(faults) => {
                    self.0.send_replace(faults);
                    text_response(StatusCode::OK, "")
                }
                Err(response) => *response,
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
            let ends = (from.ip().to_string(), to.ip().to_string());
            let (near_read, near_write) = inbound.into_split();
            let (far_read, far_write) = outbound.into_split();
            tokio::join!(
                copy(near_read, far_write, &ends, faults.clone()),
                copy(far_read, near_write, &ends, faults.clone()),
            );
        });
    }
}

/// Copies one direction. While the link is cut, data in flight is held back, not lost.
async fn copy(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    ends: &(String, String),
    mut faults: watch::Receiver<LinkFaults>,
) {
    let (sender, mut queue) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS);
    let reader_faults = faults.clone();
    let reader = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count) = read.read(&mut buffer).await {
            let delay = delay_of(&reader_faults.borrow(), ends).unwrap_or_default();
            let due = Instant::now() + delay;
            if count == 0 || sender.send((due, buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let writer = async move {
        while let Some((due, chunk)) = queue.recv().await {
            tokio::time::sleep_until(due).await;
            let open = |f: &LinkFaults| delay_of(f, ends).is_some();
            if faults.wait_for(open).await.is_err() || write.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reader, writer);
}

/// Returns the delay between two machines, or `None` if the link is cut.
fn delay_of(faults: &LinkFaults, ends: &(String, String)) -> Option<Duration> {
    let (from, to) = ends;
    let matches = |c: &&LinkFault| {
        (from.starts_with(&c.a) && to.starts_with(&c.b))
            || (from.starts_with(&c.b) && to.starts_with(&c.a))
    };
    let mut matching = faults.cuts.iter().filter(matches).peekable();
    if matching.peek().is_none() {
        return Some(Duration::ZERO);
    }
    // A cut takes precedence over delays, since `None` is less than any delay.
    matching.map(|c| c.delay_ms.map(Duration::from_millis)).min()?
}
