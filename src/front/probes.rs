//! Health checks of targets that have failed or may be cold, and periodic cleanup.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;

use crate::clock;
use crate::net::{full_body, header_text};
use crate::steer::{DueProbe, LimitNotice};

use super::Front;
use super::notices::read_notice;

/// Interval of the checks for due probes, expired targets and expired connections.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest cold-start time that a target may report, in milliseconds.
const COLD_TIME_MAX_MS: f64 = 600_000.0;

/// Probes targets and cleans up until the process ends.
pub(crate) async fn run(front: Arc<Front>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = clock::now();
        front.target_client.close_expired();
        let due = {
            let mut state = front.state.lock();
            state.balancer.expire(now);
            state.expire_evacuations(now);
            let zones = match state.fleet.paces_cold_targets(now) {
                true => [front.place.zone.clone()].into(),
                false => Default::default(),
            };
            state.balancer.set_paced_zones(zones);
            state.balancer.due_probes(now)
        };
        for target in due {
            tokio::spawn(probe(front.clone(), target));
        }
    }
}

async fn probe(front: Arc<Front>, target: DueProbe) {
    let id = &target.id;
    let result = tokio::time::timeout(PROBE_TIMEOUT, check_health(&front, &target)).await;
    let result = result.unwrap_or_else(|_| Err("no response in time".to_owned()));
    if let Err(e) = &result {
        log::debug!("targets: probing target {id} failed: {e}.");
    }
    front.metrics.probes.inc();
    front.state.lock().balancer.record_probe(clock::now(), id, result.ok());
}

/// Requests a target's health check and returns its remaining cold-start time.
async fn check_health(front: &Front, target: &DueProbe) -> Result<Duration, String> {
    let DueProbe { id, addr, service, born_ms } = target;
    let index = front.state.index().ok_or("no routing table has been received")?;
    let path = index.service(service).map_or("/", |s| s.health_path.as_str());
    let request = Request::get(path)
        .header(http::header::HOST, addr.to_string())
        .body(full_body(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let (response, _lease) =
        front.target_client.send(*addr, request, false).await.map_err(|e| e.to_string())?;
    if response.body().meter.is_spliced() {
        return Err("two responses came as one".to_owned());
    }
    let headers = response.headers();
    if header_text(headers, &front.headers.instance) != Some(id.as_str()) {
        return Err("another target responded".to_owned());
    }
    front.record_notice(id, *born_ms, read_notice(&front.headers, response.status(), headers));
    let limit = LimitNotice::from_head(&front.headers.limit, headers);
    if limit != LimitNotice::Absent {
        front.record_limit(id, *born_ms, limit);
    }
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    Ok(header_text(headers, &front.headers.cold).map_or(Duration::ZERO, parse_cold_time))
}

/// A cold-start time in milliseconds; zero if it is none, since it comes from another process.
fn parse_cold_time(text: &str) -> Duration {
    let millis = text.parse().map_or(0.0, |ms: f64| ms.clamp(0.0, COLD_TIME_MAX_MS));
    // NaN is no duration.
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}
