//! A leaving target gets no new requests, and a planned stop aborts none. Real processes.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Call, Fleet, TestResponse, desk_document};
use http::{Method, Request};
use serde_json::json;
use shallotstall::standin::TargetFaults;

const VMS: [&str; 3] = ["n1-a", "n1-b", "n1-c"];

async fn fleet() -> (Fleet, String) {
    let mut fleet = Fleet::new(&[("desk", "n1", 8), ("desk", "n1", 8), ("desk", "n1", 8)]).await;
    fleet.start_vms(&VMS).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 2_000.0, 2_000)).await;
    let key = fleet.issue("n1-a", "a").await;
    for vm in VMS {
        fleet.await_response(vm, "/desk/read", &key, 200).await;
    }
    // These tests need every slot, and a new target gets its slots only gradually.
    fleet
        .eventually("all targets serve with all their slots", async || {
            let mut serving = 0;
            for vm in VMS {
                let status = fleet.status(vm).await;
                let targets = status["targets"].as_object().cloned().unwrap_or_default();
                let ready = |t: &serde_json::Value| t.as_str().unwrap_or("").starts_with("Serving");
                serving += targets.values().filter(|t| ready(t)).count();
            }
            serving == 3
        })
        .await;
    for number in 0..3 {
        let faults = TargetFaults { work_ms: 150, ..TargetFaults::default() };
        fleet.target_faults(number, &faults).await;
    }
    (fleet, key)
}

/// The results of the callers' requests.
#[derive(Default)]
struct CallCounts {
    served: AtomicU64,
    /// Requests without a complete response.
    aborted: AtomicU64,
    /// Texts of the responses with another status than 200.
    refused: std::sync::Mutex<Vec<String>>,
}

impl CallCounts {
    fn add(&self, response: Option<TestResponse>) {
        match response {
            Some(response) if response.status == 200 => {
                self.served.fetch_add(1, Ordering::Relaxed);
            }
            Some(response) => self.refused.lock().expect("lock").push(response.text),
            None => {
                self.aborted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Runs `count` callers until `stop` is set. Each looks up the entry VMs, uses the result for its
/// time to live, and sends requests one after another.
async fn callers(fleet: &Fleet, key: &str, count: usize, stop: &AtomicBool) -> CallCounts {
    let counts = CallCounts::default();
    let one = async |number: usize| {
        let mut until = Instant::now();
        let mut entries = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if Instant::now() >= until {
                let asked = Instant::now();
                let found = look_up(fleet, key).await;
                (entries, until) = (found.0, asked + found.1);
            }
            let addr = &entries[number % entries.len()];
            counts.add(read_at(fleet, addr, key).await);
        }
    };
    futures_util::future::join_all((0..count).map(one)).await;
    counts
}

/// Looks up the addresses of entry VMs, with their time to live.
async fn look_up(fleet: &Fleet, key: &str) -> (Vec<String>, Duration) {
    let call = Call::get("/.shallot/lookup?service=desk").key(key);
    let response = fleet.send("n1-a", call).await.expect("a response to the look-up");
    let entries = response.body["entries"].as_array().cloned().unwrap_or_default();
    let addr = |e: &serde_json::Value| e["addr"].as_str().expect("an address").to_owned();
    let ttl = response.body["ttl_ms"].as_u64().expect("a time to live");
    (entries.iter().map(addr).collect(), Duration::from_millis(ttl))
}

async fn read_at(fleet: &Fleet, addr: &str, key: &str) -> Option<TestResponse> {
    fleet.send_to(addr, Call::get("/desk/read").key(key)).await
}

/// An entry VM is stopped gracefully while callers still use its address from earlier look-ups. All
/// of their requests are served, and the other VMs take over its slices.
#[tokio::test]
async fn a_stopped_entry_vm_aborts_no_request() {
    let (mut fleet, key) = fleet().await;
    let stop = AtomicBool::new(false);
    let mut stopped = fleet.vms.remove("n1-b").expect("a running VM");
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        stopped.signal("TERM");
        let code = stopped.wait().await;
        stop.store(true, Ordering::Relaxed);
        code
    };
    let (counts, code) = tokio::join!(callers(&fleet, &key, 12, &stop), stopping);
    assert_eq!(code, 0, "a graceful stop exits with 0");
    assert_eq!(counts.aborted.into_inner(), 0, "no request was aborted");
    assert_eq!(counts.refused.into_inner().expect("lock"), Vec::<String>::new());
    assert!(counts.served.into_inner() > 0);
    // The other VMs own its slices now.
    fleet
        .eventually("the others own all slices", async || {
            let (a, c) = (fleet.status("n1-a").await, fleet.status("n1-c").await);
            let slices = |s: &serde_json::Value| s["slices"].as_u64().unwrap_or(0);
            slices(&a) + slices(&c) == 256
        })
        .await;
}

/// A second signal ends the daemon at once, with exit code 2.
#[tokio::test]
async fn a_second_signal_ends_the_daemon_at_once() {
    let (mut fleet, _) = fleet().await;
    let mut stopped = fleet.vms.remove("n1-c").expect("a running VM");
    stopped.signal("TERM");
    // The system merges signals that are pending at the same time, so the first must have been handled.
    let ready = format!("http://{}/.shallot/ready", stopped.addr("callers"));
    fleet
        .eventually("the daemon is leaving", async || {
            let request = Request::get(&ready).body(Bytes::new()).expect("a request");
            let response = fleet.client.send_unpooled(request, Duration::from_secs(5)).await;
            response.map_or(true, |r| r.status() != 200)
        })
        .await;
    stopped.signal("TERM");
    assert_eq!(stopped.wait().await, 2);
}

/// A target is drained by an operator, or listed as leaving by the platform, and killed once it gets
/// no more requests. No request is aborted, and the other targets serve after that.
#[tokio::test]
async fn a_leaving_target_finishes_its_requests_and_gets_no_more() {
    for by_operator in [true, false] {
        let (mut fleet, key) = fleet().await;
        let stop = AtomicBool::new(false);
        let leaving = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            if by_operator {
                let subject = json!({"target": "t0"}).to_string();
                let response = fleet.operator("n1-b", Method::POST, "/v1/drains", &subject).await;
                assert_eq!(response.body["unconfirmed"], json!({}), "{}", response.text);
            } else {
                fleet.list_leaving(0).await;
            }
            let last = AtomicU64::new(u64::MAX);
            fleet
                .eventually("the target gets no new requests", async || {
                    let runs = fleet.runs(0).await.len() as u64;
                    tokio::time::sleep(Duration::from_millis(400)).await;
                    last.swap(runs, Ordering::Relaxed) == runs
                })
                .await;
            let before = fleet.runs(0).await.len();
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            assert_eq!(fleet.runs(0).await.len(), before, "a leaving target got a new request");
            stop.store(true, Ordering::Relaxed);
        };
        let (counts, ()) = tokio::join!(callers(&fleet, &key, 6, &stop), leaving);
        assert_eq!(counts.aborted.into_inner(), 0);
        assert_eq!(counts.refused.into_inner().expect("lock"), Vec::<String>::new());
        fleet.targets[0].proc.kill();
        let response = read_at(&fleet, &fleet.vm("n1-a").addr("callers").to_string(), &key).await;
        assert_eq!(response.expect("a response").status, 200, "the other targets serve");
    }
}

/// Look-ups no longer name a drained entry VM. A drain of a name that does not exist is refused.
#[tokio::test]
async fn a_drained_entry_vm_is_no_longer_named() {
    let (fleet, key) = fleet().await;
    let addr = fleet.vm("n1-b").addr("callers").to_string();
    let subject = json!({"vm": "n1-b"}).to_string();
    let response = fleet.operator("n1-a", Method::POST, "/v1/drains", &subject).await;
    assert_eq!(response.status, 200);
    for vm in VMS {
        let call = Call::get("/.shallot/lookup?service=desk").key(&key);
        let found = fleet.send(vm, call).await.expect("a response");
        assert!(!found.text.contains(&addr), "{vm} names a drained VM: {}", found.text);
    }
    let mistyped = json!({"vm": "n1-x"}).to_string();
    let response = fleet.operator("n1-a", Method::POST, "/v1/drains", &mistyped).await;
    assert_eq!(response.status, 404, "{}", response.text);
    let response = fleet.operator("n1-a", Method::DELETE, "/v1/drains", &subject).await;
    assert_eq!(response.status, 200);
}
