//! The attempts of one request: which VM, which targets, how often.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, StatusCode};
use rand::Rng;

use crate::model::{RegionId, VmId};
use crate::peer::{Answer, Body, Forward, Outcome, TargetCrash, decode_outcome};
use crate::route::{Candidate, Origin, choose_vm};

use super::ingress::Admitted;
use super::records::Trail;
use super::refusal::{Reason, Refusal};
use super::{Node, egress, peers, sanitize};

/// Most VMs that one request is sent to.
const TRIES: u32 = 4;
/// Pause before VMs with targets are looked for again.
const PICK_AGAIN: Duration = Duration::from_millis(10);
/// Time that a peer may take beyond the time left for the target.
const HOP_SLACK: Duration = Duration::from_millis(150);

/// What earlier attempts of a request have taught.
#[derive(Debug, Default)]
struct History {
    tries: u32,
    /// VMs that had no room or could not be reached.
    avoid_vms: Vec<VmId>,
    /// Targets that failed.
    avoid_targets: Vec<String>,
    deaths: u32,
    /// True once a byte may have reached a target.
    maybe_run: bool,
    /// The last failure.
    cause: String,
    /// Why the last attempt failed.
    reason: Option<Reason>,
}

/// What to do after an attempt.
enum Next {
    Return(Answer),
    Again,
    Stop,
}

/// Sends a request until it is answered, may not be sent again, or its time is over.
pub(crate) async fn run(
    node: &Node,
    admitted: &Admitted,
    trail: &mut Trail,
) -> Result<Response<Bytes>, Refusal> {
    let mut history = History::default();
    let draw = rand::rng().random_range(0.0..1.0);
    while history.tries < TRIES {
        let now = Instant::now();
        let left = admitted.left(now);
        if left.is_zero() {
            history.reason = Some(Reason::TimedOut);
            break;
        }
        let Some(candidate) = pick(node, admitted, &history, now, draw) else {
            // Targets may just be going from one VM to another.
            if history.tries == 0 && trail.start.elapsed() < patience(admitted) {
                tokio::time::sleep(PICK_AGAIN).await;
                continue;
            }
            break;
        };
        history.tries += 1;
        let answer = send(node, admitted, &candidate, &history, left).await;
        let text = format!("{:?} by {} {}", decode_outcome(&answer), answer.target, answer.cause);
        trail.note("forward", format!("to {} in {}: {text}", candidate.vm, candidate.place.zone));
        match judge(node, admitted, &candidate, answer, &mut history) {
            Next::Return(answer) => return to_response(&answer),
            Next::Again => {}
            Next::Stop => break,
        }
    }
    Err(refuse(history))
}

/// Time for which a request waits for any VM to have targets.
fn patience(admitted: &Admitted) -> Duration {
    Duration::from_millis(admitted.document.limits.queue_ms)
}

fn pick(
    node: &Node,
    admitted: &Admitted,
    history: &History,
    now: Instant,
    draw: f64,
) -> Option<Candidate> {
    let mut candidates = node.mesh.candidates(now, &admitted.service);
    candidates.extend(own_candidate(node, admitted, now));
    candidates.retain(|c| !history.avoid_vms.contains(&c.vm));
    let closed = closed_links(node, admitted, now);
    let origin = Origin {
        place: &node.me.place,
        shift_region: admitted.shifted(&node.me.place.region, draw),
        headroom: admitted.document.limits.headroom,
        full_regions: &closed,
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

fn closed_links(node: &Node, admitted: &Admitted, now: Instant) -> Vec<RegionId> {
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
    history: &History,
    left: Duration,
) -> Answer {
    // The first attempt of a request that may be repeated leaves time for a second one.
    let slice = match admitted.route.idempotent && history.tries == 1 {
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
        left_ms: slice.as_millis() as u64,
        idempotent: admitted.route.idempotent,
        region: node.me.place.region.to_string(),
        traceparent: admitted.span.header(),
        avoid: history.avoid_targets.clone(),
    };
    if candidate.vm == node.me.vm {
        return egress::run(node, forward).await;
    }
    send_to_peer(node, admitted, candidate, forward, slice).await
}

async fn send_to_peer(
    node: &Node,
    admitted: &Admitted,
    candidate: &Candidate,
    forward: Forward,
    slice: Duration,
) -> Answer {
    let Some(peer) = node.mesh.peer(&candidate.vm) else {
        return egress::failed(Outcome::NotReached, "", format!("{} has gone", candidate.vm));
    };
    if candidate.place.region != node.me.place.region {
        let bytes = forward.body.len() as u64;
        let region = candidate.place.region.as_str();
        node.egress.spend_link(node, Instant::now(), &admitted.service, region, bytes);
    }
    node.metrics.forwards.inc();
    let _sent = peer.count(admitted.service.as_str());
    match peer.client.call(Body::Forward(forward), slice + HOP_SLACK).await {
        Ok(Body::Answer(answer)) => answer,
        Ok(_) => egress::failed(Outcome::Unknown, "", "the peer sent no answer".to_owned()),
        Err(e) => {
            let outcome = if e.maybe_sent { Outcome::Unknown } else { Outcome::NotReached };
            egress::failed(outcome, "", e.to_string())
        }
    }
}

/// Decides what follows an attempt.
fn judge(
    node: &Node,
    admitted: &Admitted,
    candidate: &Candidate,
    answer: Answer,
    history: &mut History,
) -> Next {
    let idempotent = admitted.route.idempotent;
    let shed = answer.status == 503 && answer.headers.iter().any(|h| h.name == "x-shed");
    let ended = decode_outcome(&answer);
    history.cause = answer.cause.clone();
    match ended {
        Outcome::Answered if shed && idempotent && history.tries < TRIES => {
            if !retry(node, admitted) {
                return Next::Return(answer);
            }
            history.avoid_targets.push(answer.target);
            history.maybe_run = true;
            history.reason = Some(Reason::Busy);
            Next::Again
        }
        Outcome::Answered => Next::Return(answer),
        Outcome::Busy => {
            history.reason = Some(Reason::Busy);
            history.avoid_vms.push(candidate.vm.clone());
            Next::Again
        }
        Outcome::NotReached => {
            history.reason = Some(Reason::NoTarget);
            if answer.target.is_empty() {
                history.avoid_vms.push(candidate.vm.clone());
            } else {
                history.avoid_targets.push(answer.target);
            }
            Next::Again
        }
        Outcome::Died => {
            history.maybe_run = true;
            history.deaths += 1;
            history.reason = Some(Reason::TargetFailed);
            report_death(node, admitted, &answer.target, history.deaths);
            history.avoid_targets.push(answer.target);
            // A request that may be repeated goes to one more target at most.
            again_if(idempotent && history.deaths == 1 && retry(node, admitted))
        }
        Outcome::Unknown | Outcome::Unset => {
            history.maybe_run = true;
            history.reason = Some(Reason::TargetFailed);
            if answer.target.is_empty() {
                history.avoid_vms.push(candidate.vm.clone());
            } else {
                history.avoid_targets.push(answer.target);
            }
            again_if(idempotent && retry(node, admitted))
        }
    }
}

fn again_if(again: bool) -> Next {
    if again { Next::Again } else { Next::Stop }
}

fn retry(node: &Node, admitted: &Admitted) -> bool {
    let may = node.ingress.may_retry(&admitted.service);
    if may {
        let labels = super::metrics::ByService { service: admitted.service.to_string() };
        node.metrics.retries.get_or_create(&labels).inc();
    }
    may
}

fn report_death(node: &Node, admitted: &Admitted, target: &str, number: u32) {
    node.metrics.deaths.inc();
    let event = format!("{}/{number}/{target}", admitted.id);
    let death = TargetCrash { fingerprint: admitted.fingerprint.clone(), event };
    peers::learn_death(node, &death);
    node.mesh.broadcast(&Body::TargetCrash(death));
}

fn refuse(history: History) -> Refusal {
    let reason = history.reason.unwrap_or(Reason::NoTarget);
    let detail = match history.cause.is_empty() {
        true => "no entry VM has a target for this service".to_owned(),
        false => history.cause,
    };
    match history.maybe_run {
        true => Refusal::unknown(reason, detail),
        false => Refusal::not_run(reason, detail),
    }
}

fn to_response(answer: &Answer) -> Result<Response<Bytes>, Refusal> {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let bad = || Refusal::unknown(Reason::TargetFailed, "the target's status can't be read");
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = status.ok_or_else(bad)?;
    *response.headers_mut() = sanitize::to_headers(&answer.headers);
    Ok(response)
}
