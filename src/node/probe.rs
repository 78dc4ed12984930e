//! Probes the load and liveness of the targets that this VM owns, and ticks their dispatchers so
//! that requests that wait too long for a slot time out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;

use crate::net::HttpError;

use super::{Node, peers};

/// Interval of the probes of each target; a new target is probed at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of the dispatchers' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Path at which a target reports its load.
const LOAD_PATH: &str = "/.load";

/// The load report of a target.
#[derive(serde::Deserialize)]
struct LoadReport {
    running: u32,
}

/// Probes the targets and ticks the dispatchers until the daemon ends.
pub(crate) async fn run(node: Arc<Node>) {
    let mut next_probe = Instant::now();
    loop {
        let now = Instant::now();
        for service in &node.egress.services() {
            node.egress.with_dispatcher(service, |dispatcher, rng| dispatcher.tick(now, rng));
        }
        let unprobed = node.egress.take_unprobed();
        if unprobed || now >= next_probe {
            next_probe = now + PROBE_INTERVAL;
            let node = node.clone();
            tokio::spawn(async move {
                probe_all(&node).await;
                if unprobed {
                    // Lets the peers use the new slots at once.
                    peers::broadcast_heartbeat(&node);
                }
            });
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn probe_all(node: &Node) {
    let probes = node.egress.targets().into_iter().map(|(service, owned, _, _)| async move {
        let outcome = probe(node, owned.addr).await;
        let now = Instant::now();
        match outcome {
            Ok(running) => node.egress.with_dispatcher(&service, |dispatcher, rng| {
                dispatcher.record_probe(now, &owned.id, Some(running), rng)
            }),
            Err(e) if e.connection_refused => {
                node.egress.with_dispatcher(&service, |dispatcher, rng| {
                    dispatcher.record_crash(now, &owned.id, rng)
                });
            }
            Err(_) => {
                node.egress.with_dispatcher(&service, |dispatcher, rng| {
                    dispatcher.record_probe(now, &owned.id, None, rng)
                });
            }
        }
    });
    join_all(probes).await;
}

/// Asks a target for its load, on a new connection.
pub(crate) async fn probe(node: &Node, addr: SocketAddr) -> Result<u32, HttpError> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() =
        format!("http://{addr}{LOAD_PATH}").parse().expect("a socket address makes a valid URI");
    let response = node.client.send_unpooled(request, PROBE_TIMEOUT).await?;
    let report = serde_json::from_slice::<LoadReport>(response.body());
    report.map(|r| r.running).map_err(|e| HttpError {
        step: "read load report",
        peer: addr.to_string(),
        cause: e.to_string(),
        maybe_sent: true,
        connection_refused: false,
    })
}
