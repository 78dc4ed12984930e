//! One entry VM's tokens of each customer: from its own part, or from the pool that it lends to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::{CustomerId, Incarnation, VmId};

use super::pool::{LOAN, TokenGrant, TokenRequest};
use super::table::{Customer, Table};

/// Added to a loan before the lender uses its part again, for clocks that run at other speeds.
const LOAN_GUARD: Duration = Duration::from_millis(50);
/// Time over which demand is smoothed.
const SMOOTH: Duration = Duration::from_millis(1_000);

/// Time for which a rate counts as used up after the pool has given too few tokens.
const SHORT: Duration = Duration::from_millis(300);
/// Fewer tokens are not worth an ask.
const ASK_MIN: f64 = 0.3;

/// What became of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeResult {
    /// The request may go on.
    Taken,
    /// There is none at hand; more may be had from the pool.
    Empty,
    /// There is none at hand, and the pool has just given fewer than were asked for.
    Exhausted,
}

/// The tokens of one entry VM.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// This VM's part of every sum.
    part: f64,
    /// The part is not used before this time: others may not know yet that this VM has one.
    idle_until: Duration,
    /// The part is not used before this time: an earlier life of this VM may have lent it.
    unsure_until: Duration,
    loan: Option<Loan>,
    /// When the last loan was given back.
    returned_at: Duration,
    /// The pool's life and time that it last sent, to be sent back with the next loan.
    stamp: Option<(VmId, PoolTimestamp)>,
    accounts: BTreeMap<CustomerId, Account>,
    /// Time that tokens asked for ahead should last.
    ahead: Duration,
    /// Tokens kept at hand for a customer that has sent nothing lately, as a part of its burst.
    spare: f64,
}

/// A life of a pool, and a time on its own clock.
pub type PoolTimestamp = (Incarnation, Duration);

#[derive(Clone, Debug)]
struct Loan {
    pool: VmId,
    /// From here on the pool surely uses it no more.
    over: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    tokens: f64,
    /// Requests a second, smoothed.
    demand: f64,
    at: Duration,
    /// Requests that found no token since the last ask.
    missed: f64,
    /// Tokens asked for and not given yet.
    asked: f64,
    /// Until then, the rate counts as used up.
    short_until: Duration,
}

impl RateLimiter {
    /// The purse of a process that starts at `now`. It asks for tokens that last for `ahead`, and
    /// keeps `spare` of each burst at hand.
    pub fn new(now: Duration, ahead: Duration, spare: f64) -> Self {
        let (loan, stamp, accounts) = Default::default();
        let (idle_until, unsure_until) = (now, now + LOAN + LOAN_GUARD);
        let (part, returned_at) = (0.0, Duration::ZERO);
        Self { part, idle_until, unsure_until, loan, returned_at, stamp, accounts, ahead, spare }
    }

    /// Learns this VM's part of every sum.
    pub fn set_share(&mut self, part: f64, idle_until: Duration) {
        self.part = part;
        self.idle_until = self.idle_until.max(idle_until);
    }

    /// Takes a token of `customer`.
    pub fn take(&mut self, now: Duration, customer: &Customer, first: bool) -> TakeResult {
        if customer.rate <= 0.0 {
            return TakeResult::Taken;
        }
        let floor = self.floor(now);
        let account = self.accounts.entry(customer.id.clone()).or_default();
        account.refill(now, customer, floor);
        if first {
            account.demand += 1.0 / SMOOTH.as_secs_f64();
        }
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
            return TakeResult::Taken;
        }
        if first {
            account.missed += 1.0;
        }
        if now < account.short_until { TakeResult::Exhausted } else { TakeResult::Empty }
    }

    /// Hands out at most `tokens` to another VM, and counts them as demand.
    pub fn take_up_to(&mut self, now: Duration, customer: &Customer, tokens: f64) -> f64 {
        let floor = self.floor(now);
        let account = self.accounts.entry(customer.id.clone()).or_default();
        account.refill(now, customer, floor);
        let given = tokens.min(account.tokens).max(0.0);
        account.tokens -= given;
        account.demand += given / SMOOTH.as_secs_f64();
        account.missed = account.missed.max(tokens - given);
        given
    }

    /// What to ask of the pool.
    pub fn token_requests(&mut self, now: Duration, table: &Table) -> Vec<TokenRequest> {
        let floor = self.floor(now);
        let mut out = Vec::new();
        for customer in table.customers.iter().filter(|c| c.rate > 0.0) {
            let account = self.accounts.entry(customer.id.clone()).or_default();
            account.refill(now, customer, floor);
            let spare = customer.burst * self.spare;
            let goal = account.demand * self.ahead.as_secs_f64() + account.missed + spare;
            account.missed = 0.0;
            let tokens = (goal.min(customer.burst) - account.tokens).max(0.0);
            account.asked = tokens;
            if tokens >= ASK_MIN || account.tokens >= ASK_MIN {
                let (customer, held) = (customer.id.clone(), account.tokens);
                out.push(TokenRequest { customer, tokens, held });
            }
        }
        self.accounts.retain(|id, _| table.customers.iter().any(|c| &c.id == id));
        out
    }

    /// What may be lent to `pool` now: the part, and the pool's own stamp. The part is lent from
    /// this moment on.
    pub fn lendable(&mut self, now: Duration, pool: &VmId) -> Option<(f64, PoolTimestamp)> {
        if self.part <= 0.0 || self.is_idle(now) {
            return None;
        }
        if self.loan.as_ref().is_some_and(|l| l.pool != *pool && l.over > now) {
            return None;
        }
        let (_, stamp) = self.stamp.as_ref().filter(|(vm, _)| vm == pool)?;
        self.loan.as_mut().filter(|l| l.pool == *pool)?;
        Some((self.part, *stamp))
    }

    /// Takes in a pool's stamp. From here on the part counts as lent. True if it was not before.
    pub fn start_loan(&mut self, now: Duration, pool: &VmId, stamp: PoolTimestamp) -> bool {
        // A loan under this stamp ends at the pool before `over`.
        let over = now + LOAN + LOAN_GUARD;
        let old = self.loan.as_ref().filter(|l| l.over > now);
        if old.is_some_and(|l| l.pool != *pool) {
            return false;
        }
        let new = old.is_none();
        self.loan = Some(Loan { pool: pool.clone(), over });
        self.stamp = Some((pool.clone(), stamp));
        new
    }

    /// Learns from the pool that no earlier life of this VM has lent it anything.
    pub fn clear_prior_loan(&mut self, now: Duration) {
        self.unsure_until = self.unsure_until.min(now);
    }

    /// Learns that `pool` uses no loan any more.
    pub fn end_loan(&mut self, now: Duration, pool: &VmId) {
        if self.loan.as_ref().is_some_and(|l| l.pool == *pool) {
            self.returned_at = now;
            self.loan = None;
            self.stamp = None;
        }
    }

    /// Takes in the answer to the last ask.
    pub fn add_grants(&mut self, now: Duration, grants: &[TokenGrant]) {
        for grant in grants {
            let account = self.accounts.entry(grant.customer.clone()).or_default();
            account.tokens += grant.tokens;
            account.asked -= grant.tokens;
        }
        for account in self.accounts.values_mut() {
            if account.asked >= 1.0 && account.tokens < 1.0 {
                account.short_until = now + SHORT;
            }
            account.asked = 0.0;
        }
    }

    /// The part that this VM itself may use now, and since when.
    fn floor(&self, now: Duration) -> Floor {
        let lent = self.loan.as_ref().map_or(Duration::ZERO, |l| l.over);
        let since = lent.max(self.idle_until).max(self.unsure_until).max(self.returned_at);
        Floor { part: if since > now { 0.0 } else { self.part }, since }
    }

    fn is_idle(&self, now: Duration) -> bool {
        now < self.idle_until.max(self.unsure_until)
    }
}

/// A part that a VM uses itself.
#[derive(Clone, Copy, Debug)]
struct Floor {
    part: f64,
    since: Duration,
}

impl Account {
    fn refill(&mut self, now: Duration, customer: &Customer, floor: Floor) {
        let passed = now.saturating_sub(self.at);
        self.demand *= (-passed.as_secs_f64() / SMOOTH.as_secs_f64()).exp();
        if floor.part > 0.0 {
            // Less than a whole token would serve nobody.
            let cap = (customer.burst * floor.part).max(1.0).max(self.tokens);
            let owned = now.saturating_sub(self.at.max(floor.since)).as_secs_f64();
            let gain = customer.rate * floor.part * owned;
            self.tokens = (self.tokens + gain).min(cap);
        }
        self.tokens = self.tokens.min(customer.burst);
        self.at = now;
    }
}
