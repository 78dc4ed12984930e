//! Probes of targets, and the time-outs of requests that wait for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;

use crate::net::HttpError;

use super::{Node, peers};

/// Time between probes of a target.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Longest time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between looks at waiting requests.
const TICK: Duration = Duration::from_millis(20);
/// Path at which a target reports its load.
const LOAD_PATH: &str = "/.load";

/// The load report of a target.
#[derive(serde::Deserialize)]
struct Report {
    running: u32,
}

/// Probes targets and lets waiting requests time out, until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut next_probe = Instant::now();
    loop {
        let now = Instant::now();
        for service in &node.egress.services() {
            node.egress.act(service, |book, rng| book.tick(now, rng));
        }
        let unprobed = node.egress.take_unprobed();
        if unprobed || now >= next_probe {
            next_probe = now + PROBE_EVERY;
            let node = node.clone();
            tokio::spawn(async move {
                probe_all(&node).await;
                if unprobed {
                    // The others should know of the new slots at once.
                    peers::beat_soon(&node);
                }
            });
        }
        tokio::time::sleep(TICK).await;
    }
}

async fn probe_all(node: &Node) {
    let probes = node.egress.targets().into_iter().map(|(service, known, _, _)| async move {
        let outcome = probe(node, known.addr).await;
        let now = Instant::now();
        match outcome {
            Ok(running) => node
                .egress
                .act(&service, |book, rng| book.probed(now, &known.id, Some(running), rng)),
            Err(e) if e.connection_refused => {
                node.egress.act(&service, |book, rng| book.gone(now, &known.id, rng));
            }
            Err(_) => {
                node.egress.act(&service, |book, rng| book.probed(now, &known.id, None, rng));
            }
        }
    });
    join_all(probes).await;
}

/// Asks a target for its load, on a new connection.
pub(crate) async fn probe(node: &Node, addr: SocketAddr) -> Result<u32, HttpError> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = format!("http://{addr}{LOAD_PATH}").parse().expect("addresses are URIs");
    let response = node.client.send_unpooled(request, PROBE_TIMEOUT).await?;
    let report = serde_json::from_slice::<Report>(response.body());
    report.map(|r| r.running).map_err(|e| HttpError {
        step: "read load report",
        peer: addr.to_string(),
        cause: e.to_string(),
        maybe_sent: true,
        connection_refused: false,
    })
}
