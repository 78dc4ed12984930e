//! Tells whether a target that gave no valid response has crashed, for the quarantine of requests.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::clock;
use crate::net::{PortState, check_port};
use crate::peer::TargetCrash;
use crate::steer::Pick;

use super::Front;

/// Duration of the check whether a target has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks whether a target that gave no valid response has crashed: a crashed one refuses
/// connections.
pub(super) async fn check_for_crash(
    front: Arc<Front>,
    pick: Pick,
    fingerprint: String,
    id: String,
) {
    let port = check_port(pick.addr, CRASH_CHECK_TIMEOUT).await;
    let now = clock::now();
    match port {
        PortState::Open => {}
        PortState::Unresponsive => front.state.lock().balancer.mark_failed(now, &pick.id),
        PortState::Refused => {
            front.state.lock().balancer.mark_crashed(now, &pick);
            report(&front, &pick, fingerprint, &id);
        }
    }
}

/// Logs and records that the target of the request `id` has crashed.
fn report(front: &Front, pick: &Pick, fingerprint: String, id: &str) {
    let target = pick.id.to_string();
    front.decision_log.log_limited("death", &CrashRecord { id, target: &target });
    // A process crashes only once, however many requests see it.
    let event = format!("{target}/{}/{}", pick.born_ms, pick.restarts);
    front.record_crashes(&[TargetCrash { fingerprint, event, target, ..Default::default() }]);
}

#[derive(Serialize)]
struct CrashRecord<'a> {
    id: &'a str,
    target: &'a str,
}
