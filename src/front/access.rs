//! Finds what a caller's request may use by the routing table: its route, its customer and its limits.
//!
//! A table that is too old for the conclusion ([`AgeBounds`]) is not relied on: the request waits
//! briefly for a newer proof of the table, and everything is looked up again. A route without a key is
//! served by a table of any age; nothing bounds that age but the table's own refresh.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use http::header::HOST;
use http::request::Parts;

use tokio::sync::SemaphorePermit;

use crate::clock;
use crate::model::RegionId;
use crate::net::header_text;
use crate::steer::{
    Access, AgeBounds, Conclusion, Customer, PROOF_TIMEOUT, ProofContext, RejectionReason, Route,
    TableIndex,
};

use super::Front;
use super::request::{RequestError, RequestLog};
use super::request_head::{api_key, caller_timeout, check_size};

/// Time for which a request waits for the first routing table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(450);
/// Interval of the checks for the first routing table.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a request may use.
pub(crate) struct Grant {
    pub(crate) index: Arc<TableIndex>,
    pub(crate) route: Route,
    /// Its customer; none on a route without a key.
    pub(crate) customer: Option<Customer>,
    /// Regions in which it may run; none means all.
    pub(crate) allowed_regions: Option<Vec<RegionId>>,
    /// When it times out.
    pub(crate) deadline: Duration,
    /// When the caller stops waiting.
    pub(crate) caller_deadline: Duration,
}

/// Why a request has no grant, by one routing table.
struct Refusal {
    /// What was concluded from the table, or could not be.
    conclusion: Conclusion,
    error: RequestError,
    /// When the request times out, as far as its route is known.
    deadline: Duration,
}

impl Refusal {
    /// The error if the table, of this age, is too old for the conclusion.
    fn unproven(self, age: Duration) -> RequestError {
        let reason = match self.conclusion {
            Conclusion::Reject => "table-old",
            Conclusion::AcceptKey | Conclusion::ServeOpen => "keys-old",
        };
        let detail =
            format!("the routing table is {} ms old: {}", age.as_millis(), self.error.detail);
        RequestError::not_run(reason, detail)
    }
}

/// What is looked up in the routing table.
struct Question<'a> {
    head: &'a Parts,
    host: &'a str,
    arrived: Duration,
    /// When the caller stops waiting.
    caller_deadline: Duration,
}

/// Looks a request up in the routing table. Waits for a newer proof of a table that is too old.
///
/// # Errors
/// Rejects a request for good only by a table that is new enough for that.
pub(crate) async fn find_grant(
    front: &Front,
    head: &Parts,
    arrived: Duration,
    log: &mut RequestLog,
) -> Result<Grant, RequestError> {
    wait_for_index(front).await?;
    let host = header_text(&head.headers, HOST).or_else(|| head.uri.host());
    let host = host.ok_or_else(|| {
        RequestError::new(StatusCode::BAD_REQUEST, "no-host", "the Host header is missing")
    })?;
    let caller_deadline = arrived + caller_timeout(front, &head.headers);
    let question = Question { head, host, arrived, caller_deadline };
    let bounds = front.config.bounds.age_bounds();
    let mut wait = None;
    loop {
        // Created before the look-up, so that no proof is missed.
        let proof = front.state.table_proof.notified();
        let now = clock::now();
        // Read before the table, so that it is never the age of a later table.
        let age = front.state.table_age(now).unwrap_or(Duration::MAX);
        let superseded = front.state.is_superseded();
        let index = wait_for_index(front).await?;
        let found = question.look_up(front, &index, log);
        let refusal = match found.and_then(|grant| check_key_age(&bounds, grant, age)) {
            Ok(grant) => return Ok(grant),
            Err(refusal) if !superseded && bounds.allow(refusal.conclusion, age) => {
                question.keep_rejection(front, &index, &refusal.error, log);
                return Err(refusal.error);
            }
            Err(refusal) => refusal,
        };
        if wait.is_none() {
            front.check_stop(now, refusal.deadline)?;
            wait = begin_wait(front, now, refusal.deadline);
        }
        let Some((_, until)) = &wait else { return Err(refusal.unproven(age)) };
        if tokio::time::timeout(until.saturating_sub(now), proof).await.is_err() {
            return Err(refusal.unproven(age));
        }
    }
}

/// The routing table; a process that has just started waits for the first one.
async fn wait_for_index(front: &Front) -> Result<Arc<TableIndex>, RequestError> {
    let until = clock::now() + TABLE_TIMEOUT;
    loop {
        if let Some(index) = front.state.index() {
            return Ok(index);
        }
        if clock::now() >= until {
            return Err(RequestError::not_run("no-table", "no routing table has been received"));
        }
        tokio::time::sleep(TABLE_POLL_INTERVAL).await;
    }
}

/// Room for a request to wait for a newer proof of the routing table, and the end of the wait; none if
/// the wait is hopeless or too many wait.
fn begin_wait(
    front: &Front,
    now: Duration,
    deadline: Duration,
) -> Option<(SemaphorePermit<'_>, Duration)> {
    let store_unreachable = front.store_unreachable.load(Ordering::Relaxed);
    if !(ProofContext { store_unreachable, deadline }).may_wait(now) {
        return None;
    }
    let room = front.proof_room.try_acquire().ok()?;
    Some((room, now + PROOF_TIMEOUT))
}

impl Question<'_> {
    /// Keeps a rejection by `index` that a newer routing table may prove wrong.
    fn keep_rejection(
        &self,
        front: &Front,
        index: &TableIndex,
        error: &RequestError,
        log: &RequestLog,
    ) {
        if let Some(reason) = RejectionReason::parse(error.reason) {
            front.keep_rejection(reason, &log.id, self.host, self.head, index);
        }
    }

    fn look_up(
        &self,
        front: &Front,
        index: &Arc<TableIndex>,
        log: &mut RequestLog,
    ) -> Result<Grant, Refusal> {
        let headers = &self.head.headers;
        let found = index.route(self.host, self.head.uri.path()).cloned();
        let route = found.ok_or_else(|| {
            let detail = "no route matches host and path";
            let error = RequestError::new(StatusCode::NOT_FOUND, "no-route", detail);
            rejected(error, self.caller_deadline)
        })?;
        log.route.clone_from(&route.name);
        log.in_flight.update(|r| r.route.clone_from(&route.name));
        let timeout = Duration::from_millis(route.timeout_ms);
        let deadline = self.caller_deadline.min(self.arrived + timeout);
        let access = index.access(&route, api_key(front, headers));
        let customer = match access {
            Access::Open => None,
            Access::Customer(c) => Some(c.clone()),
            Access::Denied => {
                let detail = "the API key is missing or belongs to no customer";
                let error = RequestError::new(StatusCode::UNAUTHORIZED, "no-key", detail);
                return Err(rejected(error, deadline));
            }
        };
        log.customer = customer.as_ref().map(|c| c.id.to_string()).unwrap_or_default();
        check_size(headers, index).map_err(|error| rejected(error, deadline))?;
        Ok(Grant {
            index: index.clone(),
            allowed_regions: index.allowed_regions(&route, access),
            route,
            customer,
            deadline,
            caller_deadline: self.caller_deadline,
        })
    }
}

fn rejected(error: RequestError, deadline: Duration) -> Refusal {
    Refusal { conclusion: Conclusion::Reject, error, deadline }
}

/// Refuses a key that may have been withdrawn since the routing table, of this age, was proven.
fn check_key_age(bounds: &AgeBounds, grant: Grant, age: Duration) -> Result<Grant, Refusal> {
    let conclusion = match grant.customer {
        Some(_) => Conclusion::AcceptKey,
        None => Conclusion::ServeOpen,
    };
    match bounds.allow(conclusion, age) {
        true => Ok(grant),
        false => {
            let error = RequestError::not_run("keys-old", "keys may have been withdrawn");
            Err(Refusal { conclusion, error, deadline: grant.deadline })
        }
    }
}
