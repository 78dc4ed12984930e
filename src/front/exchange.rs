//! One exchange with a target: builds the request, sends it and reads the response.

use std::sync::Once;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gotham::helpers::http::Body;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, HeaderValue, Request, Response, Uri, Version};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::Frame;

use crate::clock;
use crate::net::{MeteredBody, full_body, header_text};
use crate::steer::{LimitNotice, LoadReport, Pick};

use super::Front;
use super::notices::read_notice;
use super::outbound::{Lease, SendFailure};
use super::request::{Admitted, RequestBody, path_and_query};
use super::response::{
    AttemptOutcome, forwarded_headers, read_rejection, read_response, read_withheld,
};
use super::response_head::{HeadOrigin, HeadVerdict, judge_head};
use super::unproved::UnprovedRecord;

/// Set once a load header without a valid pace has been logged.
static NO_PACE_LOGGED: Once = Once::new();

/// The body for the next attempt; none if a streamed body has been sent.
pub(super) fn take_body(body: &mut RequestBody) -> Option<Body> {
    match body {
        RequestBody::Buffered(bytes) => Some(full_body(bytes.clone())),
        RequestBody::Streamed(read, rest) => {
            if read.is_empty() {
                return None;
            }
            let read = std::mem::take(read);
            let rest = std::mem::replace(rest, full_body(Bytes::new()));
            let read = stream::iter(read.into_iter().map(|b| Ok(Frame::data(b))));
            let all = read.chain(BodyStream::new(rest));
            Some(StreamBody::new(all).boxed_unsync())
        }
    }
}

/// Sends the request to the chosen target and reads the response. If `reuse`, prefers an idle connection.
pub(super) async fn send(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
    reuse: bool,
) -> AttemptOutcome {
    let request = match build_request(front, admitted, pick, body) {
        Ok(request) => request,
        Err(cause) => return AttemptOutcome::Unreached(cause),
    };
    match front.target_client.send(pick.addr, request, reuse).await {
        Ok((response, lease)) => receive(front, admitted, pick, response, lease).await,
        Err(SendFailure { maybe_sent: false, step, peer, cause }) => {
            AttemptOutcome::Unreached(format!("{step} at {peer}: {cause}"))
        }
        Err(e) => AttemptOutcome::Lost(e.to_string()),
    }
}

/// Judges a response by its head, and reads its body.
async fn receive(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    response: Response<MeteredBody>,
    lease: Lease,
) -> AttemptOutcome {
    let (head, body) = response.into_parts();
    let origin = HeadOrigin { reused: lease.is_reused(), spliced: body.meter.is_spliced() };
    let verdict = judge_head(&front.headers, &admitted.id, &head, origin);
    let response = Response::from_parts(head, body);
    if let HeadVerdict::Unproved(fault) = verdict {
        let status = response.status();
        let record = UnprovedRecord::new(&admitted.id, pick.id.as_str(), status, fault, origin);
        front.report_unproved(fault, &record);
        if !fault.is_own() {
            return AttemptOutcome::Lost(format!(
                "the response ({status}) can't be passed on: {fault}"
            ));
        }
    }
    note_target(front, admitted, pick, &response, verdict == HeadVerdict::Ran);
    let load = reported_load(front, response.headers());
    let outcome = match verdict {
        HeadVerdict::NotRun(proof) => read_rejection(response, proof, lease).await,
        HeadVerdict::Unproved(_) => read_withheld(response, lease).await,
        HeadVerdict::Ran => read_response(&front.headers, admitted, response, lease).await,
    };
    if let (Some(load), false) = (load, matches!(outcome, AttemptOutcome::Lost(_))) {
        front.state.lock().balancer.record_report(clock::now(), pick, load);
    }
    outcome
}

/// Records what a target says of itself, if the response is known to be the request's. Only that of a
/// request that `has_run` tells that there is no limit.
fn note_target<B>(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    response: &Response<B>,
    has_run: bool,
) {
    let headers = response.headers();
    if header_text(headers, &front.headers.attempt) == Some(&admitted.id) {
        let notice = read_notice(&front.headers, response.status(), headers);
        front.record_notice(&pick.id, pick.born_ms, notice);
        let limit = LimitNotice::from_head(&front.headers.limit, headers);
        if has_run || limit != LimitNotice::Absent {
            front.record_limit(&pick.id, pick.born_ms, limit);
        }
    }
}

/// A target's report of its load, if the response has a valid one.
fn reported_load(front: &Front, headers: &HeaderMap) -> Option<LoadReport> {
    let header = header_text(headers, &front.headers.load)?;
    let report = LoadReport::parse(header)?;
    if report.assumed {
        // Once per process: a target without a pace says so in each response.
        NO_PACE_LOGGED.call_once(|| {
            log::info!("targets: the load {header:?} has no valid pace; the usual one is assumed.");
        });
    }
    Some(report)
}

fn build_request(
    front: &Front,
    admitted: &Admitted,
    pick: &Pick,
    body: Body,
) -> Result<Request<Body>, String> {
    let names = &front.headers;
    let mut headers = forwarded_headers(names, &admitted.head.headers);
    // Targets don't get the API key. hyper sets the length of a buffered body.
    for name in [AUTHORIZATION, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    let left = admitted.deadline.saturating_sub(clock::now()).as_millis().to_string();
    let customer = admitted.customer.as_ref().map(|c| c.id.as_str());
    for (name, value) in [
        (&names.deadline, Some(left.as_str())),
        (&names.customer, customer),
        (&names.target, Some(pick.id.as_str())),
    ] {
        headers.remove(name);
        if let Some(value) = value {
            let value =
                HeaderValue::from_str(value).map_err(|e| format!("set header {name}: {e}"))?;
            headers.insert(name.clone(), value);
        }
    }
    if let Some(length) = admitted.head.headers.get(CONTENT_LENGTH).filter(|_| admitted.streamed) {
        headers.insert(CONTENT_LENGTH, length.clone());
    }
    let uri: Uri =
        path_and_query(&admitted.head).parse().map_err(|e| format!("parse the path: {e}"))?;
    let mut request = Request::new(body);
    *request.method_mut() = admitted.head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Ok(request)
}
