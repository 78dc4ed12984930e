//! The end of a graceful stop: waits for the requests in progress, gives the targets and the share of
//! the rates that this VM owns to other VMs, and leaves the roster. [`DaemonStop`] says how long each
//! step may take.

use std::time::Duration;

use tokio::time::timeout;

use crate::clock;

use super::membership::MembershipError;
use super::stop_schedule::{DaemonStop, RequestsInProgress};
use super::{Node, escrow, membership, peers};

/// Interval of the checks whether a step is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs all steps after the port for callers has closed.
pub(super) async fn run(node: &Node, schedule: DaemonStop) {
    let closed_at = clock::now();
    wait_until(node, |now, requests| schedule.closes_targets(now, closed_at, requests)).await;
    close_targets(node);
    wait_until(node, |now, requests| {
        // A request may have begun to wait while the targets were closed.
        node.egress.refuse_waiting();
        schedule.may_transfer(now, requests)
    })
    .await;
    transfer_targets(node, schedule).await;
    settle_rates(node, schedule).await;
    leave_roster(node, schedule).await;
}

async fn wait_until(node: &Node, is_over: impl Fn(Duration, RequestsInProgress) -> bool) {
    while !is_over(clock::now(), requests_in_progress(node)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn requests_in_progress(node: &Node) -> RequestsInProgress {
    RequestsInProgress {
        callers: node.ingress.active(),
        claims: node.claims.pending(),
        forwarded: node.forwarded.count(),
        at_targets: node.egress.busy().into(),
    }
}

/// Ends the use of the targets, and tells the other VMs.
fn close_targets(node: &Node) {
    node.forwarded.close();
    membership::close_targets(node);
    node.egress.refuse_waiting();
    peers::broadcast_heartbeat(node);
}

async fn transfer_targets(node: &Node, schedule: DaemonStop) {
    let now = clock::now();
    let limit = schedule.roster_by(now).saturating_sub(now);
    let outcome = timeout(limit, membership::transfer_targets(node)).await;
    log_update("Transferring the targets", limit, outcome);
}

/// Returns loans, and waits until no borrower uses any rate of this VM.
async fn settle_rates(node: &Node, schedule: DaemonStop) {
    let until = schedule.settle_by(clock::now());
    escrow::return_loans(node);
    while !membership::try_release_all(node) {
        if clock::now() >= until {
            log::warn!("daemon: Some rate or targets of this VM were still in use at the end.");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Leaves the roster. If that fails, the other VMs remove this one once its port is closed.
async fn leave_roster(node: &Node, schedule: DaemonStop) {
    let now = clock::now();
    let limit = schedule.roster_by(now).saturating_sub(now);
    let outcome = timeout(limit, membership::leave(node)).await;
    log_update("Leaving the roster", limit, outcome);
}

fn log_update(
    step: &str,
    limit: Duration,
    outcome: Result<Result<(), MembershipError>, tokio::time::error::Elapsed>,
) {
    match outcome {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("fleet: {step} failed: {e}."),
        Err(_) => log::warn!("fleet: {step} took longer than {} ms.", limit.as_millis()),
    }
}
