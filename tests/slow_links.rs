//! Large responses on slow links: they take longer than a timeout, and what sends them is not silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use prost::Message;
use shallotstall::model::Place;
use shallotstall::net::{HttpClient, ResponseTimeouts};
use shallotstall::peer::{
    Body, CompressedContents, Dialer, Empty, ExplainRequest, ExplainResponse, FeedUpdate, Identity,
    PeerClient, PeerHandler, PeerServer, Secret,
};
use shallotstall::steer::{Delta, Feed, Item, Mark};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a call, or between two parts of a response.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after each piece that passes a slow link.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a piece.
const PIECE_BYTES: usize = 16 << 10;
/// Length of a response that takes longer than [`TIMEOUT`] on a slow link, in bytes.
const LARGE_BYTES: usize = 800 << 10;

/// Sends `bytes` piece by piece; stops for good after `limit` bytes.
async fn send_slowly(stream: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8], limit: usize) {
    for piece in bytes[..bytes.len().min(limit)].chunks(PIECE_BYTES) {
        let _ = stream.write_all(piece).await;
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    if bytes.len() > limit {
        std::future::pending().await
    }
}

/// A proxy to `to` whose way back is slow, and ends after `limit` bytes without closing.
async fn slow_proxy(to: SocketAddr, limit: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.expect("the server");
            let (mut near_read, mut near_write) = near.into_split();
            let (mut far_read, mut far_write) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
            tokio::spawn(async move {
                let (mut buffer, mut left) = (vec![0; PIECE_BYTES], limit);
                while let Ok(count @ 1..) = far_read.read(&mut buffer).await {
                    send_slowly(&mut near_write, &buffer[..count], left).await;
                    left -= count;
                }
            });
        }
    });
    addr
}

fn identity(vm: &str) -> Identity {
    let place = Place { region: "r".into(), zone: "z".into() };
    Identity { vm: vm.into(), place, incarnation: 7 }
}

/// Responds with as many bytes as the call asks for; to 0, never.
struct Sized;

#[async_trait]
impl PeerHandler for Sized {
    async fn call(&self, _: &Identity, body: Body) -> Body {
        let Body::ExplainRequest(request) = body else { return Body::Empty(Empty {}) };
        match request.request.parse().expect("a number") {
            0 => std::future::pending().await,
            length => Body::ExplainResponse(ExplainResponse { record: "x".repeat(length) }),
        }
    }

    fn notify(&self, _: &Identity, _: Body) {}

    fn session_opened(&self, _: &Identity) {}
}

async fn peer(limit: usize) -> (PeerServer, PeerClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let secret = Secret::new(b"secret".to_vec());
    let server = PeerServer::start(listener, identity("server"), secret.clone(), Arc::new(Sized));
    let server = server.expect("a server");
    let dialer = Dialer { me: identity("client"), secret, bind: None };
    let client = PeerClient::start("server".into(), slow_proxy(server.addr, limit).await, dialer);
    while client.identity().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (server, client)
}

fn call(client: &PeerClient, length: usize) -> impl Future<Output = Option<usize>> {
    let body = Body::ExplainRequest(ExplainRequest { request: length.to_string() });
    async move {
        match client.call_idempotent(body, TIMEOUT).await {
            Ok(Body::ExplainResponse(response)) => Some(response.record.len()),
            _ => None,
        }
    }
}

#[tokio::test]
async fn a_call_that_a_large_response_delays_is_no_timeout() {
    let (_server, client) = peer(usize::MAX).await;
    let (large, behind) = tokio::join!(call(&client, LARGE_BYTES), call(&client, 1));
    assert_eq!((large, behind), (Some(LARGE_BYTES), Some(1)), "both arrive");
    assert_eq!(call(&client, 0).await, None, "silence is a timeout");
    assert_eq!(call(&client, 1).await, Some(1), "in the same session");

    let (_server, client) = peer(LARGE_BYTES / 2).await;
    assert_eq!(call(&client, LARGE_BYTES).await, None, "a response that stops is a timeout");
}

/// Serves one response to each connection, slowly, and stops after `limit` bytes of it.
async fn slow_server(limit: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut response =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n").into_bytes();
            response.resize(response.len() + LARGE_BYTES, b'x');
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1024]).await;
                send_slowly(&mut stream, &response, limit).await;
            });
        }
    });
    addr
}

#[tokio::test]
async fn a_response_may_take_longer_than_its_parts() {
    let parts = ResponseTimeouts { head: TIMEOUT, part: TIMEOUT, whole: Duration::from_secs(60) };
    for (case, limit, timeouts, expected) in [
        ("slow", usize::MAX, parts, true),
        ("no head", 0, parts, false),
        ("stops in its body", LARGE_BYTES / 2, parts, false),
        ("slow, and only the whole counts", usize::MAX, TIMEOUT.into(), false),
    ] {
        let addr = slow_server(limit).await;
        let request = Request::get(format!("http://{addr}/")).body(Bytes::new()).expect("valid");
        let response = HttpClient::new(None).send(request, timeouts).await;
        let whole = response.is_ok_and(|r| r.body().len() == LARGE_BYTES);
        assert_eq!(whole, expected, "{case}");
    }
}

fn update(revision: u64, body: &[u8]) -> FeedUpdate {
    let body = Some(Bytes::copy_from_slice(body));
    let items = vec![
        Item { name: "main".to_owned(), revision, body },
        Item { name: "gone".to_owned(), revision, body: None },
    ];
    FeedUpdate::new(
        Feed::Table,
        TIMEOUT,
        Delta { full: false, mark: Mark { era: 0, revision }, items },
    )
}

#[test]
fn large_contents_are_compressed_and_come_back_whole() {
    let routes = |from: usize| (from..from + 3_000).map(|i| format!("{{\"name\":\"route-{i}\"}},"));
    let contents = CompressedContents::default();
    let passed_on = CompressedContents::default();
    for (revision, from) in [(5, 0), (5, 0), (6, 1_000)] {
        let body = routes(from).collect::<String>().into_bytes();
        let plain = update(revision, &body);
        let mut sent = plain.clone();
        contents.compress(&mut sent);
        assert!(sent.encoded_len() * 4 < plain.encoded_len(), "it is much shorter");
        passed_on.keep(&sent);
        let mut again = plain.clone();
        passed_on.compress(&mut again);
        assert_eq!(again, sent, "a VM passes on what it has received");
        assert_eq!(sent.to_delta(), plain.to_delta(), "revision {revision}");
    }
    let mut small = update(7, b"{}");
    contents.compress(&mut small);
    assert_eq!(small, update(7, b"{}"), "small contents stay as they are");

    let mut bomb = update(8, &vec![b'x'; 8 << 20]);
    contents.compress(&mut bomb);
    assert!(bomb.to_delta().is_some(), "one content within the bound");
    bomb.items.push(bomb.items[0].clone());
    assert_eq!(bomb.to_delta(), None, "contents that are too long together");

    let mut damaged = update(8, &[b'x'; 10_000]);
    contents.compress(&mut damaged);
    damaged.items[0].deflated = Some(Bytes::from_static(b"no deflate stream"));
    assert_eq!(damaged.to_delta(), None, "a damaged content is no removal");
}
