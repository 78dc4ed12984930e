//! TLS for callers, with a real process and a self-signed certificate.

mod common;

use std::io::{Read, Write};
use std::sync::Arc;

use common::{Fleet, desk_document};
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};

/// With a certificate set, callers are served over TLS, and a request in plain text is not.
#[tokio::test]
async fn callers_are_served_over_tls_and_plain_ones_are_not() {
    let mut fleet = Fleet::new(&[("desk", "n1", 4)]).await;
    let certificate =
        rcgen::generate_simple_self_signed(["entry.example".to_owned()]).expect("a key");
    let (chain, key) = (fleet.dir.path().join("chain.pem"), fleet.dir.path().join("key.pem"));
    std::fs::write(&chain, certificate.cert.pem()).expect("write");
    std::fs::write(&key, certificate.key_pair.serialize_pem()).expect("write");
    let files = format!("certificate = {chain:?}\nkey = {key:?}\n");
    fleet.start_vm_with("n1-a", "plaintext = true\n", &files);
    fleet.await_mesh().await;
    fleet.apply("n1-a", "desk", &desk_document(&["n1"], 200.0, 200)).await;
    let caller = fleet.issue("n1-a", "a").await;

    let mut roots = RootCertStore::empty();
    roots.add(certificate.cert.der().clone()).expect("a root");
    let provider = Arc::new(tokio_rustls::rustls::crypto::aws_lc_rs::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let config = Arc::new(config);
    let addr = fleet.vm("n1-a").addr("callers");
    let request = format!(
        "GET /desk/read HTTP/1.1\r\nhost: entry.example\r\nx-api-key: {caller}\r\nconnection: close\r\n\r\n"
    );
    fleet
        .eventually("a caller is served over TLS", async || {
            let name = ServerName::try_from("entry.example").expect("a name");
            let session = ClientConnection::new(config.clone(), name).expect("a session");
            let stream = std::net::TcpStream::connect(addr).expect("connect");
            let mut tls = StreamOwned::new(session, stream);
            tls.write_all(request.as_bytes()).expect("send over TLS");
            let mut response = Vec::new();
            // The server may close the connection without a TLS close_notify.
            let _ = tls.read_to_end(&mut response);
            String::from_utf8_lossy(&response).starts_with("HTTP/1.1 200")
        })
        .await;
    let mut plain = std::net::TcpStream::connect(addr).expect("connect");
    plain.write_all(request.as_bytes()).expect("send");
    let mut response = Vec::new();
    let _ = plain.read_to_end(&mut response);
    assert!(!String::from_utf8_lossy(&response).contains("200 OK"));
}
