//! End-to-end tests with real processes and injected faults: a non-idempotent request runs at most
//! once, a request refused as `not-run` has not run, and each caller gets the complete response to
//! its own request.

mod common;

use std::time::Duration;

use common::{Call, Fleet, desk_document};
use http::Method;
use shallotstall::standin::{StoreFaults, StoreMode, TargetFaults};

const BODY: &str = "{\"shift\":\"morning\"}";

async fn fleet() -> (Fleet, String) {
    let mut fleet = Fleet::new(&[("desk", "n1", 4), ("desk", "n1", 4)]).await;
    fleet.start_vms(&["n1-a", "n1-b"]).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 200.0, 200)).await;
    let key = fleet.issue("n1-a", "a").await;
    for vm in ["n1-a", "n1-b"] {
        fleet.await_response(vm, "/desk/read", &key, 200).await;
    }
    (fleet, key)
}

async fn runs_of(fleet: &Fleet, once: &str) -> usize {
    fleet.all_runs().await.iter().filter(|r| r.key == once).count()
}

/// A fault that is set at every target.
struct Case {
    name: &'static str,
    faults: TargetFaults,
}

/// Retries after a fault at the target must not run the booking again, and the run status in each
/// response must match the number of runs.
#[tokio::test]
async fn a_booking_runs_at_most_once_whatever_its_target_does() {
    let (fleet, key) = fleet().await;
    let base = TargetFaults { work_ms: 2, ..TargetFaults::default() };
    let cases = [
        Case { name: "none", faults: base.clone() },
        Case { name: "no response", faults: TargetFaults { stall: true, ..base.clone() } },
        Case {
            name: "truncated response",
            faults: TargetFaults { truncate: true, ..base.clone() },
        },
        Case { name: "late response", faults: TargetFaults { work_ms: 2_300, ..base.clone() } },
        Case { name: "shed", faults: TargetFaults { shed: true, ..base.clone() } },
        Case {
            name: "connections not served",
            faults: TargetFaults { silence: true, ..base.clone() },
        },
    ];
    for case in cases {
        for number in 0..2 {
            fleet.target_faults(number, &case.faults).await;
        }
        let once = format!("key of {}", case.name);
        let call = Call::post("/desk/book", BODY).key(&key).once(&once);
        for vm in ["n1-a", "n1-b", "n1-a"] {
            let answer = fleet.send(vm, call.clone()).await.expect("a response");
            let runs = runs_of(&fleet, &once).await;
            assert!(runs <= 1, "{}: ran {runs} times", case.name);
            match (answer.status, answer.run_status()) {
                (200, _) => assert_eq!(runs, 1, "{}: status 200, but ran {runs} times", case.name),
                (_, "not-run") => {
                    assert_eq!(runs, 0, "{}: ran {runs} times, but reported as not-run", case.name)
                }
                (503, "") => assert_eq!(case.name, "shed"),
                (_, "unknown" | "done") => {}
                other => panic!("{}: {other:?} {}", case.name, answer.text),
            }
        }
        for number in 0..2 {
            fleet.target_faults(number, &base).await;
        }
        fleet.await_response("n1-a", "/desk/read", &key, 200).await;
    }
}

/// A booking that its target has shed has not run: its key isn't used up, and no refusal says that
/// it ran.
#[tokio::test]
async fn a_shed_booking_may_be_sent_again_with_its_key() {
    let (fleet, key) = fleet().await;
    let call = Call::post("/desk/book", BODY).key(&key).once("shed");
    let base = TargetFaults { work_ms: 2, ..TargetFaults::default() };
    for shed in [true, false] {
        for number in 0..2 {
            fleet.target_faults(number, &TargetFaults { shed, ..base.clone() }).await;
        }
        if shed {
            let answer = fleet.send("n1-a", call.clone()).await.expect("a response");
            assert_eq!(answer.status, 503, "{}", answer.text);
            let path = format!("/v1/requests/{}", answer.request);
            let record = fleet.operator("n1-a", Method::GET, &path, "").await.text;
            assert!(record.contains("shed-by-id"), "{record}");
        }
    }
    fleet.await_response("n1-b", "/desk/read", &key, 200).await;
    fleet
        .eventually("the booking runs", async || {
            let answer = fleet.send("n1-b", call.clone()).await.expect("a response");
            let told = answer.status == 200 || answer.run_status() == "unknown";
            assert!(told, "{} {}", answer.status, answer.text);
            answer.status == 200
        })
        .await;
    assert_eq!(runs_of(&fleet, "shed").await, 1);
}

/// Concurrent requests with the same key through two entry VMs: their claims conflict in the store,
/// and only one may win.
#[tokio::test]
async fn concurrent_requests_with_the_same_key_run_once() {
    let (fleet, key) = fleet().await;
    for round in 0..5 {
        let once = format!("round {round}");
        let call = Call::post("/desk/book", BODY).key(&key).once(&once);
        let sends = (0..12).map(|n| fleet.send(["n1-a", "n1-b"][n % 2], call.clone()));
        let answers = futures_util::future::join_all(sends).await;
        let served = answers.iter().flatten().filter(|a| a.status == 200 && !a.replayed).count();
        assert_eq!(served, 1, "exactly one request is served by its own run");
        assert_eq!(runs_of(&fleet, &once).await, 1);
        for answer in answers.iter().flatten().filter(|a| a.status != 200) {
            assert_eq!(answer.run_status(), "unknown", "{}", answer.text);
        }
        // Later requests get the stored response.
        fleet
            .eventually("the response is replayed", async || {
                let answer = fleet.send("n1-b", call.clone()).await.expect("a response");
                answer.status == 200 && answer.replayed && answer.body["echo"] == BODY
            })
            .await;
        assert_eq!(runs_of(&fleet, &once).await, 1);
    }
}

/// A key that is reused for another request must not replay the first request's response.
#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let (fleet, key) = fleet().await;
    let first = Call::post("/desk/book", BODY).key(&key).once("k");
    assert_eq!(fleet.send("n1-a", first).await.expect("a response").status, 200);
    let other = Call::post("/desk/book", "{\"shift\":\"night\"}").key(&key).once("k");
    let answer = fleet.send("n1-b", other).await.expect("a response");
    assert_eq!((answer.status, answer.reason()), (422, "once-mismatch"));
    assert_eq!(runs_of(&fleet, "k").await, 1);
    let none = Call::post("/desk/book", BODY).key(&key);
    let answer = fleet.send("n1-a", none).await.expect("a response");
    assert_eq!(
        (answer.status, answer.reason(), answer.run_status()),
        (400, "no-once-key", "not-run")
    );
}

/// The entry VM is killed while a booking runs, and the caller retries through another one.
#[tokio::test]
async fn a_booking_is_not_run_again_after_its_entry_vm_died() {
    let (mut fleet, key) = fleet().await;
    for number in 0..2 {
        let faults = TargetFaults { work_ms: 700, ..TargetFaults::default() };
        fleet.target_faults(number, &faults).await;
    }
    let call = Call::post("/desk/book", BODY).key(&key).once("killed");
    let first = fleet.send("n1-a", call.clone());
    let started =
        fleet.eventually("the booking runs", async || runs_of(&fleet, "killed").await == 1);
    tokio::select! {
        answer = first => panic!("answered before the kill: {answer:?}"),
        () = started => {}
    }
    fleet.kill_vm("n1-a");
    for _ in 0..3 {
        let answer = fleet.send("n1-b", call.clone()).await.expect("a response");
        assert_eq!((answer.status, answer.run_status()), (409, "unknown"), "{}", answer.text);
    }
    assert_eq!(runs_of(&fleet, "killed").await, 1);
}

/// The store is down, or its response to the claim's write is lost.
#[tokio::test]
async fn a_booking_is_not_run_without_a_stored_claim() {
    let (fleet, key) = fleet().await;
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    let call = Call::post("/desk/book", BODY).key(&key).once("outage");
    let answer = fleet.send("n1-a", call.clone()).await.expect("a response");
    assert_eq!((answer.status, answer.reason()), (503, "once-unavailable"));
    assert_eq!(
        answer.run_status(),
        "unknown",
        "without the store, an earlier attempt may have run"
    );
    assert_eq!(answer.body["attempt"], "not-run");
    assert_eq!(runs_of(&fleet, "outage").await, 0);
    // Requests that need no claim are still served.
    fleet.await_response("n1-a", "/desk/read", &key, 200).await;
    fleet.store_faults(&StoreFaults::default()).await;
    fleet
        .eventually("the booking is taken after the outage", async || {
            fleet.send("n1-b", call.clone()).await.expect("a response").status == 200
        })
        .await;
    assert_eq!(runs_of(&fleet, "outage").await, 1);

    let lost = StoreFaults { lose_answers: 1, ..StoreFaults::default() };
    fleet.store_faults(&lost).await;
    let call = Call::post("/desk/book", BODY).key(&key).once("lost answer");
    let answer = fleet.send("n1-a", call).await.expect("a response");
    assert_eq!(answer.status, 200, "the claim is found by its nonce: {}", answer.text);
    assert_eq!(runs_of(&fleet, "lost answer").await, 1);
}

/// A request that crashes every target that runs it must not be sent to target after target.
#[tokio::test]
async fn a_request_that_crashes_targets_is_quarantined_everywhere() {
    let mut fleet = Fleet::new(&[("desk", "n1", 4), ("desk", "n1", 4), ("desk", "n1", 4)]).await;
    fleet.start_vms(&["n1-a", "n1-b"]).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 200.0, 200)).await;
    let key = fleet.issue("n1-a", "a").await;
    for number in 0..3 {
        let faults = TargetFaults { crash_on: "poison".to_owned(), ..TargetFaults::default() };
        fleet.target_faults(number, &faults).await;
        fleet.await_response("n1-b", "/desk/read", &key, 200).await;
    }
    fleet
        .eventually("no target is in state unproved", async || {
            let mut proved = 0;
            for vm in ["n1-a", "n1-b"] {
                let status = fleet.status(vm).await;
                let targets = status["targets"].as_object().cloned().unwrap_or_default();
                let ready = |t: &serde_json::Value| !t.as_str().unwrap_or("U").starts_with('U');
                proved += targets.values().filter(|t| ready(t)).count();
            }
            proved == 3
        })
        .await;
    let call = Call::get("/desk/read/poison").key(&key);
    let answer = fleet.send("n1-a", call.clone()).await.expect("a response");
    assert_eq!(answer.run_status(), "unknown", "{}", answer.text);
    for vm in ["n1-a", "n1-b", "n1-b"] {
        fleet
            .eventually("the request is quarantined", async || {
                let answer = fleet.send(vm, call.clone()).await.expect("a response");
                answer.reason() == "quarantined" && answer.run_status() == "not-run"
            })
            .await;
    }
    // The third target still serves other requests.
    fleet.await_response("n1-a", "/desk/read", &key, 200).await;
    let crashed = fleet.targets.iter_mut().filter_map(|t| t.proc.ended()).count();
    assert_eq!(crashed, 2, "the request reached one more target at most after the first crash");
}

/// Responses must not be mixed up between concurrent requests, also when some callers disconnect
/// before their response arrives.
#[tokio::test]
async fn every_caller_gets_its_own_response() {
    let (fleet, key) = fleet().await;
    for round in 0..4 {
        let paths: Vec<String> = (0..40).map(|n| format!("/desk/read/{round}/{n}")).collect();
        let sends = paths.iter().enumerate().map(|(n, path)| {
            let vm = ["n1-a", "n1-b"][n % 2];
            fleet.send(vm, Call::get(path).key(&key))
        });
        for (path, answer) in paths.iter().zip(futures_util::future::join_all(sends).await) {
            let answer = answer.expect("a response");
            if answer.status == 200 {
                let own = format!("GET {}", path.trim_start_matches("/desk"));
                assert_eq!(answer.body["path"], own.as_str());
            }
        }
        // These callers disconnect early; their late responses must not reach another caller.
        for path in &paths {
            let send = fleet.send("n1-a", Call::get(path).key(&key));
            let _ = tokio::time::timeout(Duration::from_millis(1), send).await;
        }
    }
}
