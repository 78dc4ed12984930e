//! A planned stop with requests of the VM's own callers that outlive it, with clients that hold a
//! connection, and signals that are no stop. Real processes.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Call, Fleet, TestResponse, desk_document};
use futures_util::future::join_all;
use shallotstall::standin::TargetFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which the requests run, in milliseconds; longer than the stop, and so is their time limit.
const LONG_WORK_MS: u64 = 40_000;
/// Requests sent at once; more than the target has slots.
const REQUESTS: usize = 12;
/// How many of them have no idempotency key; fewer than the target has slots.
const NOTES: usize = 2;

/// A fleet of one VM with one target of few slots, whose requests outlive a stop, and a customer's key.
async fn fleet() -> (Fleet, String) {
    let mut fleet = Fleet::new(&[("desk", "n1", 8)]).await;
    let short_stop = "ttl_ms = 300\n[stop]\ndrain_ms = 1000\n[operators]\n";
    fleet.start_vm_with("n1-a", "ttl_ms = 300\n[operators]\n", short_stop);
    fleet.await_mesh().await;
    let document = desk_document(&["n1"], 2_000.0, 2_000);
    let document = document.replace("answer_ms = 2000", "answer_ms = 60000");
    let document = format!("{document}[limits]\nqueue_ms = 60000\n");
    fleet.apply("n1-a", "desk", &document).await;
    let key = fleet.issue("n1-a", "a").await;
    fleet.await_response("n1-a", "/desk/read", &key, 200).await;
    let faults = TargetFaults { work_ms: LONG_WORK_MS, ..TargetFaults::default() };
    fleet.target_faults(0, &faults).await;
    (fleet, key)
}

/// Waits until requests whose path contains `path` run at the target.
async fn await_run(fleet: &Fleet, path: &str) {
    let what = format!("{path} runs at the target");
    let runs = async || fleet.runs(0).await.iter().any(|run| run.path.contains(path));
    fleet.eventually(&what, runs).await;
}

/// Guards against requests that outlive a stop and get no response, or one that is not true.
#[tokio::test]
async fn requests_that_outlive_the_stop_get_an_error_before_the_exit() {
    let (mut fleet, key) = fleet().await;
    let addr = fleet.vm("n1-a").addr("callers").to_string();
    let mut stopped = fleet.vms.remove("n1-a").expect("a running VM");
    let calls = (0..REQUESTS).map(|n| {
        let (path, id) = match n < NOTES {
            true => ("/desk/note", None),
            false => ("/desk/book", Some(format!("k-{n}"))),
        };
        let (fleet, key, addr) = (&fleet, &key, &addr);
        async move {
            let call = Call::post(path, "x").key(key);
            let call = match &id {
                Some(id) => call.once(id),
                None => call,
            };
            fleet.send_to(addr, call).await.expect("a response")
        }
    });
    let stop = async {
        await_run(&fleet, "/note").await;
        await_run(&fleet, "/book").await;
        stopped.signal("TERM");
        stopped.wait().await
    };
    let (responses, code) = tokio::join!(join_all(calls), stop);
    assert_eq!(code, 0);
    let count = |status: u16, attempt: &str| {
        let is = |r: &&TestResponse| r.status == status && r.body["attempt"] == attempt;
        responses.iter().filter(is).count()
    };
    let runs = fleet.runs(0).await;
    let ran = runs.iter().filter(|run| run.path.contains("POST")).count();
    let texts: Vec<&String> = responses.iter().map(|r| &r.text).collect();
    assert!(ran > 0 && ran < REQUESTS, "{ran} requests ran");
    assert_eq!(count(504, "unknown"), ran, "{texts:?}");
    assert_eq!(count(503, "not-run"), REQUESTS - ran, "{texts:?}");
    assert!(responses.iter().filter(|r| r.status == 504).all(|r| r.reason() == "stopping"));
}

/// Reads until the connection ends.
async fn read_all(connection: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset ends it as well.
    let _ = connection.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against requests behind one that outlives the stop on its connection: they must not run, since
/// their responses could not be written.
#[tokio::test]
async fn what_is_pipelined_behind_a_request_that_outlives_the_stop_is_not_run() {
    let (mut fleet, key) = fleet().await;
    let mut stopped = fleet.vms.remove("n1-a").expect("a running VM");
    let mut caller = TcpStream::connect(stopped.addr("callers")).await.expect("a connection");
    let get =
        |path: &str| format!("GET /desk/{path} HTTP/1.1\r\nhost: vm\r\nx-api-key: {key}\r\n\r\n");
    let requests = get("read/first") + &get("read/second") + &get("read/third");
    caller.write_all(requests.as_bytes()).await.expect("the requests are sent");
    await_run(&fleet, "/first").await;
    stopped.signal("TERM");
    let text = read_all(&mut caller).await;
    assert_eq!(stopped.wait().await, 0);
    assert!(text.starts_with("HTTP/1.1 504"), "{text}");
    assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
    let runs = fleet.runs(0).await;
    assert!(!runs.iter().any(|r| r.path.contains("second") || r.path.contains("third")));
}

/// Sends a head that promises a body, and no body.
async fn hold_connection(addr: SocketAddr) -> TcpStream {
    let mut connection = TcpStream::connect(addr).await.expect("a connection");
    let head = "PUT /v1/services/desk HTTP/1.1\r\nhost: vm\r\ncontent-length: 100\r\n\r\n";
    connection.write_all(head.as_bytes()).await.expect("the head is sent");
    connection
}

/// Guards against an exit that waits without a bound for a client of the operators' port.
#[tokio::test]
async fn an_operator_who_sends_no_more_does_not_hold_the_exit() {
    let (mut fleet, _) = fleet().await;
    let mut stopped = fleet.vms.remove("n1-a").expect("a running VM");
    let held = hold_connection(stopped.addr("operators")).await;
    // The daemon has read it once it answers a later connection.
    let ready = stopped.addr("operators");
    drop(TcpStream::connect(ready).await.expect("a connection"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    stopped.signal("TERM");
    assert_eq!(stopped.wait().await, 0);
    drop(held);
}

/// Guards against a SIGHUP that ends the daemon, and all requests in flight with it.
#[tokio::test]
async fn a_hangup_ends_neither_the_daemon_nor_its_stop() {
    let (mut fleet, key) = fleet().await;
    let addr = fleet.vm("n1-a").addr("callers").to_string();
    let mut vm = fleet.vms.remove("n1-a").expect("a running VM");
    let faults = TargetFaults { work_ms: 400, ..TargetFaults::default() };
    fleet.target_faults(0, &faults).await;
    let call = async || fleet.send_to(&addr, Call::post("/desk/note", "x").key(&key)).await;
    let hangup = async {
        await_run(&fleet, "/note").await;
        vm.signal("HUP");
    };
    let (response, ()) = tokio::join!(call(), hangup);
    assert_eq!(response.expect("a response").status, 200);
    assert_eq!(call().await.expect("a response").status, 200);
    vm.signal("TERM");
    vm.signal("HUP");
    assert_eq!(vm.wait().await, 0, "the stop goes on");
}
