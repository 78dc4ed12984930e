//! Tokens that the pool of an account has granted to a member, and the request for more.

use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Grant, GrantRequest};

/// A request that has no response yet.
#[derive(Clone, Debug, PartialEq)]
struct PendingRequest {
    to: VmId,
    seq: u64,
    sent: Instant,
}

/// The tokens of one account that a member was granted and has not used. At most one request for
/// more is pending at a time.
#[derive(Clone, Debug)]
pub struct GrantedTokens {
    incarnation: Incarnation,
    seq: u64,
    pending: Option<PendingRequest>,
    /// The member whose pool granted `tokens`.
    pool: Option<VmId>,
    tokens: f64,
    /// Own time at which `tokens` expire: counted from the sending of the last request that was
    /// granted, so that they expire here before the pool counts them as expired.
    expires: Instant,
}

impl GrantedTokens {
    /// No tokens. `first_seq` is higher than any sequence number of an earlier incarnation.
    pub fn new(now: Instant, incarnation: Incarnation, first_seq: u64) -> Self {
        Self { incarnation, seq: first_seq, pending: None, pool: None, tokens: 0.0, expires: now }
    }

    /// Tokens that may be used at `now`.
    pub fn tokens(&self, now: Instant) -> f64 {
        if now < self.expires { self.tokens } else { 0.0 }
    }

    /// Takes one token; false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let enough = self.tokens(now) >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// True while a request is pending and younger than `timeout`.
    pub fn is_waiting(&self, now: Instant, timeout: Duration) -> bool {
        self.pending.as_ref().is_some_and(|p| now < p.sent + timeout)
    }

    /// Makes a request to the pool at `to`: for `want` tokens now and `ahead` more for later demand.
    /// Replaces a pending request, whose response will be ignored. Tokens of another pool are dropped.
    pub fn request(&mut self, now: Instant, to: &VmId, want: f64, ahead: f64) -> GrantRequest {
        if self.pool.as_ref() != Some(to) {
            self.tokens = 0.0;
        }
        self.seq += 1;
        self.pending = Some(PendingRequest { to: to.clone(), seq: self.seq, sent: now });
        let holding = self.tokens(now);
        GrantRequest { seq: self.seq, want, ahead, holding, incarnation: self.incarnation }
    }

    /// Adds the tokens of a grant; false if it isn't the response to the pending request.
    pub fn accept(&mut self, now: Instant, from: &VmId, grant: &Grant) -> bool {
        let Some(pending) = self.pending.take_if(|p| &p.to == from && p.seq == grant.seq) else {
            return false;
        };
        let held = self.tokens(now);
        self.expires = pending.sent + Duration::from_micros(grant.lease_us);
        self.tokens = held + grant.tokens;
        self.pool = Some(from.clone());
        true
    }
}
