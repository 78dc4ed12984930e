//! The daemon obeys what targets say of themselves, also while the store is down. Real processes.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Fleet, TestResponse, desk_document, standin};
use http::Method;
use shallotstall::standin::{StoreFaults, StoreMode, TargetFaults};

const VMS: [&str; 2] = ["n1-a", "n1-b"];
const TARGETS: usize = 3;
/// Requests of one round, sent one after the other.
const ROUND: usize = 60;
/// Longest wait for a slot in [`patient_document`].
const QUEUE_TIMEOUT: Duration = Duration::from_secs(30);

fn faults() -> TargetFaults {
    TargetFaults { work_ms: 2, ..TargetFaults::default() }
}

fn leaving() -> TargetFaults {
    TargetFaults { leaving: true, ..faults() }
}

fn pausing(seconds: &str) -> TargetFaults {
    TargetFaults { pause: seconds.to_owned(), ..faults() }
}

fn document() -> String {
    desk_document(&["n1"], 2_000.0, 2_000)
}

/// Starts a fleet whose targets all serve, and stops its store.
async fn fleet_without_store(document: &str) -> (Fleet, String) {
    let mut fleet = Fleet::new(&[("desk", "n1", 8); TARGETS]).await;
    fleet.start_vms(&VMS).await;
    fleet.apply("n1-a", "desk", document).await;
    let key = fleet.issue("n1-a", "a").await;
    for vm in VMS {
        fleet.await_response(vm, "/desk/read", &key, 200).await;
    }
    await_serving(&fleet, TARGETS).await;
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    (fleet, key)
}

async fn await_serving(fleet: &Fleet, count: usize) {
    fleet
        .eventually("targets serve with all their slots", async || {
            let mut serving = 0;
            for vm in VMS {
                let status = fleet.status(vm).await;
                let targets = status["targets"].as_object().cloned().unwrap_or_default();
                let ready = |t: &serde_json::Value| t.as_str().unwrap_or("").starts_with("Serving");
                serving += targets.values().filter(|t| ready(t)).count();
            }
            serving == count
        })
        .await;
}

/// Sends a round of requests through both VMs. Returns the statuses other than 200.
async fn send_round(fleet: &Fleet, key: &str) -> Vec<u16> {
    let mut others = Vec::new();
    for number in 0..ROUND {
        let vm = VMS[number % VMS.len()];
        let response = fleet.send(vm, Call::get("/desk/read").key(key)).await;
        let status = response.expect("a response").status;
        others.extend((status != 200).then_some(status));
    }
    others
}

/// A release with the store down: the targets' own words are the only ones.
#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_no_requests_from_then_on() {
    let (mut fleet, key) = fleet_without_store(&document()).await;
    let mut late = Vec::new();
    for number in 0..TARGETS - 1 {
        fleet.target_faults(number, &leaving()).await;
        let before = fleet.runs(number).await.len();
        assert_eq!(send_round(&fleet, &key).await, Vec::<u16>::new());
        late.push(fleet.runs(number).await.len() - before);
    }
    println!("requests at targets that had said that they leave: {late:?} of {ROUND} each");
    // The first response carries the word, unless that of a probe did.
    assert!(late.iter().all(|l| *l <= 1), "{late:?} of {ROUND}");

    // Another process at the address starts clean.
    let addr = fleet.targets[0].proc.addr("addr").to_string();
    fleet.targets[0].proc.kill();
    fleet.targets[0].proc =
        standin(&["target", "--listen", &addr, "--slots", "8", "--work-ms", "2"]);
    fleet
        .eventually("the new process gets requests", async || {
            send_round(&fleet, &key).await;
            !fleet.runs(0).await.is_empty()
        })
        .await;
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_no_requests_until_it_is_over() {
    let (fleet, key) = fleet_without_store(&document()).await;
    fleet.target_faults(0, &pausing("120")).await;
    // A full window is under way when the first 503 comes.
    let burst = (0..16).map(|n| fleet.send(VMS[n % 2], Call::get("/desk/read").key(&key)));
    futures_util::future::join_all(burst).await;
    // At least one of these finds out, if none of the burst has.
    send_round(&fleet, &key).await;
    let before = fleet.shed(0).await;
    assert!(before >= 1);
    assert_eq!(send_round(&fleet, &key).await, Vec::<u16>::new());
    let late = fleet.shed(0).await - before;
    println!("requests at a target in its pause: {late} of {ROUND}");
    assert_eq!(late, 0, "of {ROUND}");

    // A value that makes no sense is no pause, and a response to another request says nothing.
    let stale = TargetFaults { stale_id: true, ..pausing("120") };
    for (number, faults) in [(1, pausing("soon")), (2, stale)] {
        fleet.target_faults(number, &faults).await;
        fleet
            .eventually("the target gets more requests", async || {
                send_round(&fleet, &key).await;
                fleet.shed(number).await > 3
            })
            .await;
    }
}

/// A document whose requests may wait for long, so that a test can tell what is rejected at once.
fn patient_document() -> String {
    let text = document().replacen("answer_ms = 2000", "answer_ms = 60000", 1);
    text + "[limits]\nqueue_ms = 30000\nretries = 1.0\n"
}

/// Callers learn at once that no target takes requests, and from when one may.
#[tokio::test]
async fn a_request_that_no_target_takes_is_rejected_at_once() {
    let (fleet, key) = fleet_without_store(&patient_document()).await;
    let start = Instant::now();
    for number in 0..TARGETS {
        fleet.target_faults(number, &pausing("300")).await;
    }
    for vm in VMS {
        let rejected = await_reason(&fleet, vm, &key, "paused").await;
        let retry = Duration::from_millis(rejected.body["retry_ms"].as_u64().expect("a time"));
        let asked = Duration::from_secs(300);
        assert!(retry + start.elapsed() >= asked, "{retry:?} is before the pauses end");
        assert!(retry <= asked.mul_f64(1.2) + Duration::from_secs(1), "{retry:?}");
        assert_eq!(rejected.run_status(), "not-run");
    }
}

#[tokio::test]
async fn a_request_is_rejected_at_once_if_all_targets_leave() {
    let (fleet, key) = fleet_without_store(&patient_document()).await;
    for number in 0..TARGETS {
        fleet.target_faults(number, &leaving()).await;
    }
    for vm in VMS {
        let rejected = await_reason(&fleet, vm, &key, "no-target").await;
        assert_eq!(rejected.body["detail"], "every target is leaving");
        assert_eq!(rejected.run_status(), "not-run");
    }
}

/// Sends requests until one is rejected with this reason before it has reached a target. None waits
/// for its time in the queue.
async fn await_reason(fleet: &Fleet, vm: &str, key: &str, reason: &str) -> TestResponse {
    let mut found = None;
    fleet
        .eventually("a request is rejected", async || {
            let sent = Instant::now();
            let response = fleet.send(vm, Call::get("/desk/read").key(key)).await;
            let response = response.expect("a response");
            assert!(sent.elapsed() < QUEUE_TIMEOUT / 2, "it waited: {}", response.text);
            let is_sought = response.reason() == reason && response.run_status() == "not-run";
            found = is_sought.then_some(response);
            is_sought
        })
        .await;
    found.expect("a rejection")
}

/// Operators see why a target gets no requests.
#[tokio::test]
async fn records_status_and_metrics_name_a_notice() {
    let (fleet, key) = fleet_without_store(&document()).await;
    fleet.target_faults(0, &leaving()).await;
    fleet.target_faults(1, &pausing("300")).await;
    for text in ["t0 leaving, said ", "t1 paused, asked "] {
        fleet
            .eventually("the record of a request names the target", async || {
                let vm = VMS[0];
                let response = fleet.send(vm, Call::get("/desk/read").key(&key)).await;
                let path = format!("/v1/requests/{}", response.expect("a response").request);
                fleet.operator(vm, Method::GET, &path, "").await.text.contains(text)
            })
            .await;
    }
    let (mut status, mut metrics) = (String::new(), String::new());
    for vm in VMS {
        status += &fleet.status(vm).await.to_string();
        metrics += &fleet.operator(vm, Method::GET, "/metrics", "").await.text;
    }
    assert!(status.contains("Leaving, 0 of 8 busy; leaving, said "), "{status}");
    assert!(status.contains("Paused, 0 of 8 busy; paused, asked "), "{status}");
    for kind in ["leaving", "pause"] {
        let line = format!("shallotstall_target_notices_total{{kind=\"{kind}\"}} 1\n");
        assert_eq!(metrics.matches(&line).count(), 1, "{line}");
    }
}
