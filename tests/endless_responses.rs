//! Targets, stores and callers in trouble: responses that never end, and callers that don't read
//! theirs. No client and no VM may keep more of them than it has memory for.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{Call, Fleet, TEST_TIMEOUT, desk_document};
use futures_util::future::join_all;
use http::Request;
use shallotstall::net::{HttpClient, ResponseBudget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Most bytes that a client may read of one response: the longest body, 8 MiB, with its chunk sizes, and
/// the kernel's buffers on both sides of the connection.
const READ_BYTES_MAX: u64 = 32 << 20;
/// Most memory of a daemon's process, in kB: its budget for responses twice, since a body that grows
/// is copied, and as much as a daemon without requests may use.
const DAEMON_KB_MAX: u64 = 2 * (64 << 10) + (48 << 10);
/// Targets in trouble, and requests sent to them at once.
const TARGETS: usize = 48;
/// Length of a response that callers don't read, in bytes.
const LONG_BYTES: usize = 6 << 20;
/// Length of the largest frame of a session, in bytes.
const FRAME_BYTES: usize = 12 << 20;
/// Response of a target in good order to a probe.
const LOAD_REPORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 29\r\nconnection: close\r\n\r\n\
                           {\"running\":0,\"started_ms\":1}\n";

/// What a peer writes: first `start`, then `rest` again and again until the connection ends or it has
/// been written `repeats` times.
#[derive(Clone, Copy)]
struct Script {
    name: &'static str,
    start: &'static str,
    rest: &'static [u8],
    repeats: usize,
}

const ENDLESS: usize = usize::MAX;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ntransfer-encoding: chunked\r\n\r\n";

const SCRIPTS: [Script; 6] = [
    Script {
        name: "a head without end",
        start: "HTTP/1.1 200 OK\r\n",
        rest: b"x-pad: 1\r\n",
        repeats: ENDLESS,
    },
    Script {
        name: "interim responses without end",
        start: "",
        rest: b"HTTP/1.1 102 Processing\r\n\r\n",
        repeats: ENDLESS,
    },
    Script {
        name: "no response without end",
        start: "",
        rest: b"\x00\xff junk \x01",
        repeats: ENDLESS,
    },
    Script { name: "a chunk size without end", start: CHUNKED, rest: b"0", repeats: ENDLESS },
    LARGE_CHUNKS,
    SMALL_CHUNKS,
];
const LARGE_CHUNKS: Script = Script {
    name: "a body without end",
    start: CHUNKED,
    rest: b"40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
    repeats: ENDLESS,
};
const SMALL_CHUNKS: Script = Script {
    name: "a body without end in small chunks",
    start: CHUNKED,
    rest: b"1\r\nx\r\n",
    repeats: ENDLESS,
};
const SHORT: Script = Script {
    name: "a short response",
    start: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
    rest: b"abcd",
    repeats: 1,
};
const LONG: Script = Script {
    name: "a long response",
    start: "HTTP/1.1 200 OK\r\ncontent-length: 6291456\r\n\r\n",
    rest: b"0123456789abcdef",
    repeats: LONG_BYTES / 16,
};

/// A peer that answers probes, and all other requests by a script.
struct ScriptedPeer {
    script: Script,
    /// Connections on which it writes by the script now.
    writing: AtomicUsize,
    /// Requests that it has answered or is answering by the script.
    started: AtomicUsize,
    /// Most bytes written on one connection.
    longest: AtomicU64,
}

impl ScriptedPeer {
    async fn start(script: Script) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let peer = Arc::new(Self {
            script,
            writing: AtomicUsize::new(0),
            started: AtomicUsize::new(0),
            longest: AtomicU64::new(0),
        });
        let accepting = peer.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(connection));
            }
        });
        (peer, addr)
    }

    async fn serve(self: Arc<Self>, mut connection: TcpStream) {
        while let Some(head) = read_head(&mut connection).await {
            if head.contains("/.load") {
                let _ = connection.write_all(LOAD_REPORT.as_bytes()).await;
                return;
            }
            self.started.fetch_add(1, Ordering::SeqCst);
            self.writing.fetch_add(1, Ordering::SeqCst);
            let written = self.write_script(&mut connection).await;
            self.longest.fetch_max(written, Ordering::SeqCst);
            self.writing.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns the number of bytes written until the end of the script or the connection.
    async fn write_script(&self, connection: &mut TcpStream) -> u64 {
        let (start, rest) = (self.script.start.as_bytes(), self.script.rest);
        let block_repeats = self.script.repeats.min(4_096);
        let block = rest.repeat(block_repeats);
        let mut written = start.len() as u64;
        let mut result = connection.write_all(start).await;
        let mut left = self.script.repeats;
        while result.is_ok() && left > 0 {
            let repeats = left.min(block_repeats);
            result = connection.write_all(&block[..repeats * rest.len()]).await;
            written += (repeats * rest.len()) as u64;
            if self.script.repeats != ENDLESS {
                left -= repeats;
            }
        }
        written
    }
}

/// Reads a request's head; none if the connection ends before.
async fn read_head(connection: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(connection.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn get(addr: SocketAddr, path: &str) -> Request<Bytes> {
    Request::get(format!("http://{addr}{path}")).body(Bytes::new()).expect("a request")
}

/// Guards against a client that reads bytes without end, of which no response comes, until its time
/// limit is over: it is the time limit of the caller's request.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_gives_up_on_a_response_without_end() {
    for script in SCRIPTS {
        let (peer, addr) = ScriptedPeer::start(script).await;
        let client = HttpClient::new(None);
        let error = client.send(get(addr, "/"), TEST_TIMEOUT).await.expect_err(script.name);
        assert!(error.maybe_sent, "{}: {error}", script.name);
        assert_ne!(error.step, "await response", "{}: {error}", script.name);
        let closed = async {
            while peer.writing.load(Ordering::SeqCst) > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, closed).await.expect(script.name);
        let longest = peer.longest.load(Ordering::SeqCst);
        assert!(longest <= READ_BYTES_MAX, "{}: {longest} bytes were read", script.name);
    }
}

/// Guards against a client whose large responses leave no room for small ones, and against bytes that
/// still count after their response is gone.
#[tokio::test]
async fn large_responses_leave_room_for_small_ones() {
    let budget = ResponseBudget::new(4 * LONG_BYTES);
    let client = HttpClient::with_budget(None, budget.clone());
    let (_, long) = ScriptedPeer::start(LONG).await;
    let (_, short) = ScriptedPeer::start(SHORT).await;
    let mut held = Vec::new();
    let error = loop {
        match client.send(get(long, "/"), TEST_TIMEOUT).await {
            Ok(response) => held.push(response),
            Err(e) => break e,
        }
    };
    assert_eq!(held.len(), 3, "a fourth would hold more than it leaves");
    assert!(error.over_budget && error.maybe_sent, "{error}");
    let response = client.send(get(short, "/"), TEST_TIMEOUT).await.expect("a small response");
    assert_eq!(budget.held(), 3 * LONG_BYTES + response.body().len());
    drop(response);
    let clone = held.pop().expect("a response").into_body().clone();
    assert!(client.send(get(long, "/"), TEST_TIMEOUT).await.is_err(), "the body is still in use");
    drop(clone);
    held.push(client.send(get(long, "/"), TEST_TIMEOUT).await.expect("there is room again"));
    drop(held);
    assert_eq!(budget.held(), 0);
}

/// Guards against memory that anyone may take who connects to the port for sessions.
#[tokio::test(flavor = "multi_thread")]
async fn a_session_without_the_secret_holds_no_large_frame() {
    let mut fleet = Fleet::new(&[]).await;
    fleet.start_vms(&["n1-a"]).await;
    let addr = fleet.vm("n1-a").addr("peers");
    let frame = vec![0; FRAME_BYTES - 1];
    let strangers = (0..TARGETS).map(|_| async {
        let mut connection = TcpStream::connect(addr).await.expect("a connection");
        let length = (FRAME_BYTES as u32).to_be_bytes();
        // Fails once the VM has closed the connection.
        if connection.write_all(&length).await.is_ok() && connection.write_all(&frame).await.is_ok()
        {
            let _ = connection.read_u8().await;
        }
    });
    join_all(strangers).await;
    let peak = peak_kb(&fleet, "n1-a");
    assert!(peak <= DAEMON_KB_MAX, "the VM used {peak} kB");
}

/// A fleet of these VMs whose targets, in zone `n1`, follow `script`, and a customer's key.
async fn fleet_with(script: Script, vms: &[&str]) -> (Fleet, Vec<Arc<ScriptedPeer>>, String) {
    let mut fleet = Fleet::new(&[]).await;
    let started = join_all((0..TARGETS).map(|_| ScriptedPeer::start(script))).await;
    let (targets, addrs): (Vec<_>, Vec<_>) = started.into_iter().unzip();
    fleet.list_addrs("desk", "n1", &addrs).await;
    fleet.start_vms(vms).await;
    fleet.apply(vms[0], "desk", &desk_document(&["n1", "n2"], 2_000.0, 2_000)).await;
    let key = fleet.issue(vms[0], "a").await;
    fleet
        .eventually("the VM of the targets has probed them", async || {
            let status = fleet.status(vms[vms.len() - 1]).await;
            let targets = status["targets"].as_object().cloned().unwrap_or_default();
            let ready = |t: &serde_json::Value| t.as_str().unwrap_or("").starts_with("Serving");
            targets.values().filter(|t| ready(t)).count() == TARGETS
        })
        .await;
    (fleet, targets, key)
}

/// Most memory that a VM's process has had, in kB.
fn peak_kb(fleet: &Fleet, vm: &str) -> u64 {
    let path = format!("/proc/{}/status", fleet.vm(vm).id());
    let status = std::fs::read_to_string(path).expect("a running process");
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).expect("its peak");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number of kB")
}

/// Guards against a VM that runs out of memory, and ends other callers' requests with it, since many
/// targets write bodies without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_bounds_the_responses_of_all_its_targets() {
    for script in [LARGE_CHUNKS, SMALL_CHUNKS] {
        let (fleet, targets, key) = fleet_with(script, &["n1-a"]).await;
        let requests = (0..2 * TARGETS).map(|_| {
            let call = Call::post("/desk/note", "x").key(&key);
            fleet.send("n1-a", call)
        });
        for response in join_all(requests).await {
            let response = response.expect("a response");
            // A target has read the request, so no promise that it has not run is true.
            if response.status != 503 {
                assert_eq!((response.status, response.run_status()), (502, "unknown"));
            }
        }
        let reached = targets.iter().filter(|t| t.started.load(Ordering::SeqCst) > 0).count();
        assert!(reached >= TARGETS / 2, "{}: {reached} targets were reached", script.name);
        let peak = peak_kb(&fleet, "n1-a");
        assert!(peak <= DAEMON_KB_MAX, "{}: the VM used {peak} kB", script.name);
    }
}

/// Guards against a VM that runs out of memory since callers don't read long responses, which another
/// VM has sent it.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_bounds_the_responses_that_callers_do_not_read() {
    let (fleet, targets, key) = fleet_with(LONG, &["n2-a", "n1-a"]).await;
    fleet
        .eventually("n2-a knows the targets", async || {
            let call = Call::get("/desk/read").key(&key);
            fleet.send("n2-a", call).await.is_some_and(|r| r.text.len() == LONG_BYTES)
        })
        .await;
    let addr = fleet.vm("n2-a").addr("callers");
    let mut connections = Vec::new();
    for sent in 1..=TARGETS {
        let mut connection = TcpStream::connect(addr).await.expect("a connection");
        let request = format!(
            "GET /desk/read HTTP/1.1\r\nhost: vm\r\nx-api-key: {key}\r\nconnection: close\r\n\r\n"
        );
        connection.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut start = [0; 12];
        connection.read_exact(&mut start).await.expect("a response begins");
        assert!(sent > 4 || &start == b"HTTP/1.1 200", "{sent}: {start:?}");
        connections.push(connection);
    }
    assert!(targets.iter().any(|t| t.started.load(Ordering::SeqCst) > 0));
    let peak = peak_kb(&fleet, "n2-a");
    assert!(peak <= DAEMON_KB_MAX, "the VM used {peak} kB");
}
