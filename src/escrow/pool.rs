//! The pool of an account at its home: quotas borrowed from members, and tokens granted to them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Grant, GrantRequest, Loan, LoanReturn};

use super::{Settings, TokenBucket};

/// Time after which a member may retry at a pool that can't hold a token yet.
const EMPTY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A quota borrowed from a member.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Borrowed {
    id: u64,
    seq: u64,
    rate: f64,
    capacity: f64,
    /// Own time at which the pool stops using it: counted from the sending of the loan request, so
    /// that the loan expires here before it expires at the lender.
    expires: Instant,
}

/// Tokens granted to a member that it may still use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outstanding {
    incarnation: Incarnation,
    seq: u64,
    tokens: f64,
    /// Own time by which they have expired at the member.
    expires: Instant,
}

/// The pool of one account at one member.
///
/// The tokens in the bucket and the outstanding ones never exceed the capacity of the valid loans.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Settings,
    loans: BTreeMap<VmId, Borrowed>,
    /// Id of the newest loan of each lender, so that duplicate and late messages add no tokens.
    newest_loans: BTreeMap<VmId, u64>,
    outstanding: BTreeMap<VmId, Outstanding>,
    /// Its rate is the sum over the loans; its capacity is their sum less the outstanding tokens.
    bucket: TokenBucket,
}

impl Pool {
    /// A pool without loans.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            loans: BTreeMap::new(),
            newest_loans: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            bucket: TokenBucket::new(now, 0.0, 0.0),
        }
    }

    /// The id of the valid loan from `lender`, or 0.
    pub fn loan_id(&mut self, now: Instant, lender: &VmId) -> u64 {
        self.advance(now);
        self.loans.get(lender).map_or(0, |l| l.id)
    }

    /// The tokens in the bucket, and the rate and the capacity of all loans.
    pub fn totals(&mut self, now: Instant) -> (f64, f64, f64) {
        self.advance(now);
        let capacity = self.loans.values().map(|l| l.capacity).sum();
        (self.bucket.tokens(now), self.bucket.rate(), capacity)
    }

    /// The bucket: what is borrowed and not granted.
    pub(crate) fn bucket(&mut self, now: Instant) -> TokenBucket {
        self.advance(now);
        self.bucket
    }

    /// Adds or renews a loan. `sent` is the time at which its request was sent.
    pub fn accept(&mut self, now: Instant, lender: &VmId, sent: Instant, loan: &Loan) {
        self.advance(now);
        let expires = sent + Duration::from_micros(loan.lease_us);
        if now >= expires || loan.id == 0 {
            return;
        }
        let newest = self.newest_loans.get(lender).copied().unwrap_or(0);
        let tokens = match self.loans.get(lender) {
            Some(held) if held.id == loan.id && loan.seq <= held.seq => return,
            Some(held) if held.id == loan.id => 0.0,
            _ if loan.id <= newest => return,
            _ => loan.tokens,
        };
        self.newest_loans.insert(lender.clone(), loan.id);
        let borrowed = Borrowed {
            id: loan.id,
            seq: loan.seq,
            rate: loan.rate,
            capacity: loan.capacity,
            expires,
        };
        self.loans.insert(lender.clone(), borrowed);
        self.resize(now);
        self.bucket.add(now, tokens);
    }

    /// Declines a loan and remembers it, so that a duplicate of its message adds nothing later.
    pub fn decline(&mut self, lender: &VmId, loan: &Loan) -> LoanReturn {
        let newest = self.newest_loans.entry(lender.clone()).or_default();
        *newest = loan.id.max(*newest);
        LoanReturn { id: loan.id, tokens: loan.tokens }
    }

    /// Takes tokens for a request at this member.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.advance(now);
        self.bucket.take(now, tokens)
    }

    /// Seconds until the pool holds `tokens`.
    pub fn wait(&mut self, now: Instant, tokens: f64) -> f64 {
        self.advance(now);
        self.bucket.wait(now, tokens)
    }

    /// Answers a member's request. None if it is not newer than the last one from that member.
    pub fn grant(&mut self, now: Instant, from: &VmId, request: &GrantRequest) -> Option<Grant> {
        self.advance(now);
        let last = self.outstanding.get(from);
        if last.is_some_and(|o| (o.incarnation, o.seq) >= (request.incarnation, request.seq)) {
            return None;
        }
        let ttl = self.settings.grant_ttl;
        let expires = now + ttl + self.settings.expiry_margin();
        // Tokens that the member holds were granted before; a new incarnation holds none.
        let held = match last {
            Some(o) if o.incarnation == request.incarnation => request.holding.min(o.tokens),
            _ => 0.0,
        };
        let entry = Outstanding {
            incarnation: request.incarnation,
            seq: request.seq,
            tokens: held,
            expires,
        };
        self.outstanding.insert(from.clone(), entry);
        self.resize(now);
        let tokens = self.grantable(now, expires, request);
        self.bucket.take(now, tokens);
        if let Some(entry) = self.outstanding.get_mut(from) {
            entry.tokens += tokens;
        }
        self.resize(now);
        let (lease_us, wait_us) = (ttl.as_micros() as u64, self.wait_us(now));
        Some(Grant { seq: request.seq, tokens, lease_us, wait_us })
    }

    /// Returns loans, each with tokens in proportion to its capacity. Loans that cover outstanding
    /// tokens are kept until these tokens have expired.
    pub fn return_loans(&mut self, now: Instant) -> Vec<(VmId, LoanReturn)> {
        self.advance(now);
        let mut uncovered = self.outstanding_total();
        let mut retained = BTreeMap::new();
        let mut returned = Vec::new();
        for (lender, loan) in std::mem::take(&mut self.loans) {
            if uncovered > 0.0 {
                uncovered -= loan.capacity;
                retained.insert(lender, loan);
            } else {
                returned.push((lender, loan));
            }
        }
        let tokens = self.bucket.drain(now);
        let capacity: f64 = returned.iter().map(|(_, l)| l.capacity).sum();
        self.loans = retained;
        self.resize(now);
        let portion =
            |l: &Borrowed| if capacity > 0.0 { tokens * l.capacity / capacity } else { 0.0 };
        returned
            .into_iter()
            .map(|(lender, loan)| (lender, LoanReturn { id: loan.id, tokens: portion(&loan) }))
            .collect()
    }

    /// True if there are no loans and no outstanding tokens.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.loans.is_empty() && self.outstanding.is_empty()
    }

    /// Removes the outstanding tokens of a process that has ended: they can't be used any more.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        self.advance(now);
        if self.outstanding.get(vm).is_some_and(|o| o.incarnation <= incarnation) {
            self.outstanding.remove(vm);
            self.resize(now);
        }
    }

    /// Whole tokens that can be granted until `until`: the loans that are valid until then must
    /// cover all outstanding tokens.
    fn grantable(&mut self, now: Instant, until: Instant, request: &GrantRequest) -> f64 {
        let covering: f64 =
            self.loans.values().filter(|l| l.expires >= until).map(|l| l.capacity).sum();
        let room = (covering - self.outstanding_total()).max(0.0);
        let tokens = self.bucket.tokens(now);
        // Grant only a fraction of the remaining tokens ahead of demand, to leave some for others.
        let ahead =
            request.ahead.min((tokens - request.want).max(0.0) * self.settings.prefetch_ratio);
        (request.want + ahead).min(tokens + 1e-9).min(room + 1e-9).floor().max(0.0)
    }

    /// Time until the next token. A pool that can't hold one has no loans yet, or all its capacity
    /// is outstanding. Both can change soon, so the member retries after a short time.
    fn wait_us(&mut self, now: Instant) -> u64 {
        let wait = self.bucket.wait(now, 1.0);
        match wait.is_finite() {
            true => (wait * 1e6) as u64,
            false => EMPTY_RETRY_DELAY.as_micros() as u64,
        }
    }

    fn outstanding_total(&self) -> f64 {
        self.outstanding.values().map(|o| o.tokens).sum()
    }

    fn resize(&mut self, now: Instant) {
        let rate = self.loans.values().map(|l| l.rate).sum();
        let capacity: f64 = self.loans.values().map(|l| l.capacity).sum();
        self.bucket.resize(now, rate, capacity - self.outstanding_total());
    }

    /// Expires loans and grants in the order of their times, so that no loan refills the bucket
    /// after its expiry.
    fn advance(&mut self, now: Instant) {
        loop {
            let loan = self.loans.values().map(|l| l.expires).min();
            let grant = self.outstanding.values().map(|o| o.expires).min();
            let Some(next) = loan.into_iter().chain(grant).min().filter(|t| *t <= now) else {
                return;
            };
            self.loans.retain(|_, l| l.expires > next);
            self.outstanding.retain(|_, o| o.expires > next);
            self.resize(next);
        }
    }
}
