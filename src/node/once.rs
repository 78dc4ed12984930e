//! Requests with an idempotency key: claimed in the store, then sent once.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use crate::net::header_text;
use crate::once::{Claim, ClaimOutcome, ClaimState, IdempotencyKey, Reply, keeps_body};

use super::ingress::Admitted;
use super::records::Trail;
use super::refusal::{Ran, Reason, Refusal};
use super::{Node, attempt, unix_seconds};

/// Claims the key, sends the request, and records how it ended.
pub(crate) async fn run(
    node: &Node,
    admitted: &Admitted,
    text: &str,
    trail: &mut Trail,
) -> Result<Response<Bytes>, Refusal> {
    let account = admitted.account();
    let key = IdempotencyKey::new(&account, text);
    let claim = Claim {
        nonce: admitted.id.clone(),
        vm: node.me.vm.clone(),
        incarnation: node.me.incarnation,
        at: unix_seconds(),
        request: admitted.fingerprint.clone(),
        state: ClaimState::Claimed,
    };
    let verdict = node.desk.claim(&account, &key, claim).await;
    trail.note("claim", format!("{verdict:?}"));
    match verdict {
        Ok(ClaimOutcome::Mine) => {}
        Ok(ClaimOutcome::Taken(claim)) => return replay(&claim),
        Ok(ClaimOutcome::Mismatch) => {
            let detail = "the idempotency key was used for another request";
            return Err(Refusal::not_run(Reason::OnceMismatch, detail).with_open_key());
        }
        Ok(ClaimOutcome::Full) => {
            let detail = "too many idempotency keys are remembered";
            return Err(Refusal::not_run(Reason::OnceUnavailable, detail).with_open_key());
        }
        Err(e) => {
            let refusal = Refusal::not_run(Reason::OnceUnavailable, e.to_string());
            return Err(refusal.with_open_key());
        }
    }
    let outcome = attempt::run(node, admitted, trail).await;
    match &outcome {
        Ok(response) => {
            let end = ClaimState::Done(reply_of(response));
            node.desk.settle(&account, &key, &admitted.id, end);
        }
        Err(refusal) if refusal.attempt == Ran::NotRun => {
            node.desk.release(&account, &key, &admitted.id);
        }
        Err(_) => node.desk.settle(&account, &key, &admitted.id, ClaimState::Unknown),
    }
    outcome
}

/// Answers a repeated request from what is known of the first.
fn replay(claim: &Claim) -> Result<Response<Bytes>, Refusal> {
    let reply = match &claim.state {
        ClaimState::Done(reply) => reply,
        ClaimState::Claimed | ClaimState::Unknown => {
            let detail = format!("attempt {} holds the key and has no known end", claim.nonce);
            let refusal = Refusal::not_run(Reason::OnceOpen, detail);
            return Err(refusal.with_open_key());
        }
    };
    let body = reply.body.as_ref().and_then(|text| STANDARD.decode(text).ok());
    let (Some(body), Ok(status)) = (body, StatusCode::from_u16(reply.status)) else {
        let detail = format!("it ran with status {}; its answer is no longer kept", reply.status);
        let refusal = Refusal::not_run(Reason::OnceDone, detail);
        return Err(Refusal { run: Ran::Done, ..refusal });
    };
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    if let Ok(kind) = HeaderValue::from_str(&reply.kind) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response.headers_mut().insert("x-shallot-replayed", HeaderValue::from_static("true"));
    Ok(response)
}

fn reply_of(response: &Response<Bytes>) -> Reply {
    let kind = header_text(response.headers(), CONTENT_TYPE);
    let body = keeps_body(response.body().len()).then(|| STANDARD.encode(response.body()));
    Reply { status: response.status().as_u16(), kind: kind.unwrap_or_default().to_owned(), body }
}
