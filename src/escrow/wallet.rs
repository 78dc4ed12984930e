//! Tokens that a member has been granted and not yet spent.

use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Ask, Grant};

/// An ask that waits for its grant.
#[derive(Clone, Debug, PartialEq)]
struct Asked {
    to: VmId,
    seq: u64,
    at: Instant,
}

/// A member's wallet for one account. At most one ask is open at a time.
#[derive(Clone, Debug)]
pub struct Wallet {
    incarnation: Incarnation,
    seq: u64,
    asked: Option<Asked>,
    /// The pool that granted the tokens held.
    source: Option<VmId>,
    tokens: f64,
    /// Own time after which the tokens may no longer be spent: counted from the sending of the
    /// last ask that was answered.
    until: Instant,
}

impl Wallet {
    /// An empty wallet of the life `incarnation`. `first_seq` is higher than any number of an
    /// earlier life.
    pub fn new(now: Instant, incarnation: Incarnation, first_seq: u64) -> Self {
        Self { incarnation, seq: first_seq, asked: None, source: None, tokens: 0.0, until: now }
    }

    /// Tokens that may be spent at `now`.
    pub fn tokens(&self, now: Instant) -> f64 {
        if now < self.until { self.tokens } else { 0.0 }
    }

    /// Spends one token if there is one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let enough = self.tokens(now) >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// True while an ask is open and younger than `patience`.
    pub fn is_asking(&self, now: Instant, patience: Duration) -> bool {
        self.asked.as_ref().is_some_and(|a| now < a.at + patience)
    }

    /// Opens an ask; an open one is given up, and its answer will be dropped.
    pub fn ask(&mut self, now: Instant, to: &VmId, want: f64, ahead: f64) -> Ask {
        if self.source.as_ref() != Some(to) {
            self.tokens = 0.0;
        }
        self.seq += 1;
        self.asked = Some(Asked { to: to.clone(), seq: self.seq, at: now });
        let holding = self.tokens(now);
        Ask { seq: self.seq, want, ahead, holding, incarnation: self.incarnation }
    }

    /// Takes in a grant; false if it answers no open ask.
    pub fn accept(&mut self, now: Instant, from: &VmId, grant: &Grant) -> bool {
        let Some(asked) = self.asked.take_if(|a| &a.to == from && a.seq == grant.seq) else {
            return false;
        };
        let held = self.tokens(now);
        self.until = asked.at + Duration::from_micros(grant.lease_us);
        self.tokens = held + grant.tokens;
        self.source = Some(from.clone());
        true
    }
}
