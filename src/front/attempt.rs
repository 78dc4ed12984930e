//! Sends one request to targets: picks a target for each attempt, and decides whether to retry.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use rand::Rng;
use tokio::time::timeout;

use crate::clock;
use crate::model::TargetId;
use crate::net::{HeldBytes, HoldKind, hold_until_sent};
use crate::steer::{Pick, PickRequest, PickResult, caller_pause, rate_retry_after};

use super::Front;
use super::attempt_guard::AttemptGuard;
use super::crash_check::check_for_crash;
use super::exchange::{send, take_body};
use super::in_flight::RequestStep;
use super::request::{Admitted, RequestBody, RequestError, RequestLog};
use super::response::AttemptOutcome;

/// Least time before the deadline at which a request is still sent to a target.
const TIME_LEFT_MIN: Duration = Duration::from_millis(30);
/// Most attempts of a request that may fail without reaching a target; one more ends the request.
const UNREACHED_MAX: u32 = 4;

/// What every request takes, in bytes: two connections with small buffers, two tasks and two heads.
const REQUEST_BYTES: usize = 32 << 10;

/// Results of a request's earlier attempts.
#[derive(Default)]
struct History {
    /// Targets of the earlier attempts, and their addresses.
    avoid: Vec<TargetId>,
    addrs: Vec<SocketAddr>,
    /// Attempts that reached a target, whether it ran the request or not.
    arrivals: u32,
    /// Attempts that reached no target.
    unreached: u32,
    /// True once the request may have run.
    maybe_run: bool,
    /// Cause of the last failure.
    cause: String,
}

/// Sends a request until there is a response to forward or it may not be retried.
pub(crate) async fn run(
    front: &Arc<Front>,
    admitted: Admitted,
    mut body: RequestBody,
    log: &mut RequestLog,
) -> Result<Response<Body>, RequestError> {
    check_quarantine(front, &admitted)?;
    let held = hold_request(front)?;
    let class = admitted.retry_class;
    front.state.lock().retries.deposit(clock::now(), &admitted.service, class);
    let mut history = History::default();
    let attempts_max = admitted.route.attempts.max(1);
    loop {
        let pick = history.picked(front, admitted.deadline, pick(front, &admitted, &history))?;
        if !may_send(front, &admitted, &history) {
            return Err(history.error("stopping", "this entry VM is stopping").retry_at_once());
        }
        if clock::now() + TIME_LEFT_MIN > admitted.deadline {
            return Err(history.error("no-time", "too little time is left before the deadline"));
        }
        let Some(body) = take_body(&mut body) else {
            return Err(history.error("body-gone", "the streamed body can't be sent again"));
        };
        front.metrics.record_choice(&pick);
        let reuse = history.may_reuse(&pick);
        let outcome = attempt(front, &admitted, &pick, body, reuse, log).await?;
        let next = next_step(front, &admitted, &pick, outcome, &mut history);
        log.maybe_run = history.maybe_run;
        match next {
            Next::Respond(response) => return Ok(hold_until_sent(response, held)),
            Next::Fail(reason) => return Err(history.error(reason, "")),
            Next::Retry => {}
        }
        if history.unreached > UNREACHED_MAX || history.arrivals >= attempts_max {
            return Err(history.error("attempts", "the attempt limit is reached"));
        }
        if history.arrivals > 0 && !try_spend_retry(front, &admitted) {
            return Err(history.error("retries", "the retry budget is exhausted"));
        }
    }
}

/// Makes one attempt; fails if the deadline passes before the response.
async fn attempt(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
    reuse: bool,
    log: &mut RequestLog,
) -> Result<AttemptOutcome, RequestError> {
    // Written before sending, since a timeout or the caller's disconnect ends this function early.
    let _ = write!(log.targets, "{} in {}: ", pick.id, pick.region);
    log.in_flight.update(|r| {
        r.step = RequestStep::Target;
        r.target = pick.id.to_string();
    });
    let mut guard = AttemptGuard::new(front, pick);
    admitted.set_token_spent(true);
    // Before sending: a stop of this VM, too, ends this function early.
    log.maybe_run = true;
    let left = admitted.deadline.saturating_sub(clock::now());
    let Ok(outcome) = timeout(left, send(front, admitted, pick, body, reuse)).await else {
        guard.abort(true);
        let timeout_ms = admitted.route.timeout_ms;
        let detail = format!(
            "no response within the route's timeout of {timeout_ms} ms or the caller's deadline"
        );
        return Err(RequestError::new(StatusCode::GATEWAY_TIMEOUT, "timeout", detail));
    };
    guard.end(matches!(outcome, AttemptOutcome::Responded(_)));
    if has_run(&outcome) {
        front.state.lock().crashes.record_run(Instant::now(), &admitted.fingerprint);
    }
    record_outcome(front, pick, log, &outcome);
    Ok(outcome)
}

/// True if the target has run the request and has outlived it.
fn has_run(outcome: &AttemptOutcome) -> bool {
    use AttemptOutcome::{Failed, Responded, Withheld};
    matches!(outcome, Responded(_) | Failed(_) | Withheld { .. })
}

/// What follows an attempt.
enum Next {
    Respond(Response<Body>),
    Fail(&'static str),
    Retry,
}

/// Decides whether to respond, fail or retry after an attempt.
fn next_step(
    front: &Arc<Front>,
    admitted: &Admitted,
    pick: &Pick,
    outcome: AttemptOutcome,
    history: &mut History,
) -> Next {
    let idempotent = admitted.route.idempotent;
    match outcome {
        AttemptOutcome::Responded(response) => return Next::Respond(response),
        AttemptOutcome::NotRun { status, .. } => {
            history.arrivals += 1;
            let mut state = front.state.lock();
            if status == StatusCode::MISDIRECTED_REQUEST {
                state.balancer.mark_replaced(&pick.id);
            } else {
                state.balancer.record_rejection(clock::now(), &pick.id);
            }
            drop(state);
            history.cause = format!("target {} has not run the request ({status})", pick.id);
        }
        AttemptOutcome::Failed(response) => {
            history.arrivals += 1;
            let retry = idempotent && history.arrivals < admitted.route.attempts;
            if !retry || !can_retry(front, admitted) || !may_send(front, admitted, history) {
                return Next::Respond(response);
            }
            history.maybe_run = true;
        }
        AttemptOutcome::Withheld { status } => {
            history.arrivals += 1;
            history.maybe_run = true;
            history.cause =
                format!("target {} has run the request, but its {status} says not", pick.id);
            if !idempotent {
                return Next::Fail("answer-lost");
            }
        }
        AttemptOutcome::Unreached(cause) => {
            history.unreached += 1;
            admitted.set_token_spent(history.arrivals > 0);
            front.state.lock().balancer.mark_failed(clock::now(), &pick.id);
            history.cause = cause;
        }
        AttemptOutcome::Lost(cause) => {
            history.arrivals += 1;
            history.maybe_run = true;
            front.state.lock().balancer.record_loss(clock::now(), &pick.id);
            let (fingerprint, id) = (admitted.fingerprint.clone(), admitted.id.clone());
            tokio::spawn(check_for_crash(front.clone(), pick.clone(), fingerprint, id));
            history.cause = cause;
            if !idempotent {
                return Next::Fail("answer-lost");
            }
        }
    }
    history.avoid.push(pick.id.clone());
    history.addrs.push(pick.addr);
    Next::Retry
}

impl History {
    /// True if a connection in use again may carry the request: a late copy of the response to an earlier
    /// attempt would bear its id.
    fn may_reuse(&self, pick: &Pick) -> bool {
        !self.addrs.contains(&pick.addr)
    }

    /// The target of a choice.
    ///
    /// # Errors
    /// Fails with the reason if there is none for a request with this `deadline`.
    fn picked(
        &self,
        front: &Front,
        deadline: Duration,
        result: PickResult,
    ) -> Result<Pick, RequestError> {
        match result {
            PickResult::Target(pick) => Ok(pick),
            PickResult::Busy(late) if late > Duration::ZERO && front.ends_before(deadline) => {
                let detail = "the best target would respond after this VM's exit";
                Err(self.error("stopping", detail).retry_at_once())
            }
            PickResult::Busy(late) => {
                let detail = "the best targets are at their request limit or would respond after the deadline";
                Err(self.error("busy", detail).retry_after(late))
            }
            PickResult::Paused(left) => {
                let error = self.error("paused", "every target has asked for a pause");
                Err(error.retry_after(spread(left)))
            }
            PickResult::Limited(room) => {
                let error = self.error("limited", "every target is at the limit that it named");
                let left = deadline.saturating_sub(clock::now());
                Err(error.retry_after(rate_retry_after(room, left, rand::rng().random())))
            }
            PickResult::NoTarget => Err(self.error("no-target", "no target is available")),
        }
    }

    fn error(&self, reason: &'static str, summary: &str) -> RequestError {
        let causes = [summary, &self.cause].into_iter().filter(|c| !c.is_empty());
        let detail = causes.collect::<Vec<_>>().join("; last attempt: ");
        if self.maybe_run {
            return RequestError::new(StatusCode::BAD_GATEWAY, reason, detail);
        }
        RequestError::not_run(reason, detail)
    }
}

/// A pause that is longer by a random part, so that callers don't return in one moment.
fn spread(pause: Duration) -> Duration {
    caller_pause(pause, rand::rng().random())
}

/// Debits a retry from the budget. Returns false if the budget is exhausted.
fn try_spend_retry(front: &Front, admitted: &Admitted) -> bool {
    let class = admitted.retry_class;
    let allowed = front.state.lock().retries.try_withdraw(clock::now(), &admitted.service, class);
    front.metrics.record_retry(class, allowed);
    allowed
}

/// True if the budget allows a retry; [`try_spend_retry`] debits it when the retry is sent. A refusal is
/// counted here.
fn can_retry(front: &Front, admitted: &Admitted) -> bool {
    let class = admitted.retry_class;
    let can = front.state.lock().retries.can_withdraw(clock::now(), &admitted.service, class);
    if !can {
        front.metrics.record_retry(class, false);
    }
    can
}

/// False if this VM is stopping and may not finish the request.
fn may_send(front: &Front, admitted: &Admitted, history: &History) -> bool {
    match history.arrivals {
        0 => front.accepts(clock::now(), admitted.deadline),
        _ => front.may_retry(clock::now(), admitted.deadline),
    }
}

/// Holds what every request takes.
///
/// # Errors
/// Fails if there is no room.
fn hold_request(front: &Front) -> Result<HeldBytes, RequestError> {
    let mut held = front.target_client.budget.hold(HoldKind::Request);
    match held.try_set(REQUEST_BYTES) {
        true => Ok(held),
        false => Err(RequestError::not_run("no-memory", "too much is held for other requests")),
    }
}

fn check_quarantine(front: &Front, admitted: &Admitted) -> Result<(), RequestError> {
    let now = Instant::now();
    match front.state.lock().crashes.quarantine(now, &admitted.fingerprint) {
        Some(_) => Err(RequestError::not_run(
            "quarantined",
            "requests with this fingerprint have crashed targets",
        )),
        None => Ok(()),
    }
}

/// Rejects a request that no target can serve in time.
///
/// # Errors
/// Fails with the reason for which the request would fail after taking a token.
pub(crate) fn check_targets(
    front: &Front,
    deadline: Duration,
    choice: &PickRequest<'_>,
) -> Result<(), RequestError> {
    let refusal = front.state.lock().balancer.refusal(clock::now(), choice);
    match refusal {
        Some(result) => History::default().picked(front, deadline, result).map(|_| ()),
        None => Ok(()),
    }
}

fn pick(front: &Front, admitted: &Admitted, history: &History) -> PickResult {
    let now = clock::now();
    let choice = PickRequest {
        service: &admitted.service,
        affinity: admitted.affinity,
        region: &front.place.region,
        allowed_regions: admitted.allowed_regions.as_deref(),
        avoid: &history.avoid,
        time_left: front.time_left(now, admitted.deadline),
        cold_rate: admitted.index.service(&admitted.service).map_or(0.0, |s| s.cold_rate),
    };
    front.state.lock().balancer.pick(now, &choice)
}

fn record_outcome(front: &Front, pick: &Pick, log: &mut RequestLog, outcome: &AttemptOutcome) {
    let label = match outcome {
        AttemptOutcome::Responded(_) => "answered",
        AttemptOutcome::NotRun { .. } => "not run",
        AttemptOutcome::Failed(_) => "failed",
        AttemptOutcome::Withheld { .. } => "withheld",
        AttemptOutcome::Unreached(_) => "unreached",
        AttemptOutcome::Lost(_) => "lost",
    };
    front.metrics.record_attempt(pick.zone.as_str(), label);
    if let AttemptOutcome::NotRun { proof, .. } = outcome {
        log.proof = *proof;
    }
    let detail = match outcome {
        AttemptOutcome::Responded(r) | AttemptOutcome::Failed(r) => r.status().to_string(),
        AttemptOutcome::NotRun { status, .. } => format!("not run ({status})"),
        AttemptOutcome::Withheld { status } => format!("withheld ({status})"),
        AttemptOutcome::Unreached(cause) => format!("unreached ({cause})"),
        AttemptOutcome::Lost(cause) => format!("lost ({cause})"),
    };
    // Writing to a string can't fail.
    let _ = write!(log.targets, "{detail}; ");
}
