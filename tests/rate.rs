//! No customer gets more than its rate and burst across all entry VMs together. Real processes,
//! really killed, frozen and cut off.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Fleet, desk_document};
use shallotstall::standin::{StoreFaults, StoreMode};

const RATE: f64 = 30.0;
const BURST: u32 = 15;
const VMS: [&str; 4] = ["n1-a", "n1-b", "c1-a", "c1-b"];

async fn documents(fleet: &Fleet) -> String {
    fleet.apply("n1-a", "desk", &desk_document(&["n1", "c1"], RATE, BURST)).await;
    let key = fleet.issue("n1-a", "a").await;
    for vm in VMS {
        fleet.await_response(vm, "/desk/read", &key, 200).await;
    }
    key
}

fn targets() -> Vec<(&'static str, &'static str, u32)> {
    vec![("desk", "n1", 64), ("desk", "c1", 64)]
}

/// Sends far more than the rate through `vms` for a while, and counts what passed the rate: all
/// but the refusals for it. One bucket over the whole fleet is the oracle.
async fn overload(fleet: &Fleet, vms: &[&str], key: &str, rounds: usize) -> Overload {
    let start = Instant::now();
    let mut passed = 0;
    for _ in 0..rounds {
        let sends = (0..12).map(|n| {
            let vm = vms[n % vms.len()];
            async move {
                let call = Call::get("/desk/read").key(key).header("x-shallot-deadline-ms", "400");
                fleet.send(vm, call).await
            }
        });
        let answers = futures_util::future::join_all(sends).await;
        passed += answers.iter().flatten().filter(|a| a.status == 200).count();
    }
    Overload { passed, took: start.elapsed() }
}

struct Overload {
    passed: usize,
    took: Duration,
}

impl Overload {
    /// What one bucket admits at most in the time that was really taken.
    fn most(&self) -> f64 {
        f64::from(BURST) + RATE * self.took.as_secs_f64() * 1.01 + 1.0
    }
}

#[tokio::test]
async fn the_rate_holds_while_entry_vms_are_killed_and_restarted() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = documents(&fleet).await;
    let before = overload(&fleet, &VMS, &key, 6).await;
    assert!((before.passed as f64) <= before.most(), "{} passed", before.passed);
    let start = Instant::now();
    let mut passed = 0;
    for victim in ["c1-b", "n1-b"] {
        fleet.kill_vm(victim);
        let left: Vec<&str> = VMS.into_iter().filter(|v| *v != victim).collect();
        passed += overload(&fleet, &left, &key, 4).await.passed;
        fleet.start_vm(victim, "");
        passed += overload(&fleet, &VMS, &key, 6).await.passed;
        fleet.await_mesh().await;
    }
    let whole = Overload { passed, took: start.elapsed() };
    assert!((whole.passed as f64) <= whole.most(), "{} passed", whole.passed);
}

#[tokio::test]
async fn the_rate_holds_while_an_entry_vm_is_frozen_past_its_leases() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = documents(&fleet).await;
    let start = Instant::now();
    let mut passed = 0;
    for victim in VMS {
        fleet.vm(victim).signal("STOP");
        let left: Vec<&str> = VMS.into_iter().filter(|v| *v != victim).collect();
        // Long enough for every lease to end.
        while start.elapsed() < Duration::from_secs(1) || passed == 0 {
            passed += overload(&fleet, &left, &key, 1).await.passed;
        }
        let frozen = Instant::now();
        while frozen.elapsed() < Duration::from_millis(2_500) {
            passed += overload(&fleet, &left, &key, 1).await.passed;
        }
        fleet.vm(victim).signal("CONT");
        passed += overload(&fleet, &VMS, &key, 3).await.passed;
    }
    let whole = Overload { passed, took: start.elapsed() };
    assert!((whole.passed as f64) <= whole.most(), "{} passed", whole.passed);
    fleet.await_mesh().await;
}

#[tokio::test]
async fn the_rate_holds_while_zones_are_cut_off_and_each_goes_on() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_linked_vms(&VMS).await;
    let key = documents(&fleet).await;
    let start = Instant::now();
    let mut passed = overload(&fleet, &VMS, &key, 4).await.passed;
    // Zone from zone, then zone from zone and store.
    fleet.cut_links(&[("127.0.1.", "127.0.2.")]).await;
    passed += overload(&fleet, &VMS, &key, 8).await.passed;
    let cut_off = StoreFaults { cut_off: vec!["127.0.2.".to_owned()], ..StoreFaults::default() };
    fleet.store_faults(&cut_off).await;
    passed += overload(&fleet, &VMS, &key, 8).await.passed;
    for zone in [["n1-a", "n1-b"], ["c1-a", "c1-b"]] {
        let mut served = 0;
        fleet
            .eventually("each zone serves with its own floors", async || {
                let found = overload(&fleet, &zone, &key, 1).await.passed;
                served += found;
                passed += found;
                served >= 10
            })
            .await;
    }
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    fleet.cut_links(&[]).await;
    passed += overload(&fleet, &VMS, &key, 8).await.passed;
    fleet.store_faults(&StoreFaults::default()).await;
    passed += overload(&fleet, &VMS, &key, 4).await.passed;
    let whole = Overload { passed, took: start.elapsed() };
    assert!((whole.passed as f64) <= whole.most(), "{} passed", whole.passed);
    fleet.await_mesh().await;
}

/// The other side: what is inside the rate is not refused while demand moves between zones.
#[tokio::test]
async fn requests_inside_the_rate_are_served_wherever_they_come_in() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = documents(&fleet).await;
    let mut refused = Vec::new();
    for vm in VMS.into_iter().cycle().take(8) {
        // A third of the rate, one after another.
        for _ in 0..8 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let call = Call::get("/desk/read").key(&key);
            let answer = fleet.send(vm, call).await.expect("an answer");
            if answer.status != 200 {
                refused.push(format!("{vm}: {}", answer.text));
            }
        }
    }
    assert!(refused.is_empty(), "{refused:?}");
}
