//! What a server tells its responder of request heads that it can't parse.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use shallotstall::net::{
    AheadBudget, ConnectionLimits, Respond, Server, UnparsedCause, text_response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of every wait, so that a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The server's limit of a head, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;
/// The server's time limit of a head for callers that wait for it.
const SHORT_HEADER_TIMEOUT: Duration = Duration::from_millis(200);
/// The body of each response.
const BODY: &str = "whole";
const GOOD: &str = "GET / HTTP/1.1\r\nHost: zoo.example\r\n\r\n";

/// Responds to each request, and keeps what it is told of other heads.
#[derive(Default)]
struct Recorder(Mutex<Vec<(SocketAddr, UnparsedCause)>>);

#[async_trait]
impl Respond for Recorder {
    async fn respond(&self, _: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        text_response(StatusCode::OK, BODY)
    }

    fn unparsed(&self, from: SocketAddr, cause: UnparsedCause) {
        self.0.lock().expect("causes").push((from, cause));
    }
}

async fn start(recorder: Arc<Recorder>, header_timeout: Duration, reads_ahead: bool) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let limits = ConnectionLimits { header_timeout, max_header_bytes: HEAD_BYTES_MAX };
    let server = if reads_ahead {
        let budget = Arc::new(AheadBudget::for_memory(64 << 20));
        Server::start_reading_ahead(listener, None, recorder, limits, budget)
    } else {
        Server::start_with_limits(listener, None, recorder, limits)
    };
    server.expect("a server")
}

/// Sends `sent`; if `closes`, closes its side once it has a response to a whole head. Reads until the
/// server closes the connection. Returns the caller's address and the statuses received.
async fn visit(addr: SocketAddr, sent: &str, closes: bool) -> (SocketAddr, Vec<String>) {
    let mut caller = TcpStream::connect(addr).await.expect("connect");
    let from = caller.local_addr().expect("an address");
    let mut bytes = Vec::new();
    let exchange = async {
        caller.write_all(sent.as_bytes()).await?;
        while closes && sent == GOOD && !bytes.ends_with(BODY.as_bytes()) {
            caller.read_buf(&mut bytes).await?;
        }
        if closes {
            caller.shutdown().await?;
        }
        caller.read_to_end(&mut bytes).await
    };
    let end = tokio::time::timeout(TEST_TIMEOUT, exchange).await;
    end.expect("the connection ends").expect("responses");
    let text = String::from_utf8_lossy(&bytes);
    let statuses = text.split("HTTP/1.1 ").skip(1).map(|r| r[..3].to_owned());
    (from, statuses.collect())
}

/// Guards against callers that get an error that neither the log nor the metrics know of, and against
/// counting connections that only end.
#[tokio::test]
async fn a_head_that_can_not_be_parsed_is_reported_once() {
    use UnparsedCause::{Malformed, TooLarge};
    let long_header = format!("GET / HTTP/1.1\r\nlong: {}\r\n\r\n", "x".repeat(2 * HEAD_BYTES_MAX));
    let long_uri = format!("GET /{} HTTP/1.1\r\n", "x".repeat(2 * HEAD_BYTES_MAX));
    let then_garbage = format!("{GOOD}{GOOD}no such head\r\n\r\n");
    let cut = &GOOD[..20];
    // What the caller sends, whether it then closes its side, the statuses that it gets, the report.
    let cases: [(&str, bool, &[&str], Option<UnparsedCause>); 10] = [
        ("no such head\r\n\r\n", false, &["400"], Some(Malformed)),
        ("GET / HTTP/7.7\r\n\r\n", false, &["400"], Some(Malformed)),
        (&then_garbage, false, &["200", "200", "400"], Some(Malformed)),
        (&long_header, false, &["431"], Some(TooLarge)),
        (&long_uri, false, &["431"], Some(TooLarge)),
        (GOOD, true, &["200"], None),
        ("", true, &[], None),
        ("", false, &[], None),
        (cut, true, &[], None),
        (cut, false, &[], None),
    ];
    for reads_ahead in [false, true] {
        for (sent, closes, statuses, cause) in &cases {
            let case = format!("{sent:.40} {closes} {reads_ahead}");
            let recorder = Arc::new(Recorder::default());
            let waits = cause.is_none() && !closes;
            let header_timeout = if waits { SHORT_HEADER_TIMEOUT } else { TEST_TIMEOUT };
            let server = start(recorder.clone(), header_timeout, reads_ahead).await;
            let (from, got) = visit(server.addr, sent, *closes).await;
            assert_eq!(got, *statuses, "{case}");
            server.shutdown().await;
            let reports: Vec<_> = cause.map(|cause| (from, cause)).into_iter().collect();
            assert_eq!(*recorder.0.lock().expect("causes"), reports, "{case}");
        }
    }
}
