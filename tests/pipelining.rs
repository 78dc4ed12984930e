//! Pipelined requests on a loopback socket: which of them run concurrently, in what order they are
//! answered, and what ends with the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use shallotstall::clock;
use shallotstall::net::{
    AheadBudget, Arrival, ByteBudget, ConnectionLimits, LaterRequests, Respond, Server, full_body,
    text_response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Timeout of every wait, so that a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest head, and so the most bytes that are read ahead.
const HEAD_MAX: usize = 64 << 10;
/// Length of a body of which a part stays in the socket.
const LONG_BODY: usize = 80 << 10;

/// What the handler has seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    started: Vec<String>,
    cancelled: Vec<String>,
    arrivals: Vec<Duration>,
    later: Vec<LaterRequests>,
    released: Vec<String>,
}

/// Responds with the path, once the path has been released. Reads the body if the path says so.
#[derive(Clone)]
struct Gate(Arc<watch::Sender<Seen>>);

impl Gate {
    fn release(&self, path: &str) {
        self.0.send_modify(|s| s.released.push(path.to_owned()));
    }

    async fn wait_for(&self, what: &str, done: impl Fn(&Seen) -> bool) -> Seen {
        let mut seen = self.0.subscribe();
        let wait = tokio::time::timeout(TEST_TIMEOUT, seen.wait_for(|s| done(s))).await;
        let seen = wait.unwrap_or_else(|_| panic!("{what}: {:?}", self.0.borrow()));
        seen.expect("the sender lives").clone()
    }

    async fn started(&self, path: &str) -> Seen {
        self.wait_for(path, |s| s.started.iter().any(|p| p == path)).await
    }
}

/// Records a handler that is dropped before its response.
struct CancelGuard(Gate, Option<String>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(path) = self.1.take() {
            self.0.0.send_modify(|s| s.cancelled.push(path));
        }
    }
}

#[async_trait]
impl Respond for Gate {
    fn may_overlap(&self, method: &Method, _: &Uri, _: &HeaderMap) -> bool {
        *method == Method::GET
    }

    async fn respond(&self, _: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        unreachable!("requests are handled by respond_stream")
    }

    async fn respond_stream(&self, request: Request<Body>, _: SocketAddr) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let arrival = request.extensions().get::<Arrival>().expect("an arrival").0;
        let later = request.extensions().get::<LaterRequests>().expect("later").clone();
        self.0.send_modify(|s| {
            s.started.push(path.clone());
            s.arrivals.push(arrival);
            s.later.push(later);
        });
        let mut guard = CancelGuard(self.clone(), Some(path.clone()));
        if path.contains("read") {
            request.into_body().collect().await.expect("the body");
        }
        assert!(!path.contains("panic"), "a handler panics");
        self.wait_for(&path, |s| s.released.contains(&path)).await;
        guard.1 = None;
        let mut response = text_response(StatusCode::OK, &path);
        if path.contains("leave") {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(full_body)
    }
}

struct Bench {
    gate: Gate,
    budget: Arc<AheadBudget>,
    server: Option<Server>,
    caller: TcpStream,
    received: Vec<u8>,
}

impl Bench {
    async fn start(ahead: usize) -> Self {
        Self::start_within(ahead, ByteBudget::unlimited()).await
    }

    /// Starts with room for so many requests ahead, and for these bytes.
    async fn start_within(ahead: usize, bytes: ByteBudget) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gate = Gate(Arc::new(watch::Sender::default()));
        let budget = Arc::new(AheadBudget::new(ahead, bytes));
        let limits = ConnectionLimits { max_header_bytes: HEAD_MAX, ..ConnectionLimits::default() };
        let responder = Arc::new(gate.clone());
        let server = Server::start_reading_ahead(listener, None, responder, limits, budget.clone());
        let server = server.expect("a server");
        let caller = TcpStream::connect(server.addr).await.expect("connect");
        Self { gate, budget, server: Some(server), caller, received: Vec::new() }
    }

    /// Sends requests in one piece.
    async fn send(&mut self, requests: &[String]) {
        self.caller.write_all(requests.concat().as_bytes()).await.expect("send");
    }

    /// Reads one response: its status, whether it closes the connection, and its body.
    async fn response(&mut self) -> (u16, bool, String) {
        loop {
            if let Some((response, length)) = parse_response(&self.received) {
                self.received.drain(..length);
                return response;
            }
            let read = self.caller.read_buf(&mut self.received);
            let count = tokio::time::timeout(TEST_TIMEOUT, read).await.expect("a response");
            assert!(count.expect("read") > 0, "the connection ended");
        }
    }

    async fn expect(&mut self, status: u16, closes: bool, body: &str) {
        assert_eq!(self.response().await, (status, closes, body.to_owned()));
    }

    async fn expect_end(&mut self) {
        let read = self.caller.read_to_end(&mut self.received);
        let read = tokio::time::timeout(TEST_TIMEOUT, read).await.expect("an end");
        assert_eq!(read.ok(), Some(0), "bytes after the last response");
    }
}

fn parse_response(bytes: &[u8]) -> Option<((u16, bool, String), usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |l| l.parse().expect("a length"));
    let body = bytes.get(end..end + length)?;
    let status = head[9..12].parse().expect("a status");
    let closes = head.contains("connection: close");
    Some(((status, closes, String::from_utf8_lossy(body).into_owned()), end + length))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: toll.example\r\n\r\n")
}

fn post(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: toll.example\r\nContent-Length: 4\r\n\r\ntoll")
}

/// Guards against a slow first request that delays the start of those behind it, and against responses
/// in the order in which handlers end.
#[tokio::test]
async fn requests_that_may_overlap_run_together_and_are_answered_in_order() {
    let mut bench = Bench::start(16).await;
    bench.send(&[get("/1"), get("/2"), get("/3")]).await;
    for path in ["/3", "/2", "/1"] {
        bench.gate.started(path).await;
    }
    for path in ["/3", "/2", "/1"] {
        bench.gate.release(path);
    }
    for path in ["/1", "/2", "/3"] {
        bench.expect(200, false, path).await;
    }
    assert_eq!(bench.budget.started.get(), 2, "the first runs in its turn");
    assert_eq!(bench.gate.0.borrow().started.len(), 3, "each runs once");
}

/// Guards against a handler that doesn't learn that a response waits for its own.
#[tokio::test]
async fn a_handler_knows_whether_a_response_behind_it_is_ready() {
    let mut bench = Bench::start(16).await;
    bench.send(&[get("/1"), get("/2"), post("/3")]).await;
    let seen = bench.gate.started("/2").await;
    let ready = |seen: &Seen| seen.later.iter().map(LaterRequests::any_ready).collect::<Vec<_>>();
    assert_eq!(ready(&seen), [false, false]);
    bench.gate.release("/2");
    while !ready(&seen)[0] {
        tokio::task::yield_now().await;
    }
    assert_eq!(ready(&seen), [true, false], "the response to /2 waits for that to /1");
    bench.gate.release("/1");
    bench.gate.started("/3").await;
    bench.expect(200, false, "/1").await;
    assert_eq!(ready(&seen), [false, false]);
}

/// Guards against a connection that stands still, or is read differently, while memory is short.
#[tokio::test]
async fn requests_are_served_one_by_one_while_there_is_no_room() {
    let mut bench = Bench::start_within(16, ByteBudget::new([0; 3])).await;
    let head =
        format!("POST /read HTTP/1.1\r\nHost: toll.example\r\nContent-Length: {LONG_BODY}\r\n\r\n");
    let long = head + &"x".repeat(LONG_BODY);
    bench.send(&[get("/1"), long, get("/2"), post("/3"), get("/4")]).await;
    for path in ["/1", "/read", "/2", "/3", "/4"] {
        let seen = bench.gate.started(path).await;
        assert_eq!(seen.started.last().map(String::as_str), Some(path), "{seen:?}");
        bench.gate.release(path);
        bench.expect(200, false, path).await;
    }
    assert_eq!(bench.budget.started.get(), 0);
}

/// Guards against a non-idempotent request that starts before its turn, anything that starts behind it,
/// and a deadline that counts from the turn.
#[tokio::test]
async fn a_request_that_may_not_overlap_waits_and_keeps_its_arrival() {
    let mut bench = Bench::start(16).await;
    bench.send(&[get("/1"), get("/2"), post("/3"), get("/4"), get("/5")]).await;
    let seen = bench.gate.started("/2").await;
    assert_eq!(seen.started.len(), 2, "{seen:?}");
    let before = clock::now();
    bench.gate.release("/1");
    bench.expect(200, false, "/1").await;
    assert!(!bench.gate.0.borrow().started.contains(&"/3".to_owned()));
    bench.gate.release("/2");
    let seen = bench.gate.started("/3").await;
    assert!(seen.arrivals[2] <= before, "the request had arrived when it waited");
    assert!(!seen.started.contains(&"/4".to_owned()), "{seen:?}");
    bench.gate.release("/3");
    bench.gate.started("/5").await;
    bench.gate.release("/4");
    bench.gate.release("/5");
    for path in ["/2", "/3", "/4", "/5"] {
        bench.expect(200, false, path).await;
    }
}

/// Guards against requests that go on, or start, after their caller has left, also while bytes behind
/// them are unread in the buffer or in the socket.
#[tokio::test]
async fn a_disconnect_cancels_all_requests() {
    let long = format!(
        "POST /4 HTTP/1.1\r\nHost: toll.example\r\nContent-Length: {LONG_BODY}\r\n\r\n{}",
        "b".repeat(LONG_BODY)
    );
    for behind in [String::new(), "GET /4 HT".to_owned(), post("/4"), long] {
        for reset in [false, true] {
            let mut bench = Bench::start(16).await;
            bench.send(&[get("/1"), get("/2"), get("/3"), behind.clone()]).await;
            bench.gate.started("/3").await;
            if reset {
                socket2::SockRef::from(&bench.caller)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a socket option");
            }
            drop(bench.caller);
            let what = format!("{} bytes behind, reset {reset}", behind.len());
            let seen = bench.gate.wait_for(&what, |s| s.cancelled.len() == 3).await;
            assert_eq!(seen.started.len(), 3, "{what}");
        }
    }
}

/// Guards against a response that closes the connection in front of a request that has been started, as
/// the caller would take that request as not read.
#[tokio::test]
async fn the_response_to_the_last_started_request_closes() {
    for (stops, first) in [(true, "/1"), (false, "/leave")] {
        let mut bench = Bench::start(16).await;
        bench.send(&[get(first), get("/2")]).await;
        bench.gate.started("/2").await;
        if stops {
            bench.server.as_ref().expect("a server").close_connections();
        } else {
            bench.gate.release(first);
            bench.expect(200, false, first).await;
        }
        bench.send(&[get("/3"), get("/4")]).await;
        if stops {
            bench.gate.release(first);
            bench.expect(200, false, first).await;
        }
        bench.gate.release("/2");
        bench.expect(200, true, "/2").await;
        bench.expect_end().await;
        let seen = bench.gate.0.borrow().clone();
        assert_eq!(seen.started.len(), 2, "nothing starts after the close: {seen:?}");
    }
}

/// Guards against a shutdown that takes a connection for idle while requests that were started ahead are
/// unanswered.
#[tokio::test]
async fn a_shutdown_waits_for_requests_started_ahead() {
    let mut bench = Bench::start(16).await;
    bench.send(&[get("/1"), get("/2"), get("/3")]).await;
    bench.gate.started("/3").await;
    let server = bench.server.take().expect("a server");
    let addr = server.addr;
    let shutdown = tokio::spawn(server.shutdown());
    while TcpStream::connect(addr).await.is_ok() {
        tokio::task::yield_now().await;
    }
    // Longer than a stopping server waits for the next request.
    tokio::time::sleep(Duration::from_millis(600)).await;
    for path in ["/1", "/2", "/3"] {
        bench.gate.release(path);
    }
    for (path, closes) in [("/1", false), ("/2", false), ("/3", true)] {
        bench.expect(200, closes, path).await;
    }
    bench.expect_end().await;
    tokio::time::timeout(TEST_TIMEOUT, shutdown)
        .await
        .expect("the shutdown ends")
        .expect("no panic");
}

/// Guards against a panic of a handler that ends other requests of its connection or the response order.
#[tokio::test]
async fn a_panic_is_answered_in_its_turn() {
    let mut bench = Bench::start(16).await;
    bench.send(&[get("/1"), get("/panic"), get("/3")]).await;
    bench.gate.started("/3").await;
    bench.gate.release("/3");
    bench.gate.release("/1");
    bench.expect(200, false, "/1").await;
    bench.expect(500, false, "").await;
    bench.expect(200, false, "/3").await;
}

/// Guards against more requests ahead than the bounds of the VM and of the connection allow, and against
/// requests that never run after a bound held them back.
#[tokio::test]
async fn bounds_hold_requests_back() {
    for (ahead, requests, started) in [(0, 3, 1), (1, 3, 2), (100, 24, 17)] {
        let mut bench = Bench::start(ahead).await;
        let paths: Vec<String> = (0..requests).map(|i| format!("/{i}")).collect();
        let all: Vec<String> = paths.iter().map(|p| get(p)).collect();
        bench.send(&all).await;
        let seen = bench.gate.wait_for("the first", |s| s.started.len() >= started).await;
        tokio::task::yield_now().await;
        assert_eq!(bench.gate.0.borrow().started.len(), started, "{seen:?}");
        assert_eq!(bench.budget.started.get(), started as u64 - 1);
        assert!(bench.budget.held.get() >= 1, "{ahead} ahead");
        for path in &paths {
            bench.gate.release(path);
        }
        for path in &paths {
            bench.expect(200, false, path).await;
        }
    }
}

/// Guards against requests that start ahead, or are lost or changed, behind bytes whose meaning is not
/// certain, or behind the last request of a connection.
#[tokio::test]
async fn uncertain_bytes_are_served_in_turn() {
    let chunked = "POST /1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (format!("{chunked}4;x=y\r\ntoll\r\n0\r\n\r\n"), true),
        (format!("{chunked}4\r\ntoll\r\n0\r\nX: y\r\n\r\n"), true),
        ("\r\nGET /1 HTTP/1.1\r\nHost: t\r\n\r\n".to_owned(), true),
        ("GET /1 HTTP/1.1\r\nHost: t\r\nExpect: x\r\n\r\n".to_owned(), true),
        ("GET /1 HTTP/1.1\r\nHost: t\r\nConnection: Close\r\n\r\n".to_owned(), false),
        ("GET /1 HTTP/1.0\r\nHost: t\r\n\r\n".to_owned(), false),
    ];
    for (first, goes_on) in cases {
        let mut bench = Bench::start(16).await;
        bench.send(&[first.clone(), get("/2"), get("/3")]).await;
        bench.gate.started("/1").await;
        tokio::task::yield_now().await;
        assert_eq!(bench.gate.0.borrow().started.len(), 1, "{first:?}");
        for path in ["/1", "/2", "/3"] {
            bench.gate.release(path);
        }
        let (status, _, body) = bench.response().await;
        assert_eq!((status, body.as_str()), (200, "/1"), "{first:?}");
        if goes_on {
            bench.expect(200, false, "/2").await;
            bench.expect(200, false, "/3").await;
        } else {
            bench.expect_end().await;
        }
        assert_eq!(bench.budget.started.get(), 0, "{first:?}");
    }
}
