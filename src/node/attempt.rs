//! The attempts of one admitted request: chooses the VM for each attempt, sends the request there,
//! and decides whether a failed attempt may be retried. Called by the ingress once a token is
//! taken.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, StatusCode};
use rand::Rng;

use crate::model::{RegionId, VmId};
use crate::peer::{Answer, Body, Forward, Outcome, TargetCrash, decode_outcome};
use crate::route::{Candidate, Origin, choose_vm};
use crate::targets::Outage;

use super::ingress::Admitted;
use super::records::RecordBuilder;
use super::refusal::{Reason, Refusal};
use super::response_head::SHED_HEADER;
use super::target_call::failed_answer;
use super::{Node, egress, outage, peers, sanitize};

/// Most attempts of one request, over all VMs.
const MAX_ATTEMPTS: u32 = 4;
/// Interval at which a request looks for a VM with targets while there is none.
const PICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a peer's response beyond the time limit of its target.
const HOP_MARGIN: Duration = Duration::from_millis(150);

/// What the earlier attempts of a request have shown.
#[derive(Debug, Default)]
struct AttemptHistory {
    attempts: u32,
    /// VMs that had no free slot, could not be reached or sent no answer.
    avoid_vms: Vec<VmId>,
    /// Targets that failed.
    avoid_targets: Vec<String>,
    /// Targets that crashed while they ran the request.
    crashes: u32,
    /// True once a byte may have reached a target.
    may_have_run: bool,
    /// What the last attempt reported, in words.
    cause: String,
    /// The reason to refuse the request if no further attempt is made.
    reason: Option<Reason>,
    /// Why there was no VM for a further attempt, if the targets themselves have said it.
    outage: Option<Outage>,
}

impl AttemptHistory {
    /// Makes no further attempt, since this VM is stopping. The outcome of an earlier attempt says more.
    fn stop(&mut self) {
        if self.reason.is_none() {
            self.reason = Some(Reason::Stopping);
            self.cause = "this VM is stopping".to_owned();
        }
    }

    /// Gives up an attempt in progress, since this VM is about to exit.
    fn cut(&mut self) {
        self.may_have_run = true;
        self.reason = Some(Reason::Stopping);
        self.cause = "this VM is stopping, and the target has not answered yet".to_owned();
    }
}

/// What follows an attempt.
enum NextStep {
    Return(Answer),
    Retry,
    Stop,
}

/// Sends a request until it has a response, may not be retried, or its time is over.
pub(crate) async fn run(
    node: &Node,
    admitted: &Admitted,
    builder: &mut RecordBuilder,
) -> Result<Response<Bytes>, Refusal> {
    let mut history = AttemptHistory::default();
    let sample = rand::rng().random_range(0.0..1.0);
    while history.attempts < MAX_ATTEMPTS {
        history.outage = None;
        let now = Instant::now();
        let left = admitted.left(now);
        if left.is_zero() {
            history.reason = Some(Reason::TimedOut);
            break;
        }
        if !may_send(node, &history, left) {
            history.stop();
            break;
        }
        let Some(candidate) = pick_candidate(node, admitted, &history, now, sample) else {
            let wait = wait_left(admitted, builder, now);
            history.outage = outage::find(node, admitted, now, &full_regions(node, admitted, now));
            let outlasts = history.outage.is_some_and(|o| o.time_left() > wait);
            // The ownership of the targets may be in transfer from one VM to another.
            if history.attempts == 0 && !wait.is_zero() && !outlasts {
                tokio::time::sleep(PICK_INTERVAL).await;
                continue;
            }
            break;
        };
        history.attempts += 1;
        let answer = tokio::select! {
            // Of both, the answer says more: also that no target got the request.
            biased;
            answer = send(node, admitted, &candidate, &history, left) => answer,
            () = node.lifecycle.requests_end() => {
                history.cut();
                break;
            }
        };
        let mut text =
            format!("{:?} by {} {}", decode_outcome(&answer), answer.target, answer.cause);
        if !answer.passed_over.is_empty() {
            text.push_str(&format!("; passed over: {}", answer.passed_over));
        }
        builder.add_step(
            "forward",
            format!("to {} in {}: {text}", candidate.vm, candidate.place.zone),
        );
        if is_shed(&answer) {
            builder.shed_proof = Some(answer.cause.clone());
        }
        match decide_next(node, admitted, &candidate, answer, &mut history) {
            NextStep::Return(answer) => return to_response(&answer),
            NextStep::Retry => {}
            NextStep::Stop => break,
        }
    }
    Err(refuse(history))
}

/// False if this VM is stopping and may not finish the request.
fn may_send(node: &Node, history: &AttemptHistory, left: Duration) -> bool {
    match history.attempts {
        0 => node.lifecycle.accepts(left),
        _ => node.lifecycle.may_retry(left),
    }
}

/// Time for which a request may still wait until any VM has targets of the service.
fn wait_left(admitted: &Admitted, builder: &RecordBuilder, now: Instant) -> Duration {
    let limit = Duration::from_millis(admitted.document.limits.queue_ms);
    let until = admitted.deadline.min(builder.start + limit);
    until.saturating_duration_since(now)
}

fn pick_candidate(
    node: &Node,
    admitted: &Admitted,
    history: &AttemptHistory,
    now: Instant,
    sample: f64,
) -> Option<Candidate> {
    let mut candidates = node.mesh.candidates(now, &admitted.service);
    candidates.extend(own_candidate(node, admitted, now));
    candidates.retain(|c| !history.avoid_vms.contains(&c.vm));
    let full_regions = full_regions(node, admitted, now);
    let origin = Origin {
        place: &node.me.place,
        shift_region: admitted.shift_region(&node.me.place.region, sample),
        headroom: admitted.document.limits.headroom,
        full_regions: &full_regions,
    };
    choose_vm(&origin, &candidates, &mut rand::rng()).cloned()
}

fn own_candidate(node: &Node, admitted: &Admitted, now: Instant) -> Option<Candidate> {
    let loads = node.egress.loads(now);
    let load = loads.into_iter().find(|l| l.service == admitted.service.as_str())?;
    Some(Candidate {
        vm: node.me.vm.clone(),
        place: node.me.place.clone(),
        slots: load.slots,
        busy: load.busy,
        queued: load.queued,
    })
}

/// The regions to which this VM's bandwidth is used up.
fn full_regions(node: &Node, admitted: &Admitted, now: Instant) -> Vec<RegionId> {
    let here = &node.me.place.region;
    admitted
        .document
        .links
        .iter()
        .filter(|l| &l.from == here)
        .map(|l| &l.to)
        .filter(|to| !node.egress.link_is_open(node, now, &admitted.service, to.as_str()))
        .cloned()
        .collect()
}

async fn send(
    node: &Node,
    admitted: &Admitted,
    candidate: &Candidate,
    history: &AttemptHistory,
    left: Duration,
) -> Answer {
    // The first attempt of an idempotent request leaves time for a second one.
    let time_limit = match admitted.route.idempotent && history.attempts == 1 {
        true => left / 2,
        false => left,
    };
    let forward = Forward {
        request: admitted.id.clone(),
        service: admitted.service.to_string(),
        customer: admitted.customer.to_string(),
        method: admitted.method.clone(),
        path: admitted.path.clone(),
        headers: admitted.headers.clone(),
        body: admitted.body.clone(),
        left_ms: time_limit.as_millis() as u64,
        idempotent: admitted.route.idempotent,
        region: node.me.place.region.to_string(),
        traceparent: admitted.span.header(),
        avoid: history.avoid_targets.clone(),
    };
    if candidate.vm == node.me.vm {
        return egress::run(node, forward).await;
    }
    send_to_peer(node, admitted, candidate, forward, time_limit).await
}

async fn send_to_peer(
    node: &Node,
    admitted: &Admitted,
    candidate: &Candidate,
    forward: Forward,
    time_limit: Duration,
) -> Answer {
    let Some(peer) = node.mesh.peer(&candidate.vm) else {
        return failed_answer(Outcome::NotReached, "", format!("{} has left", candidate.vm));
    };
    if candidate.place.region != node.me.place.region {
        let bytes = forward.body.len() as u64;
        let region = candidate.place.region.as_str();
        node.egress.spend_link(node, Instant::now(), &admitted.service, region, bytes);
    }
    node.metrics.forwards.inc();
    let _in_flight = peer.count_forward(admitted.service.as_str());
    match peer.client.call(Body::Forward(forward), time_limit + HOP_MARGIN).await {
        Ok(Body::Answer(answer)) => hold(node, answer),
        Ok(_) => {
            let cause = format!("{} responded with a message that is not an answer", candidate.vm);
            failed_answer(Outcome::Unknown, "", cause)
        }
        Err(e) => {
            let outcome = if e.maybe_sent { Outcome::Unknown } else { Outcome::NotReached };
            failed_answer(outcome, "", e.to_string())
        }
    }
}

/// Counts a peer's answer against the budget for responses.
fn hold(node: &Node, answer: Answer) -> Answer {
    match node.responses.copy(&answer.body) {
        Ok(body) => Answer { body, ..answer },
        Err(e) => failed_answer(Outcome::Unknown, &answer.target, e.to_string()),
    }
}

/// Decides what follows an attempt and adds its outcome to `history`.
fn decide_next(
    node: &Node,
    admitted: &Admitted,
    candidate: &Candidate,
    answer: Answer,
    history: &mut AttemptHistory,
) -> NextStep {
    let idempotent = admitted.route.idempotent;
    let shed = is_shed(&answer);
    let result = decode_outcome(&answer);
    history.cause = answer.cause.clone();
    match result {
        Outcome::Answered if shed => {
            let retry = idempotent && history.attempts < MAX_ATTEMPTS && take_retry(node, admitted);
            if !retry && !history.may_have_run {
                return NextStep::Return(answer);
            }
            history.cause = format!("{} has shed the request", answer.target);
            history.avoid_targets.push(answer.target);
            history.reason = Some(Reason::Busy);
            retry_if(retry)
        }
        Outcome::Answered => {
            let mut crashes = node.crashes.lock().expect("crashes lock");
            crashes.record_run(Instant::now(), &admitted.fingerprint);
            NextStep::Return(answer)
        }
        Outcome::Busy => {
            history.reason = Some(Reason::Busy);
            history.avoid_vms.push(candidate.vm.clone());
            NextStep::Retry
        }
        Outcome::NotReached => {
            history.reason = Some(Reason::NoTarget);
            if answer.target.is_empty() {
                history.avoid_vms.push(candidate.vm.clone());
            } else {
                history.avoid_targets.push(answer.target);
            }
            NextStep::Retry
        }
        Outcome::Died => {
            history.may_have_run = true;
            history.crashes += 1;
            history.reason = Some(Reason::TargetFailed);
            report_crash(node, admitted, &answer.target, history.crashes);
            history.avoid_targets.push(answer.target);
            // An idempotent request goes to one more target at most, since it may have caused
            // the crash.
            retry_if(idempotent && history.crashes == 1 && take_retry(node, admitted))
        }
        Outcome::Unknown | Outcome::Unset => {
            history.may_have_run = true;
            history.reason = Some(Reason::TargetFailed);
            if answer.target.is_empty() {
                history.avoid_vms.push(candidate.vm.clone());
            } else {
                history.avoid_targets.push(answer.target);
            }
            retry_if(idempotent && take_retry(node, admitted))
        }
    }
}

/// True if the target has shed the request, by the proof in `cause`.
fn is_shed(answer: &Answer) -> bool {
    answer.status == 503 && answer.headers.iter().any(|h| h.name == SHED_HEADER)
}

fn retry_if(allowed: bool) -> NextStep {
    if allowed { NextStep::Retry } else { NextStep::Stop }
}

/// Takes a retry from the service's budget, if there is one.
fn take_retry(node: &Node, admitted: &Admitted) -> bool {
    let allowed = node.ingress.try_take_retry(&admitted.service);
    if allowed {
        let labels = super::metrics::ServiceLabels { service: admitted.service.to_string() };
        node.metrics.retries.get_or_create(&labels).inc();
    }
    allowed
}

/// Counts a target's crash for this request here and at all peers, for the quarantine.
fn report_crash(node: &Node, admitted: &Admitted, target: &str, number: u32) {
    node.metrics.deaths.inc();
    // Identifies the crash, so that no VM counts it twice.
    let event = format!("{}/{number}/{target}", admitted.id);
    let (fingerprint, target) = (admitted.fingerprint.clone(), target.to_owned());
    let crash = TargetCrash { fingerprint, event, target, ..TargetCrash::default() };
    peers::record_crash(node, &crash);
    node.mesh.broadcast(&Body::TargetCrash(crash));
}

fn refuse(history: AttemptHistory) -> Refusal {
    let outage_reason = history.outage.as_ref().map(outage::reason);
    let reason = outage_reason.or(history.reason).unwrap_or(Reason::NoTarget);
    let detail = match (&history.outage, history.cause.is_empty()) {
        (Some(outage), true) => outage.to_string(),
        (Some(outage), false) => format!("{outage}; last attempt: {}", history.cause),
        (None, true) => "no entry VM has a target of this service".to_owned(),
        (None, false) => history.cause,
    };
    let refusal = match history.may_have_run {
        true => Refusal::unknown(reason, detail),
        false => Refusal::not_run(reason, detail),
    };
    match &history.outage {
        Some(outage) => outage::with_retry_after(refusal, outage),
        None => refusal,
    }
}

fn to_response(answer: &Answer) -> Result<Response<Bytes>, Refusal> {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let bad = || {
        let detail = format!("{}: {} is not an HTTP status", answer.target, answer.status);
        Refusal::unknown(Reason::TargetFailed, detail)
    };
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = status.ok_or_else(bad)?;
    *response.headers_mut() = sanitize::to_headers(&answer.headers);
    Ok(response)
}
