//! The pool of an account: floors borrowed from members, and tokens granted to members.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::model::{Incarnation, VmId};
use crate::peer::ask::{Ask, Grant, Loan, Return};

use super::{Bucket, Settings};

/// Time after which a pool that can hold no token may be asked again.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// A floor borrowed from a member.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Borrowed {
    id: u64,
    seq: u64,
    rate: f64,
    capacity: f64,
    /// Own time at which the pool stops using it: counted from the sending of the request.
    until: Instant,
}

/// Tokens in a member's wallet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outstanding {
    incarnation: Incarnation,
    seq: u64,
    tokens: f64,
    /// Own time after which the member certainly spends them no longer.
    until: Instant,
}

/// The pool of one account at one member.
///
/// The tokens held and those outstanding never exceed the capacity of the loans in force.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Settings,
    loans: BTreeMap<VmId, Borrowed>,
    /// Newest loan seen of each lender, so that a repeated or late message adds nothing.
    seen: BTreeMap<VmId, u64>,
    outstanding: BTreeMap<VmId, Outstanding>,
    /// Rate: the sum of the loans. Capacity: their sum less what is outstanding.
    bucket: Bucket,
}

impl Pool {
    /// A pool without loans.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            loans: BTreeMap::new(),
            seen: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            bucket: Bucket::new(now, 0.0, 0.0),
        }
    }

    /// The loan held of `lender`, or 0.
    pub fn held(&mut self, now: Instant, lender: &VmId) -> u64 {
        self.advance(now);
        self.loans.get(lender).map_or(0, |l| l.id)
    }

    /// Tokens at hand, and the sums of the loans: tokens, rate and capacity.
    pub fn level(&mut self, now: Instant) -> (f64, f64, f64) {
        self.advance(now);
        let capacity = self.loans.values().map(|l| l.capacity).sum();
        (self.bucket.tokens(now), self.bucket.rate(), capacity)
    }

    /// What is borrowed and not granted.
    pub(crate) fn bucket(&mut self, now: Instant) -> Bucket {
        self.advance(now);
        self.bucket
    }

    /// Takes in a loan or a renewal. `sent` is when its request was sent.
    pub fn accept(&mut self, now: Instant, lender: &VmId, sent: Instant, loan: &Loan) {
        self.advance(now);
        let until = sent + Duration::from_micros(loan.lease_us);
        if now >= until || loan.id == 0 {
            return;
        }
        let newest = self.seen.get(lender).copied().unwrap_or(0);
        let tokens = match self.loans.get(lender) {
            Some(held) if held.id == loan.id && loan.seq <= held.seq => return,
            Some(held) if held.id == loan.id => 0.0,
            _ if loan.id <= newest => return,
            _ => loan.tokens,
        };
        self.seen.insert(lender.clone(), loan.id);
        let borrowed = Borrowed {
            id: loan.id,
            seq: loan.seq,
            rate: loan.rate,
            capacity: loan.capacity,
            until,
        };
        self.loans.insert(lender.clone(), borrowed);
        self.resize(now);
        self.bucket.add(now, tokens);
    }

    /// Refuses a loan, so that a repeated message of it adds nothing either.
    pub fn decline(&mut self, lender: &VmId, loan: &Loan) -> Return {
        let newest = self.seen.entry(lender.clone()).or_default();
        *newest = loan.id.max(*newest);
        Return { id: loan.id, tokens: loan.tokens }
    }

    /// Takes tokens for a request of this member.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.advance(now);
        self.bucket.take(now, tokens)
    }

    /// Seconds until the pool holds `tokens`.
    pub fn wait(&mut self, now: Instant, tokens: f64) -> f64 {
        self.advance(now);
        self.bucket.wait(now, tokens)
    }

    /// Answers a member's ask. An ask older than the last one of that member gets no answer.
    pub fn grant(&mut self, now: Instant, from: &VmId, ask: &Ask) -> Option<Grant> {
        self.advance(now);
        let last = self.outstanding.get(from);
        if last.is_some_and(|o| (o.incarnation, o.seq) >= (ask.incarnation, ask.seq)) {
            return None;
        }
        let lease = self.settings.grant;
        let until = now + lease + self.settings.guard();
        // What the member holds was granted before; a new life holds nothing.
        let held = match last {
            Some(o) if o.incarnation == ask.incarnation => ask.holding.min(o.tokens),
            _ => 0.0,
        };
        let entry = Outstanding { incarnation: ask.incarnation, seq: ask.seq, tokens: held, until };
        self.outstanding.insert(from.clone(), entry);
        self.resize(now);
        let tokens = self.grantable(now, until, ask);
        self.bucket.take(now, tokens);
        if let Some(entry) = self.outstanding.get_mut(from) {
            entry.tokens += tokens;
        }
        self.resize(now);
        let (lease_us, wait_us) = (lease.as_micros() as u64, self.wait_us(now));
        Some(Grant { seq: ask.seq, tokens, lease_us, wait_us })
    }

    /// Gives loans back, each with its part of the tokens. Loans that cover tokens outstanding
    /// are kept until they end.
    pub fn close(&mut self, now: Instant) -> Vec<(VmId, Return)> {
        self.advance(now);
        let mut cover = self.outstanding_total();
        let mut kept = BTreeMap::new();
        let mut given = Vec::new();
        for (lender, loan) in std::mem::take(&mut self.loans) {
            if cover > 0.0 {
                cover -= loan.capacity;
                kept.insert(lender, loan);
            } else {
                given.push((lender, loan));
            }
        }
        let tokens = self.bucket.drain(now);
        let capacity: f64 = given.iter().map(|(_, l)| l.capacity).sum();
        self.loans = kept;
        self.resize(now);
        let part = |l: &Borrowed| if capacity > 0.0 { tokens * l.capacity / capacity } else { 0.0 };
        given
            .into_iter()
            .map(|(lender, loan)| (lender, Return { id: loan.id, tokens: part(&loan) }))
            .collect()
    }

    /// True if nothing is borrowed and nothing outstanding.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.loans.is_empty() && self.outstanding.is_empty()
    }

    /// Drops the tokens outstanding at a process that has ended: they can't be spent any more.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        self.advance(now);
        if self.outstanding.get(vm).is_some_and(|o| o.incarnation <= incarnation) {
            self.outstanding.remove(vm);
            self.resize(now);
        }
    }

    /// Whole tokens that can be granted until `until`: the loans that last so long must cover all
    /// that is then outstanding.
    fn grantable(&mut self, now: Instant, until: Instant, ask: &Ask) -> f64 {
        let lasting: f64 =
            self.loans.values().filter(|l| l.until >= until).map(|l| l.capacity).sum();
        let room = (lasting - self.outstanding_total()).max(0.0);
        let tokens = self.bucket.tokens(now);
        // Ahead of demand only a small part of what is left is given.
        let ahead = ask.ahead.min((tokens - ask.want).max(0.0) * self.settings.ahead);
        (ask.want + ahead).min(tokens + 1e-9).min(room + 1e-9).floor().max(0.0)
    }

    /// Time until the next token. A pool that can hold none is still borrowing, or its capacity is
    /// outstanding: then it is worth asking again soon.
    fn wait_us(&mut self, now: Instant) -> u64 {
        let wait = self.bucket.wait(now, 1.0);
        match wait.is_finite() {
            true => (wait * 1e6) as u64,
            false => ASK_AGAIN.as_micros() as u64,
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

    /// Ends loans and grants in the order of their times, so that nothing refills past its end.
    fn advance(&mut self, now: Instant) {
        loop {
            let loan = self.loans.values().map(|l| l.until).min();
            let grant = self.outstanding.values().map(|o| o.until).min();
            let Some(next) = loan.into_iter().chain(grant).min().filter(|t| *t <= now) else {
                return;
            };
            self.loans.retain(|_, l| l.until > next);
            self.outstanding.retain(|_, o| o.until > next);
            self.resize(next);
        }
    }
}
