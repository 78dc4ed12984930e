//! Shifts stay under their cap, and no routing decision overloads a region. Real processes.

mod common;

use common::{Call, Fleet, desk_document};
use http::Method;
use serde_json::json;
use shallotstall::standin::{StoreFaults, StoreMode, TargetFaults};

const VMS: [&str; 4] = ["n1-a", "n1-b", "c1-a", "c1-b"];

async fn fleet() -> (Fleet, String) {
    let targets = [("desk", "n1", 4), ("desk", "n1", 4), ("desk", "c1", 4), ("desk", "c1", 4)];
    let mut fleet = Fleet::new(&targets).await;
    fleet.start_vms(&VMS).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1", "c1"], 5_000.0, 5_000)).await;
    let key = fleet.issue("n1-a", "a").await;
    for vm in VMS {
        fleet.await_response(vm, "/desk/read", &key, 200).await;
    }
    (fleet, key)
}

async fn set_work(fleet: &Fleet, faults: &TargetFaults) {
    for number in 0..4 {
        fleet.target_faults(number, faults).await;
    }
}

/// Many requests at once through the VMs of the north.
async fn rush(fleet: &Fleet, key: &str, count: usize) -> usize {
    let sends = (0..count).map(|n| {
        let call = Call::get("/desk/read").key(key);
        fleet.send(["n1-a", "n1-b"][n % 2], call)
    });
    let answers = futures_util::future::join_all(sends).await;
    for answer in answers.iter().flatten().filter(|a| a.status != 200) {
        assert_eq!(answer.run_status(), "not-run", "{}", answer.text);
    }
    answers.iter().flatten().filter(|a| a.status == 200).count()
}

/// A region is lost at full load: the other one keeps its headroom, and no target gets more
/// requests than it has slots, also when its load reports lie.
#[tokio::test]
async fn a_lost_region_does_not_overload_the_other() {
    for report in [None, Some(0), Some(1_000)] {
        let (mut fleet, key) = fleet().await;
        let faults = TargetFaults { work_ms: 60, report, ..TargetFaults::default() };
        set_work(&fleet, &faults).await;
        fleet.targets[0].proc.kill();
        fleet.targets[1].proc.kill();
        let mut served = 0;
        for _ in 0..10 {
            served += rush(&fleet, &key, 60).await;
        }
        assert!(served > 0, "the other region takes what it can");
        let mut peaks = 0;
        for number in [2, 3] {
            let peak = fleet.peak(number).await;
            assert!(peak <= 4, "target {number} had {peak} requests for 4 slots");
            peaks += peak;
        }
        // A fifth of the 8 slots is kept for the region's own callers.
        assert!(peaks <= 6, "{peaks} foreign requests at once");
    }
}

/// The same with the store out: the bounds need nobody to be asked.
#[tokio::test]
async fn the_headroom_holds_while_the_store_is_out() {
    let (mut fleet, key) = fleet().await;
    set_work(&fleet, &TargetFaults { work_ms: 60, ..TargetFaults::default() }).await;
    fleet.store_faults(&StoreFaults { mode: StoreMode::Stalled, ..StoreFaults::default() }).await;
    fleet.targets[0].proc.kill();
    fleet.targets[1].proc.kill();
    fleet.eventually("the other region serves", async || rush(&fleet, &key, 60).await > 0).await;
    for _ in 0..5 {
        rush(&fleet, &key, 60).await;
    }
    let peaks = fleet.peak(2).await + fleet.peak(3).await;
    assert!(peaks <= 6, "{peaks} foreign requests at once");
}

/// A planned shift goes on in steps of at most the cap, with all VMs racing to make them. The time
/// between steps is in tests/plan.rs.
#[tokio::test]
async fn a_shift_goes_on_in_steps_under_its_cap() {
    let (fleet, key) = fleet().await;
    let order = json!({"from": "n", "to": "c", "share": 0.6}).to_string();
    for vm in ["n1-a", "c1-b"] {
        let path = "/v1/services/desk/shift";
        let answer = fleet.operator(vm, Method::POST, path, &order).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    let mut seen = vec![0];
    fleet
        .eventually("the shift is at its goal", async || {
            let now = fleet.planned("desk").await;
            let last = *seen.last().expect("a first entry");
            if now != last {
                seen.push(now);
            }
            now == 600_000
        })
        .await;
    assert_eq!(seen, [0, 250_000, 500_000, 600_000], "steps of at most the cap of a quarter");
    // Requests of the north now go to both regions.
    let before = fleet.runs(2).await.len() + fleet.runs(3).await.len();
    rush(&fleet, &key, 2).await;
    for _ in 0..40 {
        rush(&fleet, &key, 2).await;
    }
    let moved = fleet.runs(2).await.len() + fleet.runs(3).await.len() - before;
    assert!((20..=75).contains(&moved), "{moved} of 82 went abroad");
    let wrong = json!({"from": "n", "to": "mars", "share": 0.6}).to_string();
    let answer = fleet.operator("n1-a", Method::POST, "/v1/services/desk/shift", &wrong).await;
    assert_eq!(answer.status, 400, "{}", answer.text);
}
