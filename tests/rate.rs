//! End-to-end tests of distributed rate limiting: all entry VMs together admit no more than a
//! customer's rate and burst, while real processes are killed, suspended and partitioned.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Fleet, desk_document};
use shallotstall::standin::{StoreFaults, StoreMode};

const RATE: f64 = 30.0;
const BURST: u32 = 15;
const VMS: [&str; 4] = ["n1-a", "n1-b", "c1-a", "c1-b"];

async fn apply_documents(fleet: &Fleet) -> String {
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

/// Sends many more requests than the rate allows through `vms` for `rounds` rounds, and counts those
/// that were served.
async fn overload(fleet: &Fleet, vms: &[&str], key: &str, rounds: usize) -> Overload {
    let start = Instant::now();
    let mut served = 0;
    for _ in 0..rounds {
        let sends = (0..12).map(|n| {
            let vm = vms[n % vms.len()];
            async move {
                let call = Call::get("/desk/read").key(key).header("x-shallot-deadline-ms", "400");
                fleet.send(vm, call).await
            }
        });
        let answers = futures_util::future::join_all(sends).await;
        served += answers.iter().flatten().filter(|a| a.status == 200).count();
    }
    Overload { served, duration: start.elapsed() }
}

/// The result of an overload: the number of served requests, and its duration.
struct Overload {
    served: usize,
    duration: Duration,
}

impl Overload {
    /// The most that one token bucket admits in this time, with a margin of 1 % and one request.
    fn max_served(&self) -> f64 {
        f64::from(BURST) + RATE * self.duration.as_secs_f64() * 1.01 + 1.0
    }
}

#[tokio::test]
async fn the_rate_holds_while_entry_vms_are_killed_and_restarted() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = apply_documents(&fleet).await;
    let before = overload(&fleet, &VMS, &key, 6).await;
    assert!((before.served as f64) <= before.max_served(), "{} served", before.served);
    let start = Instant::now();
    let mut served = 0;
    for victim in ["c1-b", "n1-b"] {
        fleet.kill_vm(victim);
        let others: Vec<&str> = VMS.into_iter().filter(|v| *v != victim).collect();
        served += overload(&fleet, &others, &key, 4).await.served;
        fleet.start_vm(victim, "");
        served += overload(&fleet, &VMS, &key, 6).await.served;
        fleet.await_mesh().await;
    }
    let total = Overload { served, duration: start.elapsed() };
    assert!((total.served as f64) <= total.max_served(), "{} served", total.served);
}

#[tokio::test]
async fn the_rate_holds_while_an_entry_vm_is_suspended_past_its_loans() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = apply_documents(&fleet).await;
    let start = Instant::now();
    let mut served = 0;
    for victim in VMS {
        fleet.vm(victim).signal("STOP");
        let others: Vec<&str> = VMS.into_iter().filter(|v| *v != victim).collect();
        while start.elapsed() < Duration::from_secs(1) || served == 0 {
            served += overload(&fleet, &others, &key, 1).await.served;
        }
        // Long enough for every loan to expire.
        let suspended = Instant::now();
        while suspended.elapsed() < Duration::from_millis(2_500) {
            served += overload(&fleet, &others, &key, 1).await.served;
        }
        fleet.vm(victim).signal("CONT");
        served += overload(&fleet, &VMS, &key, 3).await.served;
    }
    let total = Overload { served, duration: start.elapsed() };
    assert!((total.served as f64) <= total.max_served(), "{} served", total.served);
    fleet.await_mesh().await;
}

#[tokio::test]
async fn the_rate_holds_while_zones_are_partitioned_and_each_serves() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_linked_vms(&VMS).await;
    let key = apply_documents(&fleet).await;
    let start = Instant::now();
    let mut served = overload(&fleet, &VMS, &key, 4).await.served;
    // First partition the zones from each other, then one of them from the store, too.
    fleet.cut_links(&[("127.0.1.", "127.0.2.")]).await;
    served += overload(&fleet, &VMS, &key, 8).await.served;
    let cut_off = StoreFaults { cut_off: vec!["127.0.2.".to_owned()], ..StoreFaults::default() };
    fleet.store_faults(&cut_off).await;
    served += overload(&fleet, &VMS, &key, 8).await.served;
    for zone in [["n1-a", "n1-b"], ["c1-a", "c1-b"]] {
        let mut zone_served = 0;
        fleet
            .eventually("each zone serves with its own quotas", async || {
                let found = overload(&fleet, &zone, &key, 1).await.served;
                zone_served += found;
                served += found;
                zone_served >= 10
            })
            .await;
    }
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    fleet.cut_links(&[]).await;
    served += overload(&fleet, &VMS, &key, 8).await.served;
    fleet.store_faults(&StoreFaults::default()).await;
    served += overload(&fleet, &VMS, &key, 4).await.served;
    let total = Overload { served, duration: start.elapsed() };
    assert!((total.served as f64) <= total.max_served(), "{} served", total.served);
    fleet.await_mesh().await;
}

/// Requests within the rate must not be refused while the demand moves from VM to VM.
#[tokio::test]
async fn requests_within_the_rate_are_served_at_every_vm() {
    let mut fleet = Fleet::new(&targets()).await;
    fleet.start_vms(&VMS).await;
    let key = apply_documents(&fleet).await;
    let mut refused = Vec::new();
    for vm in VMS.into_iter().cycle().take(8) {
        // A third of the rate, one after another.
        for _ in 0..8 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let call = Call::get("/desk/read").key(&key);
            let answer = fleet.send(vm, call).await.expect("a response");
            if answer.status != 200 {
                refused.push(format!("{vm}: {}", answer.text));
            }
        }
    }
    assert!(refused.is_empty(), "{refused:?}");
}
