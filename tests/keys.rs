//! A request runs only for the customer whose key it has, no target sees a key, and a withdrawn key
//! stops working on connections that are still open. Real processes.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use bytes::Bytes;
use common::{Call, Fleet, TEST_TIMEOUT, desk_document};
use http::{Method, Request};
use shallotstall::net::HttpClient;

/// A fleet with a key of customer `a` and one of customer `b`.
struct KeyedFleet {
    fleet: Fleet,
    a: String,
    b: String,
}

async fn fleet() -> KeyedFleet {
    let mut fleet = Fleet::new(&[("desk", "n1", 4)]).await;
    fleet.start_vms(&["n1-a", "n1-b"]).await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 500.0, 500)).await;
    let a = fleet.issue("n1-a", "a").await;
    let b = fleet.issue("n1-a", "b").await;
    for vm in ["n1-a", "n1-b"] {
        fleet.await_response(vm, "/desk/read", &a, 200).await;
        fleet.await_response(vm, "/desk/read", &b, 200).await;
    }
    KeyedFleet { fleet, a, b }
}

/// Requests with the key in a header, the query, the path, a cookie and the body, plain and
/// percent-encoded. The target gets none of them with a key.
#[tokio::test]
async fn no_target_sees_a_key() {
    let KeyedFleet { fleet, a, b } = fleet().await;
    let bearer = format!("Bearer {a}");
    let other = format!("Bearer {b}");
    let cookie = format!("theme=dark; key={a}");
    let hidden = format!("x{a}x");
    let encoded: String = a.bytes().map(|byte| format!("%{byte:02x}")).collect();
    let in_query = format!("/desk/read?key={a}");
    let in_path = format!("/desk/read/{a}");
    let in_query_encoded = format!("/desk/read?key={encoded}");
    let twice = encoded.replace('%', "%25");
    let in_query_twice = format!("/desk/read?key={twice}");
    let in_body = format!("{{\"key\":\"{a}\"}}");
    let get = || Call::get("/desk/read").key(&a);
    let cases: [(&str, Call<'_>, u16); 15] = [
        ("api key", get(), 200),
        ("bearer", Call::get("/desk/read").header("authorization", &bearer), 200),
        ("upper case", Call::get("/desk/read").header("X-API-KEY", &a), 200),
        ("cookie", get().header("cookie", &cookie), 200),
        ("another header", get().header("x-debug", &hidden), 200),
        ("proxy authorization", get().header("proxy-authorization", &bearer), 200),
        ("listed in the connection header", get().header("connection", "x-api-key"), 200),
        ("referer", get().header("referer", &in_query), 200),
        ("query", Call::get(&in_query).key(&a), 400),
        ("path", Call::get(&in_path).key(&a), 400),
        ("encoded query", Call::get(&in_query_encoded).key(&a), 400),
        ("query encoded twice", Call::get(&in_query_twice).key(&a), 400),
        ("body", Call::post("/desk/note", &in_body).key(&a), 400),
        ("two keys", get().header("authorization", &other), 401),
        ("two x-api-key headers", get().header("x-api-key", &b), 401),
    ];
    for (name, call, status) in cases {
        let response = fleet.send("n1-a", call).await.expect("a response");
        assert_eq!(response.status, status, "{name}: {}", response.text);
        if status != 200 {
            assert_eq!(response.run_status(), "not-run", "{name}");
        }
    }
    for run in fleet.all_runs().await {
        for key in [&a, &b, &encoded, &twice] {
            assert!(!run.seen.contains(key.as_str()), "a target saw a key:\n{}", run.seen);
        }
    }
}

/// Headers in which a caller claims another identity are dropped, and paths that lead to another
/// customer's route are refused.
#[tokio::test]
async fn a_request_runs_for_the_customer_of_its_key() {
    let KeyedFleet { fleet, a, b } = fleet().await;
    let spoofed = [
        ("x-shallot-customer", "a"),
        ("X-Shallot-Customer", "a"),
        ("x-customer", "a"),
        ("x-customer-id", "a"),
        ("x-forwarded-user", "a"),
        ("forwarded", "for=a"),
        ("x-request-id", "forged"),
        ("connection", "x-shallot-customer"),
    ];
    for (name, value) in spoofed {
        let call = Call::get("/desk/read").key(&b).header(name, value);
        let response = fleet.send("n1-a", call).await.expect("a response");
        assert_eq!((response.status, &response.body["customer"]), (200, &"b".into()), "{name}");
    }
    for run in fleet.all_runs().await {
        let named = run.seen.matches("x-shallot-customer:").count();
        assert_eq!(named, 1, "the customer is named once:\n{}", run.seen);
        assert_ne!(run.request, "forged");
        for (name, _) in &spoofed[2..6] {
            assert!(
                !run.seen.contains(&format!("{name}:")),
                "{name} reached the target:\n{}",
                run.seen
            );
        }
    }
    let refused = [
        ("another customer's route", Call::get("/desk/private").key(&b), 403),
        ("dot segments", Call::get("/desk/read/../private").key(&b), 400),
        ("encoded dot segments", Call::get("/desk/read/%2e%2e/private").key(&b), 400),
        ("encoded slash", Call::get("/desk/read%2f..%2fprivate").key(&b), 400),
        ("empty segment", Call::get("/desk//private").key(&b), 400),
        ("unknown key", Call::get("/desk/read").key("ssk_unknown"), 401),
        ("no key", Call::get("/desk/read"), 401),
        ("no service", Call::get("/nothing/read").key(&a), 404),
        ("no route", Call::get("/desk/reader").key(&a), 404),
    ];
    for (name, call, status) in refused {
        let response = fleet.send("n1-a", call).await.expect("a response");
        assert_eq!(
            (response.status, response.run_status()),
            (status, "not-run"),
            "{name}: {}",
            response.text
        );
    }
    let call = Call::get("/desk/private").key(&a);
    assert_eq!(fleet.send("n1-b", call).await.expect("a response").status, 200);
}

/// Request smuggling: raw requests whose end the daemon and a target could see at different places.
/// None gets a second request through.
#[tokio::test]
async fn no_request_is_smuggled_in_another() {
    let KeyedFleet { fleet, a, .. } = fleet().await;
    let before = fleet.all_runs().await.len();
    let inner = "GET /desk/private HTTP/1.1\r\nhost: x\r\nx-shallot-customer: a\r\n\r\n";
    let head = format!("POST /desk/note HTTP/1.1\r\nhost: x\r\nx-api-key: {a}\r\n");
    let length = inner.len();
    let cases = [
        (
            "content-length and chunked encoding",
            format!(
                "{head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
            ),
        ),
        (
            "two content-length headers",
            format!("{head}content-length: 0\r\ncontent-length: {length}\r\n\r\n{inner}"),
        ),
        ("unknown transfer encoding", format!("{head}transfer-encoding: xchunked\r\n\r\n{inner}")),
        ("space before the colon", format!("{head}content-length : {length}\r\n\r\n{inner}")),
        ("signed length", format!("{head}content-length: +{length}\r\n\r\n{inner}")),
        (
            "trailer",
            format!(
                "{head}transfer-encoding: chunked\r\ntrailer: x-api-key\r\n\r\n2\r\nhi\r\n0\r\nx-api-key: {a}\r\n\r\n"
            ),
        ),
    ];
    let addr = fleet.vm("n1-a").addr("callers");
    for (name, bytes) in &cases {
        let responses = exchange(addr, bytes);
        assert!(!responses.contains("private"), "{name}: {responses}");
    }
    let runs = fleet.all_runs().await;
    for run in &runs[before..] {
        assert!(!run.path.contains("private"), "smuggled: {}", run.path);
        assert!(!run.seen.contains(&a), "a target saw the key:\n{}", run.seen);
    }
}

/// A key is withdrawn while its caller is connected. It stops working at once on open connections,
/// at the VM that received the withdrawal and at another one, and on a VM that starts later.
#[tokio::test]
async fn a_withdrawn_key_stops_working_on_an_open_connection() {
    let KeyedFleet { fleet, a, b } = fleet().await;
    let listed = fleet.operator("n1-a", Method::GET, "/v1/keys/a", "").await;
    // The first 12 characters, by which an operator names a key.
    let digest = listed.body["keys"][0]["digest"].as_str().expect("a digest")[..12].to_owned();
    for vm in ["n1-a", "n1-b"] {
        assert_eq!(send_pooled(&fleet.client, &fleet, vm, &a).await, 200);
    }
    let path = format!("/v1/keys/a/{digest}");
    let response = fleet.operator("n1-b", Method::DELETE, &path, "").await;
    assert_eq!(response.status, 200, "{}", response.text);
    assert_eq!(response.body["unconfirmed"], serde_json::json!({}), "every VM has confirmed");
    for vm in ["n1-a", "n1-b"] {
        assert_eq!(send_pooled(&fleet.client, &fleet, vm, &a).await, 401, "{vm}");
        assert_eq!(
            send_pooled(&fleet.client, &fleet, vm, &b).await,
            200,
            "{vm}: the key of another customer"
        );
    }
    // A VM that starts later refuses it, too.
    let mut fleet = fleet;
    fleet.start_vm("n1-c", "");
    fleet.await_mesh().await;
    fleet.await_response("n1-c", "/desk/read", &a, 401).await;
}

/// Sends a request on a pooled connection if there is one, and returns the status.
async fn send_pooled(client: &HttpClient, fleet: &Fleet, vm: &str, key: &str) -> u16 {
    let uri = format!("http://{}/desk/read", fleet.vm(vm).addr("callers"));
    let request = Request::get(uri).header("x-api-key", key).body(Bytes::new()).expect("a request");
    client.send(request, TEST_TIMEOUT).await.expect("a response").status().as_u16()
}

/// Writes raw bytes and reads all responses.
fn exchange(addr: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.set_read_timeout(Some(std::time::Duration::from_secs(3))).expect("set a timeout");
    stream.write_all(bytes.as_bytes()).expect("write");
    // The server may have closed its end already.
    let _ = stream.shutdown(Shutdown::Write);
    let mut responses = Vec::new();
    let _ = stream.read_to_end(&mut responses);
    String::from_utf8_lossy(&responses).into_owned()
}
