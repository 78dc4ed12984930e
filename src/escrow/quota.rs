//! A member's own share of an account's rate limit, and its loan to the account's pool.

use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Loan, LoanRequest, LoanReturn};

use super::{Settings, TokenBucket};

/// A size of the quota that the borrower was told and may use until it expires.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Commitment {
    /// Own time by which the loan has expired at the borrower, whose clock may be slower.
    expires: Instant,
    rate: f64,
    capacity: f64,
}

/// The current loan of the quota.
#[derive(Clone, Debug, PartialEq)]
struct Lent {
    to: VmId,
    /// The borrower's incarnation. A later one can't know which tokens an earlier one granted.
    incarnation: Incarnation,
    id: u64,
    seq: u64,
    /// All sizes that the borrower may still use. Never empty.
    commitments: Vec<Commitment>,
}

/// A member's own share of an account's rate limit.
///
/// At any time it is used either by its owner or by one borrower, never by both.
#[derive(Clone, Debug)]
pub struct Quota {
    settings: Settings,
    /// Size of the quota, in tokens per second.
    rate: f64,
    /// Size of the quota, in tokens.
    capacity: f64,
    /// The owner's bucket. While the quota is lent, its rate, capacity and tokens are 0.
    bucket: TokenBucket,
    lent: Option<Lent>,
    /// Id of the last loan; starts above the ids of earlier incarnations, so that no id is reused.
    last_loan_id: u64,
}

impl Quota {
    /// A quota of size 0. `first_id` is higher than any loan id of an earlier incarnation.
    pub fn new(now: Instant, settings: Settings, first_id: u64) -> Self {
        let bucket = TokenBucket::new(now, 0.0, 0.0);
        Self { settings, rate: 0.0, capacity: 0.0, bucket, lent: None, last_loan_id: first_id }
    }

    /// Changes the size. While the quota is lent, the borrower may use an earlier, larger size until
    /// it expires there; see [`Quota::max_in_use`].
    pub fn resize(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.expire(now);
        self.rate = rate;
        self.capacity = capacity;
        if self.lent.is_none() {
            self.bucket.resize(now, rate, capacity);
        }
    }

    /// The largest rate and capacity that the owner or the borrower may be using.
    pub fn max_in_use(&mut self, now: Instant) -> (f64, f64) {
        self.expire(now);
        let Some(lent) = &self.lent else { return (self.rate, self.capacity) };
        lent.commitments.iter().fold((self.rate, self.capacity), |(rate, capacity), c| {
            (rate.max(c.rate), capacity.max(c.capacity))
        })
    }

    /// The borrower, while the quota is lent.
    pub fn borrower(&self) -> Option<&VmId> {
        self.lent.as_ref().map(|l| &l.to)
    }

    /// The owner's bucket; its size is 0 while the quota is lent.
    pub fn bucket(&mut self, now: Instant) -> &mut TokenBucket {
        self.expire(now);
        &mut self.bucket
    }

    /// Lends the quota to `to`, or renews the loan. None if another borrower, or another incarnation
    /// of the same one, may still use it, or if the borrower holds a loan other than the current one.
    pub fn lend(&mut self, now: Instant, to: &VmId, request: &LoanRequest) -> Option<Loan> {
        self.expire(now);
        let tokens = match &mut self.lent {
            None if request.held != 0 => return None,
            None => self.start_loan(now, to, request.incarnation),
            Some(l) if &l.to != to || l.incarnation != request.incarnation => return None,
            Some(l) if request.held == l.id => 0.0,
            Some(_) if request.held != 0 => return None,
            Some(l) => {
                // The borrower doesn't have the loan, so its message was lost. Start a new one under
                // a new id and without tokens, since they may have been delivered already.
                self.last_loan_id += 1;
                (l.id, l.seq) = (self.last_loan_id, 0);
                0.0
            }
        };
        let settings = self.settings;
        let (rate, capacity) = (self.rate, self.capacity);
        let lent = self.lent.as_mut()?;
        lent.seq += 1;
        let expires = now + settings.loan_ttl + settings.expiry_margin();
        lent.commitments.push(Commitment { expires, rate, capacity });
        drop_replaced(&mut lent.commitments);
        Some(Loan {
            stamp: request.stamp,
            id: lent.id,
            seq: lent.seq,
            rate,
            capacity,
            tokens,
            lease_us: settings.loan_ttl.as_micros() as u64,
        })
    }

    /// Ends the loan that its borrower returns, and adds the returned tokens.
    pub fn take_back(&mut self, now: Instant, from: &VmId, returned: &LoanReturn) {
        self.expire(now);
        if self.lent.as_ref().is_some_and(|l| &l.to == from && l.id == returned.id) {
            self.end_loan(now);
            self.bucket.add(now, returned.tokens);
        }
    }

    /// Shortens the loan if the borrower's process has ended: only tokens that it granted to other
    /// members may still be used, for at most the TTL of a grant.
    pub fn borrower_died(&mut self, now: Instant, borrower: &VmId, incarnation: Incarnation) {
        let end = now + self.settings.grant_ttl + self.settings.expiry_margin();
        let dead = |l: &&mut Lent| &l.to == borrower && l.incarnation <= incarnation;
        if let Some(lent) = self.lent.as_mut().filter(dead) {
            for commitment in &mut lent.commitments {
                commitment.expires = commitment.expires.min(end);
            }
        }
    }

    fn start_loan(&mut self, now: Instant, to: &VmId, incarnation: Incarnation) -> f64 {
        self.last_loan_id += 1;
        let tokens = self.bucket.drain(now);
        self.bucket.resize(now, 0.0, 0.0);
        let (id, commitments) = (self.last_loan_id, Vec::new());
        self.lent = Some(Lent { to: to.clone(), incarnation, id, seq: 0, commitments });
        tokens
    }

    fn end_loan(&mut self, now: Instant) {
        self.lent = None;
        self.bucket = TokenBucket::new(now, self.rate, self.capacity);
    }

    fn expire(&mut self, now: Instant) {
        let Some(lent) = &mut self.lent else { return };
        let last = lent.commitments.iter().map(|c| c.expires).max();
        if last.is_none_or(|expires| now >= expires) {
            self.end_loan(now);
        } else {
            lent.commitments.retain(|c| now < c.expires);
        }
    }
}

/// Drops commitments that the last one replaces: those of the same size, which expire earlier.
fn drop_replaced(commitments: &mut Vec<Commitment>) {
    let Some(last) = commitments.last().copied() else { return };
    let same = |c: &Commitment| c.rate == last.rate && c.capacity == last.capacity;
    commitments.retain(|c| !same(c));
    commitments.push(last);
}

impl Settings {
    /// Time that a lender, or a pool that grants tokens, adds to a TTL, since the receiver's clock may
    /// run more slowly.
    pub fn expiry_margin(&self) -> Duration {
        self.loan_ttl.mul_f64(self.drift_ratio) + Duration::from_millis(1)
    }
}
