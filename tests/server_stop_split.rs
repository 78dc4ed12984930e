//! A server that stops while the heads of further requests are arriving in parts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use shallotstall::net::{AheadBudget, ConnectionLimits, Respond, Server, text_response};
use tokio::net::TcpListener;

const CONNECTIONS: usize = 400;
/// When the first rest of a head is sent after the stop begins, and the interval to the next.
const FIRST_REST: Duration = Duration::from_millis(315);
const REST_INTERVAL: Duration = Duration::from_micros(150);
/// A whole request and the start of the next one, whose last header goes on in [`REST`].
const START: &[u8] =
    b"GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\nx-note: ";
const REST: &[u8] = b"GET /within HTTP/1.1\r\nhost: a\r\n\r\n";

/// Keeps the paths of its requests.
#[derive(Default)]
struct Paths(Mutex<Vec<String>>);

#[async_trait]
impl Respond for Paths {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        self.0.lock().expect("paths").push(request.uri().path().to_owned());
        text_response(StatusCode::OK, "done")
    }
}

/// Opens connections, each with one answered request and the start of another.
fn open(to: SocketAddr) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut connection = TcpStream::connect(to).expect("connect");
        connection.set_nodelay(true).expect("no delay");
        connection.write_all(START).expect("send");
        let mut answer = Vec::new();
        while !answer.ends_with(b"done") {
            let mut byte = [0];
            connection.read_exact(&mut byte).expect("an answer");
            answer.extend(byte);
        }
        connections.push(connection);
    }
    connections
}

/// Stops a server whose connections hold the start of a head; returns the paths of its requests.
async fn stop(reads_ahead: bool) -> Vec<String> {
    let paths = Arc::new(Paths::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let server = match reads_ahead {
        true => {
            let budget = Arc::new(AheadBudget::for_memory(64 << 20));
            let limits = ConnectionLimits::default();
            Server::start_reading_ahead(listener, None, paths.clone(), limits, budget)
        }
        false => Server::start(listener, None, paths.clone()),
    };
    let server = server.expect("a server");
    let addr = server.addr;
    let mut opened = tokio::task::spawn_blocking(move || open(addr)).await.expect("connections");
    let rests = tokio::task::spawn_blocking(move || {
        std::thread::sleep(FIRST_REST);
        for connection in &mut opened {
            // The server may have closed it.
            let _ = connection.write_all(REST);
            std::thread::sleep(REST_INTERVAL);
        }
    });
    server.shutdown().await;
    rests.await.expect("rests are sent");
    std::mem::take(&mut *paths.0.lock().expect("paths"))
}

/// Guards against the rest of a head that is read as a request of its own.
#[tokio::test]
async fn the_rest_of_a_head_is_no_request() {
    let mut within = 0;
    for reads_ahead in [false, true, false, true] {
        let paths = stop(reads_ahead).await;
        let count = |path: &str| paths.iter().filter(|p| *p == path).count();
        assert_eq!(count("/first"), CONNECTIONS);
        println!("ahead {reads_ahead}: {} whole, {} within", count("/second"), count("/within"));
        within += count("/within");
    }
    assert_eq!(within, 0, "rests of heads were read as requests");
}
