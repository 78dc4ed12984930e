//! Planned shifts keep to their cap, and requests of another region never overload a region's
//! targets. Real processes.

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

/// Sends `count` requests at once through the VMs of region `n`; returns how many were served. The
/// others must be refused without having run.
async fn send_many(fleet: &Fleet, key: &str, count: usize) -> usize {
    let sends = (0..count).map(|n| {
        let call = Call::get("/desk/read").key(key);
        fleet.send(["n1-a", "n1-b"][n % 2], call)
    });
    let responses = futures_util::future::join_all(sends).await;
    for response in responses.iter().flatten().filter(|r| r.status != 200) {
        assert_eq!(response.run_status(), "not-run", "{}", response.text);
    }
    responses.iter().flatten().filter(|r| r.status == 200).count()
}

/// All targets of a region crash at full load. The other region takes its requests but keeps its
/// headroom, and no target gets more requests than it has slots, even if its load reports are
/// wrong.
#[tokio::test]
async fn a_failed_region_does_not_overload_the_other() {
    for report in [None, Some(0), Some(1_000)] {
        let (mut fleet, key) = fleet().await;
        let faults = TargetFaults { work_ms: 60, report, ..TargetFaults::default() };
        set_work(&fleet, &faults).await;
        fleet.targets[0].proc.kill();
        fleet.targets[1].proc.kill();
        let mut served = 0;
        for _ in 0..10 {
            served += send_many(&fleet, &key, 60).await;
        }
        assert!(served > 0, "the other region serves some requests");
        let mut peaks = 0;
        for number in [2, 3] {
            let peak = fleet.peak_requests(number).await;
            assert!(peak <= 4, "target {number} had {peak} requests for 4 slots");
            peaks += peak;
        }
        // A fifth of the 8 slots is reserved for the region's own callers.
        assert!(peaks <= 6, "{peaks} requests of the other region at once");
    }
}

/// All targets of a region crash while the store is unreachable. VMs keep the other region's headroom
/// without asking the store.
#[tokio::test]
async fn the_headroom_holds_while_the_store_is_unreachable() {
    let (mut fleet, key) = fleet().await;
    set_work(&fleet, &TargetFaults { work_ms: 60, ..TargetFaults::default() }).await;
    fleet.store_faults(&StoreFaults { mode: StoreMode::Stalled, ..StoreFaults::default() }).await;
    fleet.targets[0].proc.kill();
    fleet.targets[1].proc.kill();
    fleet
        .eventually("the other region serves", async || send_many(&fleet, &key, 60).await > 0)
        .await;
    for _ in 0..5 {
        send_many(&fleet, &key, 60).await;
    }
    let peaks = fleet.peak_requests(2).await + fleet.peak_requests(3).await;
    assert!(peaks <= 6, "{peaks} requests of the other region at once");
}

/// A planned shift advances in steps of at most the cap while all VMs try to write each step. The
/// interval between steps is tested in tests/plan.rs.
#[tokio::test]
async fn a_shift_advances_in_steps_under_its_cap() {
    let (fleet, key) = fleet().await;
    let shift = json!({"from": "n", "to": "c", "share": 0.6}).to_string();
    for vm in ["n1-a", "c1-b"] {
        let path = "/v1/services/desk/shift";
        let response = fleet.operator(vm, Method::POST, path, &shift).await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    let mut seen = vec![0];
    fleet
        .eventually("the shift is at its goal", async || {
            let now = fleet.shifted_fraction("desk").await;
            let last = *seen.last().expect("a first entry");
            if now != last {
                seen.push(now);
            }
            now == 600_000
        })
        .await;
    assert_eq!(seen, [0, 250_000, 500_000, 600_000], "steps of at most the cap of a quarter");
    // Requests of region `n` now go to both regions.
    let before = fleet.runs(2).await.len() + fleet.runs(3).await.len();
    send_many(&fleet, &key, 2).await;
    for _ in 0..40 {
        send_many(&fleet, &key, 2).await;
    }
    let shifted = fleet.runs(2).await.len() + fleet.runs(3).await.len() - before;
    assert!((20..=75).contains(&shifted), "{shifted} of 82 requests went to the other region");
    let wrong = json!({"from": "n", "to": "mars", "share": 0.6}).to_string();
    let response = fleet.operator("n1-a", Method::POST, "/v1/services/desk/shift", &wrong).await;
    assert_eq!(response.status, 400, "{}", response.text);
}
