//! Probes the load and liveness of the targets that this VM owns, and ticks their dispatchers so
//! that requests that wait too long for a slot time out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, Response};

use crate::model::ServiceId;
use crate::net::HttpError;
use crate::steer::TargetNotice;
use crate::targets::{NoticeReport, OwnedTarget, TargetState};

use super::{Node, notices, peers, unix_millis};

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
pub(crate) struct LoadReport {
    running: u32,
    /// When its process started, in milliseconds since the Unix epoch.
    started_ms: Option<u64>,
}

/// The result of a probe.
pub(crate) struct ProbeResult {
    /// What the target says of itself.
    notice: TargetNotice,
    /// Its load report.
    pub(crate) outcome: Result<LoadReport, HttpError>,
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

/// Probes all targets but those that have asked for a pause.
async fn probe_all(node: &Node) {
    let targets = node.egress.targets(Instant::now());
    let probes = targets.iter().filter(|t| t.state != TargetState::Paused).map(async |status| {
        let result = probe(node, status.target.addr).await;
        record(node, &status.service, &status.target, result);
    });
    join_all(probes).await;
}

fn record(node: &Node, service: &ServiceId, target: &OwnedTarget, result: ProbeResult) {
    let (now, id) = (Instant::now(), &target.id);
    let started_ms = result.outcome.as_ref().ok().and_then(|r| r.started_ms);
    if let Some(started_ms) = started_ms {
        node.egress.with_dispatcher(service, |dispatcher, _| {
            dispatcher.record_start(now, id, started_ms);
            Vec::new()
        });
    }
    // Before the probe counts as successful, so that a target that leaves gets no request.
    let (notice, said_ms) = (result.notice, unix_millis());
    let report = NoticeReport { target: id, addr: target.addr, notice, said_ms };
    notices::record(node, service, &report);
    node.egress.with_dispatcher(service, |dispatcher, rng| match result.outcome {
        Ok(report) => dispatcher.record_probe(now, id, Some(report.running), rng),
        Err(e) if e.connection_refused => dispatcher.record_crash(now, id, rng),
        Err(e) if e.over_budget => Vec::new(),
        Err(_) => dispatcher.record_probe(now, id, None, rng),
    });
}

/// Asks a target for its load, on a new connection.
pub(crate) async fn probe(node: &Node, addr: SocketAddr) -> ProbeResult {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() =
        format!("http://{addr}{LOAD_PATH}").parse().expect("a socket address makes a valid URI");
    match node.client.send_unpooled(request, PROBE_TIMEOUT).await {
        Ok(response) => {
            let notice = notices::read_own_notice(&response);
            ProbeResult { notice, outcome: parse_report(addr, &response) }
        }
        Err(e) => ProbeResult { notice: TargetNotice::default(), outcome: Err(e) },
    }
}

fn parse_report(addr: SocketAddr, response: &Response<Bytes>) -> Result<LoadReport, HttpError> {
    serde_json::from_slice(response.body()).map_err(|e| HttpError {
        step: "read load report",
        peer: addr.to_string(),
        cause: e.to_string(),
        maybe_sent: true,
        connection_refused: false,
        over_budget: false,
        spliced: false,
    })
}
