//! A request is refused for good (an unknown key, service, route or a customer who may not use the
//! route) only by a configuration that is proven to be recent. Real processes.

mod common;

use std::time::Duration;

use common::{Call, Fleet, desk_document};
use futures_util::future::join_all;
use shallotstall::model::{NotRecent, check_recent};
use shallotstall::peer::Heartbeat;
use shallotstall::standin::{StoreFaults, StoreMode};

/// The bound on the age of the configuration, by its default.
const AGE_MAX: Duration = Duration::from_millis(4_000);
/// How long a daemon is suspended: beyond the bound.
const SUSPENDED: Duration = Duration::from_millis(5_000);
/// Longer than one watch of the store, so that the response to it is from before what follows.
const AFTER_WATCH: Duration = Duration::from_millis(1_500);
/// Rounds of requests that are sent around the end of a suspension.
const ROUNDS: usize = 10;
/// The addresses of the zones of [`partitioned_fleet`].
const ZONE_IPS: (&str, &str) = ("127.0.1.", "127.0.2.");

/// The document with a route more, on which `private` is open to all, and `book` needs no idempotency
/// key.
fn changed_document() -> String {
    let document = desk_document(&["n1"], 500.0, 500);
    let document = document.replace("once = true\n", "");
    let document = document.replace("customers = [\"a\"]", "open = true");
    format!("{document}[[routes]]\nname = \"added\"\npath = \"/added\"\nopen = true\n")
}

/// A request that the first configuration refuses for good, and the changed one does not.
struct Case {
    name: &'static str,
    call: Call<'static>,
    new_key: bool,
}

fn cases() -> [Case; 6] {
    let case = |name, call, new_key| Case { name, call, new_key };
    [
        case("new key", Call::get("/desk/read"), true),
        case("new route", Call::get("/desk/added"), false),
        case("new service", Call::get("/hall/read"), false),
        case("route opened to the customer", Call::get("/desk/private"), false),
        case("route without once", Call::post("/desk/book", ""), false),
        case("look-up with a new key", Call::get("/.shallot/lookup?service=desk"), true),
    ]
}

/// The keys of the cases.
struct Keys {
    old: String,
    new: String,
}

impl Keys {
    fn call(&self, case: &Case) -> Call<'_> {
        case.call.clone().key(if case.new_key { &self.new } else { &self.old })
    }
}

/// Sends all cases to `vm` at once. Fails if one is refused for good.
async fn send_cases(fleet: &Fleet, vm: &str, keys: &Keys) {
    let cases = cases();
    let responses = join_all(cases.iter().map(|c| fleet.send(vm, keys.call(c)))).await;
    for (case, response) in cases.iter().zip(responses) {
        let response = response.expect("a response");
        let is_final = (400..500).contains(&response.status) && response.status != 429;
        assert!(!is_final, "{vm}, {}: {}", case.name, response.text);
        if response.reason() == "config-old" {
            assert!(response.body["retry_ms"].as_u64() > Some(0), "{}", response.text);
            assert_eq!(response.run_status(), "not-run", "{}", response.text);
        }
    }
}

/// Waits until `vm` serves all cases.
async fn await_cases(fleet: &Fleet, vm: &str, keys: &Keys) {
    for case in cases() {
        fleet
            .eventually(&format!("{vm} serves: {}", case.name), async || {
                fleet.send(vm, keys.call(&case)).await.is_some_and(|r| r.status == 200)
            })
            .await;
    }
}

/// Applies the first configuration through `vm` and issues the old key, of customer `b`.
async fn configure(fleet: &Fleet, vm: &str) -> String {
    fleet.apply(vm, "desk", &desk_document(&["n1"], 500.0, 500)).await;
    fleet.issue(vm, "b").await
}

/// Changes the configuration through `vm`, and issues the new key.
async fn change(fleet: &Fleet, vm: &str, old: String) -> Keys {
    let hall = desk_document(&["n1"], 500.0, 500).replace("\"desk\"", "\"hall\"");
    fleet.apply(vm, "hall", &hall).await;
    fleet.apply(vm, "desk", &changed_document()).await;
    Keys { old, new: fleet.issue(vm, "a").await }
}

/// Targets of both services.
async fn new_fleet() -> Fleet {
    Fleet::new(&[("desk", "n1", 8), ("hall", "n1", 8)]).await
}

/// What the daemons decide by, replayed: a start, copies that were complete, and a suspension from 20 s to 30 s.
#[test]
fn a_copy_is_recent_only_below_the_bound() {
    let ms = Duration::from_millis;
    let old = |age| Err(NotRecent::TooOld { age: ms(age) });
    let cases = [
        ("start", None, 10_000, Err(NotRecent::Incomplete)),
        ("complete now", Some(10_500), 10_500, Ok(())),
        ("complete during the check", Some(10_501), 10_500, Ok(())),
        ("below the bound", Some(16_000), 19_999, Ok(())),
        ("at the bound", Some(16_000), 20_000, old(4_000)),
        ("resumed", Some(19_500), 30_000, old(10_500)),
        ("a watch from before the suspension", Some(19_900), 30_001, old(10_101)),
        ("a watch that began after it", Some(30_001), 30_100, Ok(())),
    ];
    for (name, complete_at, now, expected) in cases {
        let checked = check_recent(complete_at.map(ms), ms(now), AGE_MAX);
        assert_eq!(checked, expected, "{name}");
    }
}

/// VMs that are cut off together pass the age of their copies on to each other again and again.
#[test]
fn an_age_that_is_passed_on_never_falls() {
    let ages = [0, 1, 999_999, 1_000_000, 1_000_001, 4_000_000_000].map(Duration::from_nanos);
    for age in ages {
        let heartbeat =
            Heartbeat { age_ms: Heartbeat::age_ms_of(Some(age)), ..Heartbeat::default() };
        assert!(heartbeat.age() >= Some(age), "{age:?}");
    }
    let never = Heartbeat { age_ms: Heartbeat::age_ms_of(None), ..Heartbeat::default() };
    assert_eq!(never.age(), None);
}

/// A fleet of which `n1-b` has been suspended for longer than the bound, and the configuration has been
/// changed meanwhile.
async fn suspended_fleet() -> (Fleet, Keys) {
    let mut fleet = new_fleet().await;
    fleet.start_vms(&["n1-a", "n1-b"]).await;
    let old = configure(&fleet, "n1-a").await;
    for vm in ["n1-a", "n1-b"] {
        fleet.await_response(vm, "/desk/read", &old, 200).await;
    }
    fleet.vm("n1-b").signal("STOP");
    let suspended = tokio::time::sleep(SUSPENDED);
    tokio::time::sleep(AFTER_WATCH).await;
    let keys = change(&fleet, "n1-a", old).await;
    suspended.await;
    (fleet, keys)
}

/// A daemon is suspended while the configuration changes. Requests wait for it, and more come when it
/// runs again, before it can have learnt of the change.
#[tokio::test]
async fn no_final_refusal_by_what_was_known_before_a_suspension() {
    let (fleet, keys) = suspended_fleet().await;
    let waiting = join_all((0..ROUNDS).map(|_| send_cases(&fleet, "n1-b", &keys)));
    let resumed = async {
        // The requests of `waiting` are sent first.
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.vm("n1-b").signal("CONT");
        for _ in 0..ROUNDS {
            send_cases(&fleet, "n1-b", &keys).await;
        }
    };
    tokio::join!(waiting, resumed);
    for vm in ["n1-a", "n1-b"] {
        await_cases(&fleet, vm, &keys).await;
    }
    // In touch, it refuses for good.
    fleet.await_response("n1-b", "/desk/read", "ssk_unknown", 401).await;
    fleet.await_response("n1-b", "/desk/none", &keys.old, 404).await;
}

/// A daemon is suspended, and then reaches neither the store nor its peer. All that it may get is
/// the response to its watch, from before the change.
#[tokio::test]
async fn no_final_refusal_by_a_response_that_waited_for_a_suspended_daemon() {
    let (fleet, keys) = suspended_fleet().await;
    let stalled = StoreFaults { mode: StoreMode::Stalled, ..StoreFaults::default() };
    fleet.store_faults(&stalled).await;
    fleet.vm("n1-a").signal("STOP");
    fleet.vm("n1-b").signal("CONT");
    for _ in 0..ROUNDS {
        send_cases(&fleet, "n1-b", &keys).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.store_faults(&StoreFaults::default()).await;
    fleet.vm("n1-a").signal("CONT");
    await_cases(&fleet, "n1-b", &keys).await;
}

/// A daemon has just started and can't read the store: it knows nothing yet.
#[tokio::test]
async fn no_final_refusal_before_the_first_configuration() {
    let mut fleet = new_fleet().await;
    fleet.start_vms(&["n1-a"]).await;
    let old = configure(&fleet, "n1-a").await;
    let keys = change(&fleet, "n1-a", old).await;
    for mode in [StoreMode::Down, StoreMode::Stalled] {
        fleet.store_faults(&StoreFaults { mode, ..StoreFaults::default() }).await;
        fleet.start_vm("n1-b", "");
        send_cases(&fleet, "n1-b", &keys).await;
        fleet.store_faults(&StoreFaults::default()).await;
        await_cases(&fleet, "n1-b", &keys).await;
        fleet.kill_vm("n1-b");
    }
}

/// A store's replica lags: its reads lack what its watch has announced. A daemon that starts then has
/// read all that was announced, and yet not the configuration.
#[tokio::test]
async fn no_final_refusal_by_reads_that_lag_behind_the_watch() {
    let mut fleet = new_fleet().await;
    fleet.start_vms(&["n1-a"]).await;
    let old = configure(&fleet, "n1-a").await;
    fleet.store_faults(&StoreFaults { stale_reads: true, ..StoreFaults::default() }).await;
    let keys = change(&fleet, "n1-a", old).await;
    fleet.kill_vm("n1-a");
    fleet.start_vm("n1-b", "");
    fleet
        .eventually("n1-b has read the old configuration", async || {
            fleet.status("n1-b").await["versions"]["service/desk"].as_u64() == Some(1)
        })
        .await;
    for _ in 0..ROUNDS {
        send_cases(&fleet, "n1-b", &keys).await;
    }
    fleet.store_faults(&StoreFaults::default()).await;
    await_cases(&fleet, "n1-b", &keys).await;
}

/// A zone is cut off from the store and the other zone for longer than the bound. Its daemon serves
/// what it can. Two daemons start there: one that gets nothing, and one that gets the old configuration of
/// the first, and hears from the second, which is young.
#[tokio::test]
async fn no_final_refusal_in_a_zone_that_is_cut_off() {
    let mut fleet = new_fleet().await;
    fleet.start_linked_vms(&["n1-a", "n2-a"]).await;
    let old = configure(&fleet, "n1-a").await;
    fleet.await_response("n2-a", "/desk/read", &old, 200).await;
    let cut_off = vec![ZONE_IPS.1.to_owned()];
    fleet.store_faults(&StoreFaults { cut_off, ..StoreFaults::default() }).await;
    fleet.cut_links(&[ZONE_IPS]).await;
    let keys = change(&fleet, "n1-a", old).await;
    fleet
        .eventually("n2-a is cut off for longer than the bound", async || {
            fleet.status("n2-a").await["age_ms"].as_u64() >= Some(AGE_MAX.as_millis() as u64)
        })
        .await;
    fleet.start_bound_vm("n2-b", "127.0.2.8", "127.0.2.8:0", "");
    let seeds: Vec<String> = ["n2-a", "n2-b"].map(|vm| seed(&fleet, vm)).to_vec();
    let seeds = format!("seeds = [{}]\n", seeds.join(", "));
    fleet.start_bound_vm("n2-c", "127.0.2.9", "127.0.2.9:0", &seeds);
    fleet
        .eventually("n2-c has the old configuration and hears from both", async || {
            let status = fleet.status("n2-c").await;
            let live = |vm: &str| status["peers"][vm].as_bool() == Some(true);
            status["versions"]["service/desk"].as_u64() == Some(1) && live("n2-a") && live("n2-b")
        })
        .await;
    for _ in 0..ROUNDS {
        for vm in ["n2-a", "n2-b", "n2-c"] {
            send_cases(&fleet, vm, &keys).await;
        }
    }
    fleet.cut_links(&[]).await;
    fleet.store_faults(&StoreFaults::default()).await;
    await_cases(&fleet, "n2-a", &keys).await;
}

/// A VM in the settings of another one.
fn seed(fleet: &Fleet, vm: &str) -> String {
    let addr = fleet.vm(vm).addr("peers");
    let place = "{ region = \"n\", zone = \"n2\" }";
    format!("{{ vm = \"{vm}\", place = {place}, addr = \"{addr}\" }}")
}
