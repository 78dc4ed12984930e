//! Tells a crashed process from one that is only slow, by whether its port still takes connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pause before the next connection, when the last one was closed or reset.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the buffer for bytes that the peer sends unasked.
const DISCARD_BYTES: usize = 1 << 10;

/// What a port does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// It takes them and keeps them open.
    Open,
    /// The host refuses them: no process listens.
    Refused,
    /// They are neither accepted nor refused, or closed at once.
    Unresponsive,
}

/// Checks the port at `addr` for at most `patience`. A process that is ending may accept a
/// connection just before its port closes, so a port counts as open only if a connection stays open
/// until then.
pub async fn check_port(addr: SocketAddr, patience: Duration) -> PortState {
    let mut connected = false;
    match timeout(patience, until_refused(addr, &mut connected)).await {
        Ok(()) => PortState::Refused,
        Err(_) if connected => PortState::Open,
        Err(_) => PortState::Unresponsive,
    }
}

/// Connects again and again until the port refuses. `connected` is true while a connection is open.
async fn until_refused(addr: SocketAddr, connected: &mut bool) {
    loop {
        match TcpStream::connect(addr).await {
            Ok(stream) => {
                *connected = true;
                until_closed(stream).await;
                *connected = false;
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return,
            Err(_) => {}
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

async fn until_closed(mut stream: TcpStream) {
    let mut unasked = [0; DISCARD_BYTES];
    while stream.read(&mut unasked).await.is_ok_and(|read| read > 0) {}
}
