//! A member's own part of an account, and its loan to a pool.

use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Borrow, Loan, Return};

use super::{Bucket, Settings};

/// What a borrower may still use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Commitment {
    /// Own time after which the borrower certainly uses it no longer.
    until: Instant,
    rate: f64,
    capacity: f64,
}

/// The loan in force.
#[derive(Clone, Debug, PartialEq)]
struct Lent {
    to: VmId,
    /// The borrower's life. A later one can't know which tokens the earlier one granted.
    incarnation: Incarnation,
    id: u64,
    seq: u64,
    /// Every size that the borrower was told and may still use. Never empty.
    commitments: Vec<Commitment>,
}

/// A member's own part of an account.
///
/// At any time the part is used either by its owner or by one borrower, never by both.
#[derive(Clone, Debug)]
pub struct Floor {
    settings: Settings,
    /// The part's size, in tokens a second and tokens.
    rate: f64,
    capacity: f64,
    /// Holds tokens only while the part is not lent; its rate and capacity are then the part's.
    bucket: Bucket,
    lent: Option<Lent>,
    /// The last loan's id; starts at the member's incarnation so that no life uses one again.
    last_id: u64,
}

impl Floor {
    /// An empty floor. `first_id` is higher than any loan id of an earlier life.
    pub fn new(now: Instant, settings: Settings, first_id: u64) -> Self {
        let bucket = Bucket::new(now, 0.0, 0.0);
        Self { settings, rate: 0.0, capacity: 0.0, bucket, lent: None, last_id: first_id }
    }

    /// Changes the part's size. A smaller size is in force once [`Floor::in_use`] says so.
    pub fn resize(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.expire(now);
        self.rate = rate;
        self.capacity = capacity;
        if self.lent.is_none() {
            self.bucket.resize(now, rate, capacity);
        }
    }

    /// The largest rate and capacity that the owner or its borrower may be using.
    pub fn in_use(&mut self, now: Instant) -> (f64, f64) {
        self.expire(now);
        let Some(lent) = &self.lent else { return (self.rate, self.capacity) };
        lent.commitments.iter().fold((self.rate, self.capacity), |(rate, capacity), c| {
            (rate.max(c.rate), capacity.max(c.capacity))
        })
    }

    /// The borrower, while the part is lent.
    pub fn borrower(&self) -> Option<&VmId> {
        self.lent.as_ref().map(|l| &l.to)
    }

    /// The bucket of the owner; empty while the part is lent.
    pub fn bucket(&mut self, now: Instant) -> &mut Bucket {
        self.expire(now);
        &mut self.bucket
    }

    /// Lends the part to `to` or renews its loan. Refused while another borrower, or another life
    /// of the same one, may use it.
    pub fn lend(&mut self, now: Instant, to: &VmId, borrow: &Borrow) -> Option<Loan> {
        self.expire(now);
        let tokens = match &mut self.lent {
            None if borrow.held != 0 => return None,
            None => self.open_loan(now, to, borrow.incarnation),
            Some(l) if &l.to != to || l.incarnation != borrow.incarnation => return None,
            Some(l) if borrow.held == l.id => 0.0,
            Some(_) if borrow.held != 0 => return None,
            Some(l) => {
                // The borrower lost the loan: it gets a new name, and no tokens a second time.
                self.last_id += 1;
                (l.id, l.seq) = (self.last_id, 0);
                0.0
            }
        };
        let settings = self.settings;
        let (rate, capacity) = (self.rate, self.capacity);
        let lent = self.lent.as_mut()?;
        lent.seq += 1;
        let until = now + settings.lease + settings.guard();
        lent.commitments.push(Commitment { until, rate, capacity });
        merge(&mut lent.commitments);
        Some(Loan {
            stamp: borrow.stamp,
            id: lent.id,
            seq: lent.seq,
            rate,
            capacity,
            tokens,
            lease_us: settings.lease.as_micros() as u64,
        })
    }

    /// Takes a loan back that its borrower gives up.
    pub fn take_back(&mut self, now: Instant, from: &VmId, back: &Return) {
        self.expire(now);
        if self.lent.as_ref().is_some_and(|l| &l.to == from && l.id == back.id) {
            self.resume(now);
            self.bucket.add(now, back.tokens);
        }
    }

    /// Shortens a loan whose borrower's process has ended: only the tokens that it granted to
    /// others may still be spent.
    pub fn borrower_died(&mut self, now: Instant, borrower: &VmId, incarnation: Incarnation) {
        let end = now + self.settings.grant + self.settings.guard();
        let dead = |l: &&mut Lent| &l.to == borrower && l.incarnation <= incarnation;
        if let Some(lent) = self.lent.as_mut().filter(dead) {
            for commitment in &mut lent.commitments {
                commitment.until = commitment.until.min(end);
            }
        }
    }

    fn open_loan(&mut self, now: Instant, to: &VmId, incarnation: Incarnation) -> f64 {
        self.last_id += 1;
        let tokens = self.bucket.drain(now);
        self.bucket.resize(now, 0.0, 0.0);
        let (id, commitments) = (self.last_id, Vec::new());
        self.lent = Some(Lent { to: to.clone(), incarnation, id, seq: 0, commitments });
        tokens
    }

    fn resume(&mut self, now: Instant) {
        self.lent = None;
        self.bucket = Bucket::new(now, self.rate, self.capacity);
    }

    fn expire(&mut self, now: Instant) {
        let Some(lent) = &mut self.lent else { return };
        let last = lent.commitments.iter().map(|c| c.until).max();
        if last.is_none_or(|until| now >= until) {
            self.resume(now);
        } else {
            lent.commitments.retain(|c| now < c.until);
        }
    }
}

/// Drops commitments that a later one of the same size covers.
fn merge(commitments: &mut Vec<Commitment>) {
    let Some(last) = commitments.last().copied() else { return };
    let same = |c: &Commitment| c.rate == last.rate && c.capacity == last.capacity;
    commitments.retain(|c| !same(c));
    commitments.push(last);
}

impl Settings {
    /// Time added to a lease on the lender's clock: clocks run at slightly different rates.
    pub fn guard(&self) -> Duration {
        self.lease.mul_f64(self.clock_error) + Duration::from_millis(1)
    }
}
