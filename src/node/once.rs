//! Requests with an idempotency key. The key is claimed in the store before the request is sent, so
//! that at most one request runs for each key. A request whose key is already claimed gets the
//! stored response or a refusal.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use crate::net::{header_text, promises_not_run};
use crate::once::{Claim, ClaimOutcome, ClaimState, IdempotencyKey, Reply, keeps_body};

use super::ingress::Admitted;
use super::records::RecordBuilder;
use super::refusal::{Reason, Refusal, RunStatus};
use super::response_head::SHED_HEADER;
use super::{Node, attempt, unix_seconds};

/// Claims the key, sends the request, and stores its outcome.
pub(crate) async fn run(
    node: &Node,
    admitted: &Admitted,
    text: &str,
    builder: &mut RecordBuilder,
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
    let claim_outcome = node.claims.claim(&account, &key, claim).await;
    builder.add_step("claim", format!("{claim_outcome:?}"));
    match claim_outcome {
        Ok(ClaimOutcome::Mine) => {}
        Ok(ClaimOutcome::Taken(claim)) => return replay(&claim),
        Ok(ClaimOutcome::Mismatch) => {
            let detail = "the idempotency key was used for another request";
            return Err(Refusal::not_run(Reason::OnceMismatch, detail).with_unknown_run());
        }
        Ok(ClaimOutcome::Full) => {
            let detail = "too many idempotency keys are stored";
            return Err(Refusal::not_run(Reason::OnceUnavailable, detail).with_unknown_run());
        }
        Err(e) => {
            let refusal = Refusal::not_run(Reason::OnceUnavailable, e.to_string());
            return Err(refusal.with_unknown_run());
        }
    }
    let outcome = attempt::run(node, admitted, builder).await;
    match &outcome {
        // Nothing has run, so that a later attempt may.
        Ok(response) if response.headers().contains_key(SHED_HEADER) => {
            node.claims.release(&account, &key, &admitted.id);
        }
        Ok(response) => {
            let end = ClaimState::Done(reply_of(response));
            node.claims.settle(&account, &key, &admitted.id, end);
        }
        Err(refusal) if refusal.attempt == RunStatus::NotRun => {
            node.claims.release(&account, &key, &admitted.id);
        }
        Err(_) => node.claims.settle(&account, &key, &admitted.id, ClaimState::Unknown),
    }
    outcome
}

/// Answers a request whose key is already claimed: with the stored response, if there is one.
fn replay(claim: &Claim) -> Result<Response<Bytes>, Refusal> {
    let reply = match &claim.state {
        // A status that promises that the request has not run doesn't say whether it has.
        ClaimState::Done(reply) if !is_promise(reply) => reply,
        ClaimState::Done(_) | ClaimState::Claimed | ClaimState::Unknown => {
            let detail =
                format!("request {} has claimed the key; its outcome is not known", claim.nonce);
            let refusal = Refusal::not_run(Reason::OnceOpen, detail);
            return Err(refusal.with_unknown_run());
        }
    };
    let body = reply.body.as_ref().and_then(|text| STANDARD.decode(text).ok());
    let (Some(body), Ok(status)) = (body, StatusCode::from_u16(reply.status)) else {
        let detail =
            format!("the request ran with status {}; its response is not stored", reply.status);
        let refusal = Refusal::not_run(Reason::OnceDone, detail);
        return Err(Refusal { run: RunStatus::Done, ..refusal });
    };
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    if let Ok(kind) = HeaderValue::from_str(&reply.kind) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    response.headers_mut().insert("x-shallot-replayed", HeaderValue::from_static("true"));
    Ok(response)
}

fn is_promise(reply: &Reply) -> bool {
    StatusCode::from_u16(reply.status).is_ok_and(promises_not_run)
}

fn reply_of(response: &Response<Bytes>) -> Reply {
    let kind = header_text(response.headers(), CONTENT_TYPE);
    let body = keeps_body(response.body().len()).then(|| STANDARD.encode(response.body()));
    Reply { status: response.status().as_u16(), kind: kind.unwrap_or_default().to_owned(), body }
}
