//! A planned stop that is shorter than a service's time limit. Real processes.

mod common;

use common::{Call, Fleet, desk_document};

/// Time limit of the service; longer than the stop.
const ANSWER_MS: u64 = 60_000;

/// Guards against requests that a stopping VM accepts although it exits before they have to be
/// answered: it would abort them while their target runs them.
#[tokio::test]
async fn requests_that_may_outlive_the_stop_are_refused_at_once() {
    let mut fleet = Fleet::new(&[("desk", "n1", 8)]).await;
    let short_stop = "ttl_ms = 4000\n[stop]\ndrain_ms = 300\n[operators]\n";
    fleet.start_vm_with("n1-a", "ttl_ms = 300\n[operators]\n", short_stop);
    fleet.await_mesh().await;
    let document = desk_document(&["n1"], 2_000.0, 2_000);
    let document = document.replace("answer_ms = 2000", &format!("answer_ms = {ANSWER_MS}"));
    fleet.apply("n1-a", "desk", &document).await;
    let key = fleet.issue("n1-a", "a").await;
    fleet.await_response("n1-a", "/desk/read", &key, 200).await;
    let addr = fleet.vm("n1-a").addr("callers").to_string();

    let mut stopped = fleet.vms.remove("n1-a").expect("a running VM");
    stopped.signal("TERM");
    // Until the signal has been handled, requests are served.
    let refusal = loop {
        let response = fleet.send_to(&addr, Call::get("/desk/read").key(&key)).await;
        let response = response.expect("the VM still listens: requests were never refused");
        if response.status != 200 {
            break response;
        }
    };
    assert_eq!(refusal.status, 503, "{}", refusal.text);
    assert_eq!((refusal.reason(), refusal.run_status()), ("stopping", "not-run"));
    let runs = fleet.runs(0).await.len();
    let short = Call::get("/desk/read").key(&key).header("x-shallot-deadline-ms", "1500");
    let response = fleet.send_to(&addr, short).await.expect("a response");
    assert_eq!(response.status, 200, "it ends before the stop: {}", response.text);
    let once = Call::post("/desk/book", "x").key(&key).once("k-1");
    let refusal = fleet.send_to(&addr, once).await.expect("a response");
    assert_eq!((refusal.status, refusal.reason()), (503, "stopping"), "{}", refusal.text);
    assert_eq!(fleet.runs(0).await.len(), runs + 1, "refused requests have not run");
    assert_eq!(stopped.wait().await, 0);
}
