//! A response reaches its caller whole though the caller still sends: an upload that the server does
//! not read, or a pipelined request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, Response, StatusCode};
use shallotstall::net::{Respond, Server, full_body, text_response, tls_acceptor};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Timeout of every wait, so that a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// More than the sockets' buffers hold, so that the server closes while the caller still sends.
const UPLOAD_BYTES: usize = 2 << 20;
/// Part of the upload that is sent at once.
const PART_BYTES: usize = 128 << 10;
/// Pause between two parts.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// Length of a response's body: more than a caller's socket takes before its caller reads.
const RESPONSE_BYTES: usize = 3 << 20;

/// Responds at once with a status, whatever the request's body.
struct Early {
    status: StatusCode,
    body: Bytes,
}

#[async_trait]
impl Respond for Early {
    async fn respond(&self, _: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        unreachable!("requests are handled by respond_stream")
    }

    async fn respond_stream(&self, _: Request<Body>, _: SocketAddr) -> Response<Body> {
        let mut response = text_response(self.status, "");
        *response.body_mut() = self.body.clone();
        response.map(full_body)
    }
}

async fn start(status: StatusCode, body: usize, tls: Option<TlsAcceptor>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let body = Bytes::from(vec![b'r'; body]);
    Server::start(listener, tls, Arc::new(Early { status, body })).expect("a server")
}

fn head(length: usize, options: &str) -> String {
    format!("POST /up HTTP/1.1\r\nHost: zoo.example\r\n{options}Content-Length: {length}\r\n\r\n")
}

/// Sends a request with a long body in parts; fails as soon as the connection does.
async fn upload(stream: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
    stream.write_all(head(UPLOAD_BYTES, "").as_bytes()).await?;
    for _ in 0..UPLOAD_BYTES / PART_BYTES {
        stream.write_all(&[b'u'; PART_BYTES]).await?;
        stream.flush().await?;
        tokio::time::sleep(PART_PAUSE).await;
    }
    Ok(())
}

/// Reads a response; returns its status and the length of its body, if it is whole.
async fn read_response(stream: &mut (impl AsyncRead + Unpin)) -> Result<(u16, usize), String> {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let end = read.expect("the connection ends");
    let cut = || format!("{end:?} after {} bytes", bytes.len());
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").ok_or_else(cut)?;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|l| l.strip_prefix("content-length: "));
    let length: usize = length.and_then(|l| l.parse().ok()).ok_or_else(cut)?;
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(cut)?;
    if bytes.len() != head + 4 + length {
        return Err(cut());
    }
    Ok((status, length))
}

/// Guards against a rejection that its caller never sees: the server closed the connection with unread
/// bytes of the upload, which resets it.
#[tokio::test]
async fn an_early_response_reaches_a_caller_that_reads_after_it_has_sent() {
    for status in [
        StatusCode::UNAUTHORIZED,
        StatusCode::PAYLOAD_TOO_LARGE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ] {
        let server = start(status, 10, None).await;
        let mut caller = TcpStream::connect(server.addr).await.expect("connect");
        let sent = tokio::time::timeout(TEST_TIMEOUT, upload(&mut caller)).await;
        let sent = sent.expect("the upload ends");
        let response = read_response(&mut caller).await;
        assert_eq!((sent.is_ok(), response), (true, Ok((status.as_u16(), 10))), "{sent:?}");
    }
}

/// Guards against a response that is cut in its middle, because a next request on its connection was
/// not read before the close.
#[tokio::test]
async fn a_long_response_is_whole_though_the_caller_has_sent_more() {
    let server = start(StatusCode::OK, RESPONSE_BYTES, None).await;
    let caller = TcpStream::connect(server.addr).await.expect("connect");
    let (mut read, mut write) = caller.into_split();
    let send = async move {
        write.write_all(head(0, "Connection: close\r\n").as_bytes()).await?;
        write.write_all(head(PART_BYTES, "").as_bytes()).await?;
        write.write_all(&[b'u'; PART_BYTES]).await?;
        Ok::<_, std::io::Error>(write)
    };
    let sent = tokio::time::timeout(TEST_TIMEOUT, send).await.expect("it sends");
    // Lets the server write as much of its response as the sockets take.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(read_response(&mut read).await, Ok((200, RESPONSE_BYTES)), "{sent:?}");
}

/// Guards against a server that reads on for ever after its last response.
#[tokio::test]
async fn a_caller_that_never_stops_sending_is_cut_off() {
    let server = start(StatusCode::UNAUTHORIZED, 10, None).await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    let send_on = async {
        caller.write_all(head(usize::MAX >> 8, "").as_bytes()).await?;
        loop {
            caller.write_all(&[b'u'; PART_BYTES]).await?;
        }
    };
    let end: std::io::Result<()> =
        tokio::time::timeout(TEST_TIMEOUT, send_on).await.expect("an end");
    assert!(end.is_err(), "{end:?}");
}

/// Guards against a stop that waits for a caller which neither sends nor closes after its response.
#[tokio::test]
async fn a_caller_that_keeps_a_closed_connection_holds_up_no_stop() {
    let server = start(StatusCode::OK, 10, None).await;
    let mut caller = TcpStream::connect(server.addr).await.expect("connect");
    caller.write_all(head(0, "Connection: close\r\n").as_bytes()).await.expect("send");
    assert_eq!(read_response(&mut caller).await, Ok((200, 10)));
    let stopped = tokio::time::timeout(TEST_TIMEOUT, server.shutdown()).await;
    stopped.expect("the stop ends while the caller's end is open");
    drop(caller);
}

/// A self-signed certificate: the server's end and the caller's.
fn tls() -> (TlsAcceptor, TlsConnector) {
    let certificate =
        rcgen::generate_simple_self_signed(["entry.example".to_owned()]).expect("a key");
    let dir = tempfile::tempdir().expect("a folder");
    let (chain, key) = (dir.path().join("chain.pem"), dir.path().join("key.pem"));
    std::fs::write(&chain, certificate.cert.pem()).expect("write");
    std::fs::write(&key, certificate.key_pair.serialize_pem()).expect("write");
    let mut roots = RootCertStore::empty();
    roots.add(certificate.cert.der().clone()).expect("a root");
    let provider = Arc::new(tokio_rustls::rustls::crypto::aws_lc_rs::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    (tls_acceptor(&chain, &key).expect("a certificate"), TlsConnector::from(Arc::new(config)))
}

/// As the first test, over TLS.
#[tokio::test]
async fn an_early_response_reaches_its_caller_over_tls() {
    let (acceptor, connector) = tls();
    let server = start(StatusCode::PAYLOAD_TOO_LARGE, 10, Some(acceptor)).await;
    let stream = TcpStream::connect(server.addr).await.expect("connect");
    let name = ServerName::try_from("entry.example").expect("a name");
    let mut caller = connector.connect(name, stream).await.expect("a handshake");
    let sent = tokio::time::timeout(TEST_TIMEOUT, upload(&mut caller)).await;
    let sent = sent.expect("the upload ends");
    let response = read_response(&mut caller).await;
    assert_eq!((sent.is_ok(), response), (true, Ok((413, 10))), "{sent:?}");
}
