//! Every change of the configuration that is accepted reaches all VMs and is never reverted, with
//! racing operators and faults of the store. Real processes.

mod common;

use common::{Call, Fleet, desk_document};
use http::Method;
use serde_json::Value;
use shallotstall::standin::{StoreFaults, StoreMode};

const VMS: [&str; 3] = ["n1-a", "n1-b", "c1-a"];

async fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("desk", "n1", 4)]).await;
    fleet.start_vms(&VMS).await;
    fleet
}

fn version_at(status: &Value, object: &str) -> u64 {
    status["versions"][object].as_u64().unwrap_or(0)
}

async fn await_version(fleet: &Fleet, version: u64) {
    for vm in fleet.vms.keys() {
        fleet
            .eventually(&format!("{vm} has version {version}"), async || {
                version_at(&fleet.status(vm).await, "service/desk") == version
            })
            .await;
    }
}

/// Every accepted version comes into force at all VMs, and no version number is used twice, even
/// after the document has been removed.
#[tokio::test]
async fn versions_only_rise_even_across_removal() {
    let fleet = fleet().await;
    let path = "/v1/services/desk";
    for (number, vm) in VMS.into_iter().enumerate() {
        let text = desk_document(&["n1"], 10.0 + number as f64, 10);
        let response = fleet.apply(vm, "desk", &text).await;
        assert_eq!(response.body["version"], number as u64 + 1);
        assert_eq!(response.body["unconfirmed"], serde_json::json!({}));
        await_version(&fleet, number as u64 + 1).await;
    }
    // The same text again changes nothing.
    let again = fleet.apply("n1-a", "desk", &desk_document(&["n1"], 12.0, 10)).await;
    assert_eq!((&again.body["version"], &again.body["written"]), (&3.into(), &false.into()));
    let removed = fleet.operator("n1-b", Method::DELETE, path, "").await;
    assert_eq!(removed.body["version"], 4);
    await_version(&fleet, 4).await;
    let gone = fleet.operator("c1-a", Method::GET, path, "").await;
    assert_eq!(gone.status, 404);
    let back = fleet.apply("c1-a", "desk", &desk_document(&["n1"], 10.0, 10)).await;
    assert_eq!(back.body["version"], 5, "the version continues to rise");
    // Earlier versions can still be read.
    let old = fleet.operator("n1-a", Method::GET, "/v1/services/desk?version=2", "").await;
    assert!(old.body["text"].as_str().expect("a text").contains("rate = 11.0"));
}

/// Operators change a document at the same time. Each learns whether its change was accepted, and
/// no accepted change is lost.
#[tokio::test]
async fn racing_operators_learn_the_result_of_each_change() {
    let fleet = fleet().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 1.0, 10)).await;
    let texts: Vec<String> = (0..9).map(|n| desk_document(&["n1"], 100.0 + n as f64, 10)).collect();
    let sends = texts.iter().enumerate().map(|(n, text)| {
        fleet.operator(VMS[n % 3], Method::PUT, "/v1/services/desk?expect=1", text)
    });
    let responses = futures_util::future::join_all(sends).await;
    let won: Vec<usize> = (0..9).filter(|n| responses[*n].status == 200).collect();
    assert_eq!(won.len(), 1, "one change is accepted");
    for response in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(response.status, 409, "{}", response.text);
        assert!(
            response.text.contains("version 2"),
            "the conflict names the version found: {}",
            response.text
        );
    }
    let shown = fleet.operator("c1-a", Method::GET, "/v1/services/desk", "").await;
    assert_eq!(shown.body["text"].as_str(), Some(texts[won[0]].as_str()));
    // Without an expected version all are accepted, one after another.
    let sends = texts
        .iter()
        .enumerate()
        .map(|(n, text)| fleet.operator(VMS[n % 3], Method::PUT, "/v1/services/desk", text));
    let responses = futures_util::future::join_all(sends).await;
    let mut versions: Vec<u64> = responses
        .iter()
        .filter(|r| r.body["written"] == true)
        .map(|r| r.body["version"].as_u64().expect("a version"))
        .collect();
    versions.sort_unstable();
    let count = versions.len();
    versions.dedup();
    assert_eq!(versions.len(), count, "no two changes share a version");
}

/// A change whose response from the store is lost is written once and reported as written. A change
/// refused because the store is down does not come into force later.
#[tokio::test]
async fn a_change_is_settled_when_the_stores_response_is_lost() {
    let fleet = fleet().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 1.0, 10)).await;
    let lost = StoreFaults { lose_answers: 2, ..StoreFaults::default() };
    fleet.store_faults(&lost).await;
    let response = fleet.apply("n1-b", "desk", &desk_document(&["n1"], 2.0, 10)).await;
    assert_eq!((&response.body["version"], &response.body["written"]), (&2.into(), &true.into()));
    await_version(&fleet, 2).await;
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    let text = desk_document(&["n1"], 3.0, 10);
    let response = fleet.operator("n1-a", Method::PUT, "/v1/services/desk", &text).await;
    assert_eq!(response.status, 503, "{}", response.text);
    fleet.store_faults(&StoreFaults::default()).await;
    let shown = fleet.operator("n1-a", Method::GET, "/v1/services/desk", "").await;
    assert_eq!(shown.body["version"], 2, "the refused change is not in force");
}

/// Reads from the store return an old version, as if from a replica that lags. No VM reverts to it.
#[tokio::test]
async fn a_stale_store_reverts_nothing() {
    let mut fleet = fleet().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 1.0, 10)).await;
    let key = fleet.issue("n1-a", "a").await;
    await_version(&fleet, 1).await;
    // From here on, all reads return version 1.
    fleet.store_faults(&StoreFaults { stale_reads: true, ..StoreFaults::default() }).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 2.0, 10)).await;
    // A new VM reads version 1 from the store and gets version 2 from its peers.
    fleet.start_vm("n1-c", "");
    await_version(&fleet, 2).await;
    let shown = fleet.operator("n1-b", Method::GET, "/v1/services/desk", "").await;
    assert_eq!(shown.body["version"], 2, "an operator sees the version in force");
    for vm in ["n1-a", "n1-b", "c1-a", "n1-c"] {
        let status = fleet.status(vm).await;
        assert_eq!(version_at(&status, "service/desk"), 2, "{vm}");
        let response = fleet.send(vm, Call::get("/desk/read").key(&key)).await.expect("a response");
        assert_ne!(response.reason(), "no-service", "{vm}");
    }
}

/// Another tool writes an invalid document to the store. The last valid one stays in force, and the
/// status page shows the invalid one.
#[tokio::test]
async fn an_invalid_document_in_the_store_changes_nothing() {
    let fleet = fleet().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 50.0, 10)).await;
    let key = fleet.issue("n1-a", "a").await;
    fleet.await_response("c1-a", "/desk/read", &key, 200).await;
    let cases = [
        ("not TOML", "service = "),
        ("unknown field", "service = \"desk\"\nzone = \"n1\"\n"),
        ("another service's", &desk_document(&["n1"], 1.0, 1).replace("\"desk\"", "\"other\"")),
        ("negative rate", &desk_document(&["n1"], -1.0, 1)),
    ];
    for (number, (name, text)) in cases.into_iter().enumerate() {
        let response = fleet.operator("n1-a", Method::PUT, "/v1/services/desk", text).await;
        assert_eq!(response.status, 400, "{name}: {}", response.text);
        fleet.write_object("service/desk", number as u64 + 2, text).await;
        for vm in VMS {
            fleet
                .eventually(&format!("{vm} reports the invalid document: {name}"), async || {
                    let status = fleet.status(vm).await;
                    version_at(&status, "service/desk") == number as u64 + 2
                        && status["lapses"]["service/desk"].is_string()
                })
                .await;
            let call = Call::get("/desk/read").key(&key);
            let response = fleet.send(vm, call).await.expect("a response");
            assert_eq!(response.status, 200, "{name} at {vm}: {}", response.text);
        }
    }
    let response = fleet.apply("n1-a", "desk", &desk_document(&["n1"], 60.0, 10)).await;
    assert_eq!(response.body["version"], 6);
    for vm in VMS {
        fleet
            .eventually("the valid document is in force", async || {
                fleet.status(vm).await["lapses"]["service/desk"].is_null()
            })
            .await;
    }
}

/// An entry VM that starts while the store is down gets the configuration from its peers. Without
/// peers it refuses requests as not ready.
#[tokio::test]
async fn a_vm_that_starts_in_an_outage_gets_the_configuration_from_its_peers() {
    let mut fleet = fleet().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 50.0, 10)).await;
    let key = fleet.issue("n1-a", "a").await;
    fleet.await_response("n1-b", "/desk/read", &key, 200).await;
    let down = StoreFaults { mode: StoreMode::Down, ..StoreFaults::default() };
    fleet.store_faults(&down).await;
    fleet.start_vm("c1-z", "");
    let alone = fleet.send("c1-z", Call::get("/.shallot/ready")).await.expect("a response");
    assert_eq!(alone.status, 503, "{}", alone.text);
    let response = fleet.send("c1-z", Call::get("/desk/read").key(&key)).await.expect("a response");
    assert_eq!((response.reason(), response.run_status()), ("not-ready", "not-run"));
    let seed = fleet.vm("n1-a").addr("peers");
    let seeds = format!(
        "[[peers.seeds]]\nvm = \"n1-a\"\nplace = {{ region = \"n\", zone = \"n1\" }}\naddr = \"{seed}\"\n"
    );
    fleet.start_vm("c1-y", &seeds);
    fleet
        .eventually("the new VM is ready", async || {
            fleet.send("c1-y", Call::get("/.shallot/ready")).await.is_some_and(|r| r.status == 200)
        })
        .await;
    assert_eq!(version_at(&fleet.status("c1-y").await, "service/desk"), 1);
}
