//! Checks of ports: whether a process that broke off a response has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use shallotstall::net::{PortState, check_port};
use tokio::net::TcpListener;

/// Longer than any step of these tests takes; a check ends as soon as the port refuses.
const PATIENCE: Duration = Duration::from_secs(30);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    (listener, addr)
}

/// A process that is ending still accepts connections until the kernel closes its port. Taking that
/// for a sign of life hid crashes, so that a request could crash one target more.
#[tokio::test]
async fn a_port_that_closes_after_it_accepted_counts_as_refused() {
    let (listener, addr) = listen().await;
    let check = tokio::spawn(check_port(addr, PATIENCE));
    let (accepted, _) = listener.accept().await.expect("the check connects");
    drop(listener);
    drop(accepted);
    assert_eq!(check.await.expect("the check ends"), PortState::Refused);
}

/// As above, but the connection is still in the kernel's queue when the port closes.
#[tokio::test]
async fn a_port_that_closes_before_it_accepts_counts_as_refused() {
    let (listener, addr) = listen().await;
    let check = tokio::spawn(check_port(addr, PATIENCE));
    // Lets the check connect; the listener never accepts.
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(listener);
    assert_eq!(check.await.expect("the check ends"), PortState::Refused);
}

#[tokio::test]
async fn a_port_that_keeps_connections_counts_as_open() {
    let (_listener, addr) = listen().await;
    assert_eq!(check_port(addr, Duration::from_millis(60)).await, PortState::Open);
}

/// A peer that writes without end does not hold up the check.
#[tokio::test]
async fn a_port_that_writes_without_end_counts_as_open() {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        while tokio::io::AsyncWriteExt::write_all(&mut stream, &[b'x'; 4096]).await.is_ok() {}
    });
    assert_eq!(check_port(addr, Duration::from_millis(60)).await, PortState::Open);
}
