//! Health checks of targets that have failed or may be cold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;

use crate::clock;
use crate::model::{ServiceId, TargetId};
use crate::net::{full_body, header_text};

use super::Front;

/// Pause between looks for targets to probe; also the grain of all housekeeping.
const LOOK: Duration = Duration::from_millis(100);
/// Longest wait for a probe's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Probes targets for as long as the process runs.
pub(crate) async fn run(front: Arc<Front>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let now = clock::now();
        front.outbound.expire();
        let due = {
            let mut parts = front.known.parts();
            parts.book.expire(now);
            let zones = match parts.fleet.paces_cold(now) {
                true => [front.place.zone.clone()].into(),
                false => Default::default(),
            };
            parts.book.own_cold(zones);
            parts.book.due_probes(now)
        };
        for (id, addr, service) in due {
            tokio::spawn(probe(front.clone(), id, addr, service));
        }
    }
}

async fn probe(front: Arc<Front>, id: TargetId, addr: SocketAddr, service: ServiceId) {
    let found = tokio::time::timeout(PROBE_TIMEOUT, ask(&front, &id, addr, &service)).await;
    let found = found.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    if let Err(e) = &found {
        log::debug!("targets: probe of {id}: {e}.");
    }
    front.metrics.probes.inc();
    front.known.parts().book.probed(clock::now(), &id, found.ok());
}

/// Asks a target for its health: how long it stays cold.
async fn ask(
    front: &Front,
    id: &TargetId,
    addr: SocketAddr,
    service: &ServiceId,
) -> Result<Duration, String> {
    let index = front.known.index().ok_or("no configuration is known")?;
    let path = index.service(service).map_or("/", |s| s.health_path.as_str());
    let request = Request::get(path)
        .header(http::header::HOST, addr.to_string())
        .body(full_body(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let (response, _lease) =
        front.outbound.send(addr, request, false).await.map_err(|e| e.to_string())?;
    let headers = response.headers();
    if header_text(headers, &front.headers.instance) != Some(id.as_str()) {
        return Err("another target answered".to_owned());
    }
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let cold = header_text(headers, &front.headers.cold)
        .and_then(|v| v.parse::<f64>().ok())
        .unwrap_or(0.0);
    Ok(Duration::from_secs_f64(cold.clamp(0.0, 600_000.0) / 1_000.0))
}
