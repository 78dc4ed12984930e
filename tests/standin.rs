//! The stand-in for a target says what it is told to say of itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use shallotstall::net::HttpClient;
use shallotstall::standin::{TargetFaults, TargetStandin};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn get(addr: std::net::SocketAddr, path: &str) -> Response<Bytes> {
    let request = Request::get(format!("http://{addr}{path}"))
        .header("x-request-id", "request-7")
        .body(Bytes::new())
        .expect("a request");
    HttpClient::new(None).send_unpooled(request, TIMEOUT).await.expect("a response")
}

async fn target(faults: TargetFaults) -> TargetStandin {
    let free = "127.0.0.1:0".parse().expect("an address");
    TargetStandin::start(free, 4, faults).await.expect("a target")
}

#[tokio::test]
async fn a_leaving_target_says_so_in_all_its_responses() {
    for leaving in [true, false] {
        let target = target(TargetFaults { leaving, ..TargetFaults::default() }).await;
        for path in ["/.load", "/read"] {
            let response = get(target.addr, path).await;
            assert_eq!(response.status(), StatusCode::OK);
            assert_eq!(response.headers()["x-request-id"], "request-7");
            let said = response.headers().get("x-shallot-leaving").map(|v| v.as_bytes());
            assert_eq!(said, leaving.then_some(b"1".as_slice()), "{path}");
        }
    }
    let shedding = TargetFaults { leaving: true, shed: true, ..TargetFaults::default() };
    let response = get(target(shedding).await.addr, "/read").await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["x-shallot-leaving"], "1");
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_runs_nothing_and_counts_what_it_sheds() {
    for pause in ["2.5", "-1", "soon"] {
        let faults = TargetFaults { pause: pause.to_owned(), ..TargetFaults::default() };
        let target = target(faults).await;
        for _ in 0..2 {
            let response = get(target.addr, "/read").await;
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(response.headers()["retry-after"], pause);
            assert_eq!(response.headers()["x-shed"], "1");
        }
        assert_eq!(get(target.fault_addr, "/shed").await.body(), "2");
        assert_eq!(get(target.fault_addr, "/runs").await.body(), "[]");
        let load = get(target.addr, "/.load").await;
        assert_eq!(load.status(), StatusCode::OK, "a probe is answered");
        let load: serde_json::Value = serde_json::from_slice(load.body()).expect("JSON");
        assert!(load["started_ms"].as_u64() > Some(0), "{load}");
    }
}
