//! A server that stops accepting answers what has reached it: connections in the kernel's backlog, and
//! open ones without a request.

use std::io::Write;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use shallotstall::net::{Respond, Server, text_response};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of every wait, so that a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// More connections than are accepted in one turn of the runtime.
const BACKLOG: usize = 100;
/// When callers send after the stop, in milliseconds: around the time at which idle connections are closed.
const CLOSING_MS: std::ops::RangeInclusive<u64> = 318..=326;
/// How many callers send at each of these times.
const CALLERS_PER_MS: usize = 10;
/// Interval of the connections of a surge, and how many there are.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
const SURGE: usize = 20;
const REQUEST: &[u8] = b"POST /swap HTTP/1.1\r\nHost: zoo.example\r\nContent-Length: 4\r\n\r\nswap";

/// Responds with the request's body.
struct Echo;

#[async_trait]
impl Respond for Echo {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        let mut response = text_response(StatusCode::OK, "");
        *response.body_mut() = request.into_body();
        response
    }
}

async fn start() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    Server::start(listener, None, Arc::new(Echo)).expect("a server")
}

/// Reads until the connection ends; an error counts as its end.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let end = read.expect("the connection ends");
    format!("{} ({end:?})", String::from_utf8_lossy(&bytes))
}

fn is_answered(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200")
        && response.contains("connection: close")
        && response.contains("\r\n\r\nswap (Ok")
}

/// Starts the shutdown, and returns once the port refuses connections.
async fn stop_listening(server: Server) -> tokio::task::JoinHandle<()> {
    let addr = server.addr;
    let shutdown = tokio::spawn(server.shutdown());
    let refused = async {
        while TcpStream::connect(addr).await.is_ok() {
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, refused).await.expect("the port closes");
    shutdown
}

async fn await_end(shutdown: tokio::task::JoinHandle<()>) {
    tokio::time::timeout(TEST_TIMEOUT, shutdown)
        .await
        .expect("the shutdown ends")
        .expect("no panic");
}

/// Guards against requests that are reset unread, because their connections were still in the backlog
/// when the listener closed.
#[tokio::test]
async fn connections_in_the_backlog_are_answered() {
    let server = start().await;
    // Without a turn of the runtime, nothing is accepted meanwhile.
    let callers: Vec<std::net::TcpStream> = (0..BACKLOG)
        .map(|_| {
            let mut caller = std::net::TcpStream::connect(server.addr).expect("connect");
            caller.write_all(REQUEST).expect("send");
            caller
        })
        .collect();
    let shutdown = tokio::spawn(server.shutdown());
    let mut unanswered = Vec::new();
    for caller in callers {
        caller.set_nonblocking(true).expect("a socket option");
        let mut caller = TcpStream::from_std(caller).expect("a socket");
        let response = read_to_end(&mut caller).await;
        if !is_answered(&response) {
            unanswered.push(response);
        }
    }
    assert!(unanswered.is_empty(), "{} of {BACKLOG}, as {}", unanswered.len(), unanswered[0]);
    await_end(shutdown).await;
}

/// Guards against a listener that closes in the middle of a surge: some connections would be reset after
/// their callers have sent a request.
#[tokio::test]
async fn a_surge_of_connections_is_let_pass() {
    let server = start().await;
    let addr = server.addr;
    let shutdown = tokio::spawn(server.shutdown());
    let mut callers = Vec::new();
    for _ in 0..SURGE {
        tokio::time::sleep(CONNECT_INTERVAL).await;
        let mut caller = TcpStream::connect(addr).await.expect("connect");
        caller.write_all(REQUEST).await.expect("send");
        callers.push(caller);
    }
    for mut caller in callers {
        let response = read_to_end(&mut caller).await;
        assert!(is_answered(&response), "{response}");
    }
    await_end(shutdown).await;
}

/// Guards against a connection that is closed unread, because its caller had connected, and not yet
/// sent its request, when the server stopped accepting.
#[tokio::test]
async fn a_new_connection_has_time_to_send_its_request() {
    let server = start().await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    let shutdown = stop_listening(server).await;
    caller.write_all(REQUEST).await.expect("send");
    let response = read_to_end(&mut caller).await;
    assert!(is_answered(&response), "{response}");
    await_end(shutdown).await;
}

/// As above, with a connection that has served a request.
#[tokio::test]
async fn a_kept_connection_has_time_to_send_its_next_request() {
    let server = start().await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    caller.write_all(REQUEST).await.expect("send");
    let mut first = [0; 1 << 10];
    let read = tokio::time::timeout(TEST_TIMEOUT, caller.read(&mut first)).await;
    assert!(read.expect("a response").expect("a response") > 0);
    let shutdown = stop_listening(server).await;
    caller.write_all(REQUEST).await.expect("send");
    let response = read_to_end(&mut caller).await;
    assert!(is_answered(&response), "{response}");
    await_end(shutdown).await;
}

/// Guards against a request that is cut in its head: it has begun, so the server waits for the rest.
#[tokio::test]
async fn a_request_that_has_begun_is_answered_however_late_its_rest_comes() {
    let server = start().await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    let shutdown = stop_listening(server).await;
    let (begin, rest) = REQUEST.split_at(20);
    caller.write_all(begin).await.expect("send");
    // Longer than an idle connection stays open.
    tokio::time::sleep(Duration::from_secs(1)).await;
    caller.write_all(rest).await.expect("send");
    let response = read_to_end(&mut caller).await;
    assert!(is_answered(&response), "{response}");
    await_end(shutdown).await;
}

/// Guards against a stop that idle connections hold up: they are closed, and without connections the
/// stop ends at once.
#[tokio::test]
async fn a_stop_closes_idle_connections_and_ends() {
    let without = start().await;
    let start_time = Instant::now();
    await_end(tokio::spawn(without.shutdown())).await;
    let quick = start_time.elapsed();

    let server = start().await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    let shutdown = stop_listening(server).await;
    assert_eq!(read_to_end(&mut caller).await, " (Ok(0))");
    await_end(shutdown).await;
    // Far above the time for which an idle connection stays open, and below the header timeout.
    let bound = Duration::from_secs(5);
    assert!(quick < bound && start_time.elapsed() < 2 * bound);
}

/// Guards against a stop that waits for the header timeout, because a client has sent bytes that begin
/// no request, as some do after a body.
#[tokio::test]
async fn stray_bytes_on_a_kept_connection_hold_up_no_stop() {
    let server = start().await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    caller.write_all(REQUEST).await.expect("send");
    let mut first = [0; 1 << 10];
    let read = tokio::time::timeout(TEST_TIMEOUT, caller.read(&mut first)).await;
    assert!(read.expect("a response").expect("a response") > 0);
    caller.write_all(b"\r\n").await.expect("send");
    let start_time = Instant::now();
    await_end(tokio::spawn(server.shutdown())).await;
    // The header timeout is 10 s.
    assert!(start_time.elapsed() < Duration::from_secs(8), "{:?}", start_time.elapsed());
}

/// Guards against a request that is discarded with its idle connection, because it came between the last
/// read and the close.
#[tokio::test]
async fn a_request_that_comes_just_before_the_close_is_answered() {
    let server = start().await;
    let mut senders = Vec::new();
    // The callers run on the server's thread: those whose timer fires with the server's write after it
    // has learnt what has come, and before it closes.
    for after_ms in CLOSING_MS {
        for _ in 0..CALLERS_PER_MS {
            let mut caller = TcpStream::connect(server.addr).await.expect("connect");
            caller.write_all(REQUEST).await.expect("send");
            let read = tokio::time::timeout(TEST_TIMEOUT, caller.read(&mut [0; 1 << 10])).await;
            assert!(read.expect("a response").expect("a response") > 0);
            senders.push((caller, after_ms));
        }
    }
    let stopped = tokio::time::Instant::now();
    let send_late = |(mut caller, after_ms): (TcpStream, u64)| async move {
        tokio::time::sleep_until(stopped + Duration::from_millis(after_ms)).await;
        tokio::task::yield_now().await;
        let socket = SockRef::from(&caller);
        if socket.peek(&mut [MaybeUninit::uninit()]).is_ok() {
            return None;
        }
        socket.send(REQUEST).expect("send");
        Some(read_to_end(&mut caller).await)
    };
    let senders: Vec<_> = senders.into_iter().map(|s| tokio::spawn(send_late(s))).collect();
    let shutdown = tokio::spawn(server.shutdown());
    let mut sent = 0;
    for sender in senders {
        let Some(response) = sender.await.expect("a caller") else { continue };
        assert!(is_answered(&response), "after {sent}: {response}");
        sent += 1;
    }
    assert!(sent > 0);
    await_end(shutdown).await;
}
