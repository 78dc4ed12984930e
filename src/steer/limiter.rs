//! One entry VM's rate limiter: its tokens of each customer.
//!
//! Tokens come from the VM's own share of every customer's rate. While that share is lent to the
//! pool ([`super::TokenPool`]), they come from the token leader, which requests tokens for its zone
//! from the pool with a second limiter. A share is never used here and in the pool at once, so that
//! all VMs together stay within the rate.
//!
//! Tokens are kept by class ([`super::RankClass`]). Classes only divide the tokens; how many there
//! are does not depend on them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{CustomerId, Incarnation, VmId};

use super::pool::{LOAN_TTL, TokenGrant, TokenRequest};
use super::rank::{RankClass, lowest_token_class};
use super::table::{Customer, Table};
use super::tokens::{CustomerTokens, FLOOR_RATIO, UsableShare, own_burst};

/// Added to a loan's duration before the lender uses its share again, since clocks may run at
/// different speeds.
const LOAN_MARGIN: Duration = Duration::from_millis(50);
/// Time for which a rate counts as exhausted after the pool has granted too few tokens.
const EXHAUSTED_TTL: Duration = Duration::from_millis(300);
/// Fewest tokens that are worth a request. A customer for which fewer are wanted and fewer are held
/// is left out of the requests.
const REQUEST_MIN: f64 = 0.3;
/// Longest time until there is room that is told to a refused caller; later, the estimate of the
/// demand no longer holds.
const ROOM_MAX: Duration = Duration::from_secs(4);
/// Smallest share of a customer's callers that a VM counts on, if look-ups do not return it.
const CALLERS_SHARE_MIN: f64 = 0.01;

/// The result of taking a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeResult {
    /// A token was taken.
    Taken,
    /// None is available here; the pool may grant more.
    Empty,
    /// None is available here, and the pool has just granted fewer than requested.
    Exhausted,
}

/// The tokens of one entry VM, by customer.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// This VM's fraction of every customer's rate and burst.
    share: f64,
    /// The share is not used before this time: other VMs may not have reduced theirs yet.
    joining_until: Duration,
    /// The share is not used before this time: an earlier incarnation may have lent it.
    prior_loan_until: Duration,
    loan: Option<Loan>,
    /// When the pool last gave back a loan.
    returned_at: Duration,
    /// The timestamp that the pool last sent, to be returned with the next loan.
    timestamp: Option<(VmId, PoolTimestamp)>,
    buckets: BTreeMap<CustomerId, CustomerTokens>,
    /// Time for which the requested tokens should last at the current demand.
    ahead: Duration,
    /// Tokens kept for a customer without recent demand, as a fraction of its burst.
    reserve: f64,
}

/// The incarnation of the VM that runs the pool, and a time on its own clock.
pub type PoolTimestamp = (Incarnation, Duration);

#[derive(Clone, Debug)]
struct Loan {
    pool: VmId,
    /// When the pool is certain to have stopped using it.
    ends: Duration,
}

impl RateLimiter {
    /// The limiter of a process that starts at `now`. It requests tokens that last for `ahead`, and
    /// keeps the fraction `reserve` of each burst.
    pub fn new(now: Duration, ahead: Duration, reserve: f64) -> Self {
        let (loan, timestamp, buckets) = Default::default();
        let (joining_until, prior_loan_until) = (now, now + LOAN_TTL + LOAN_MARGIN);
        let (share, returned_at) = (0.0, Duration::ZERO);
        Self {
            share,
            joining_until,
            prior_loan_until,
            loan,
            returned_at,
            timestamp,
            buckets,
            ahead,
            reserve,
        }
    }

    /// Sets this VM's share of every rate, which is not used before `joining_until`.
    pub fn set_share(&mut self, share: f64, joining_until: Duration) {
        self.share = share;
        self.joining_until = self.joining_until.max(joining_until);
    }

    /// Takes a token of `customer` for a request of `class`. `first` is false if the same request has
    /// tried before, so that it counts as demand once.
    pub fn take(
        &mut self,
        now: Duration,
        customer: &Customer,
        class: RankClass,
        first: bool,
    ) -> TakeResult {
        if customer.rate <= 0.0 {
            return TakeResult::Taken;
        }
        let bucket = self.bucket(now, customer);
        if first {
            bucket.classes[class.index()].add_demand(now, 1.0);
        }
        if bucket.available(class) >= 1.0 {
            bucket.withdraw(class, 1.0);
            return TakeResult::Taken;
        }
        let state = &mut bucket.classes[class.index()];
        if first {
            state.missed += 1.0;
        }
        if now < state.exhausted_until { TakeResult::Exhausted } else { TakeResult::Empty }
    }

    /// Counts a request of `class` that must wait for a token because others wait before it.
    pub fn record_waiting(&mut self, now: Duration, customer: &Customer, class: RankClass) {
        let bucket = self.bucket(now, customer);
        let state = &mut bucket.classes[class.index()];
        state.add_demand(now, 1.0);
        state.missed += 1.0;
    }

    /// Returns the token of a request that was certainly not sent. It is dropped if the VM holds its
    /// own part of the burst already: tokens that come back late must not add up over VMs.
    pub fn give_back(&mut self, now: Duration, customer: &Customer, class: RankClass) {
        if customer.rate <= 0.0 {
            return;
        }
        let most = own_burst(customer, self.share);
        let bucket = self.bucket(now, customer);
        let room = (most - bucket.total()).clamp(0.0, 1.0);
        bucket.classes[class.index()].tokens += room;
    }

    /// Time until a token will be available for a refused request of `class`, if all requests that
    /// were refused before return as they were told. Estimated from this VM's share of the rate and
    /// the demand of higher classes here.
    pub fn room_after(&mut self, now: Duration, customer: &Customer, class: RankClass) -> Duration {
        let rate = customer.rate * self.share.max(CALLERS_SHARE_MIN);
        let bucket = self.bucket(now, customer);
        let higher = class.higher().iter().map(|c| bucket.classes[c.index()].demand);
        let refill = (rate - higher.sum::<f64>()).max(rate * FLOOR_RATIO);
        let interval = ROOM_MAX.as_secs_f64().min(1.0 / refill);
        let state = &mut bucket.classes[class.index()];
        let room_at = state.room_at.max(now) + Duration::from_secs_f64(interval);
        state.room_at = room_at.min(now + ROOM_MAX);
        state.room_at.saturating_sub(now)
    }

    /// Takes tokens for another VM's request, at most as many as it asks for; none if the VM would
    /// then still hold less than one, which admits no request. The tokens taken count as demand;
    /// those that are lacking are added to the next request to the pool.
    pub fn take_for(&mut self, now: Duration, customer: &Customer, request: &TokenRequest) -> f64 {
        let bucket = self.bucket(now, customer);
        let available = request.tokens.min(bucket.available(request.rank)).max(0.0);
        let taken = if request.held + available < 1.0 { 0.0 } else { available };
        bucket.withdraw(request.rank, taken);
        let state = &mut bucket.classes[request.rank.index()];
        state.add_demand(now, taken);
        state.missed = state.missed.max(request.tokens - taken);
        taken
    }

    /// The requests to send to the pool or the token leader, by customer and class. Those whose last
    /// request has no response yet are left out, so that requests for others need not wait for it.
    /// Common tokens are requested with those of the lowest class.
    pub fn token_requests(&mut self, now: Duration, table: &Table) -> Vec<TokenRequest> {
        let lowest = lowest_token_class(table);
        let (ahead, reserve) = (self.ahead.as_secs_f64(), self.reserve);
        let mut out = Vec::new();
        for customer in table.customers.iter().filter(|c| c.rate > 0.0) {
            let bucket = self.bucket(now, customer);
            for &rank in &RankClass::ALL[..=lowest.index()] {
                let common = if rank == lowest { bucket.common } else { 0.0 };
                let reserve = if rank == lowest { customer.burst * reserve } else { 0.0 };
                let state = &mut bucket.classes[rank.index()];
                if state.requested > 0.0 {
                    continue;
                }
                let needed = state.demand * ahead + state.missed;
                state.missed = 0.0;
                let held = state.tokens + common;
                let tokens = ((needed + reserve).min(customer.burst) - held).max(0.0);
                if tokens >= REQUEST_MIN || held >= REQUEST_MIN {
                    state.requested = tokens;
                    state.own_requested = (needed - state.tokens).clamp(0.0, tokens);
                    out.push(TokenRequest { customer: customer.id.clone(), tokens, held, rank });
                }
            }
        }
        self.buckets.retain(|id, _| table.customers.iter().any(|c| &c.id == id));
        out
    }

    /// The share and the pool's timestamp, if the share may be lent to `pool` now. The pool must
    /// have sent a timestamp first (see [`Self::start_loan`]).
    pub fn lendable(&mut self, now: Duration, pool: &VmId) -> Option<(f64, PoolTimestamp)> {
        if self.share <= 0.0 || self.is_waiting(now) {
            return None;
        }
        if self.loan.as_ref().is_some_and(|l| l.pool != *pool && l.ends > now) {
            return None;
        }
        let (_, timestamp) = self.timestamp.as_ref().filter(|(vm, _)| vm == pool)?;
        self.loan.as_mut().filter(|l| l.pool == *pool)?;
        Some((self.share, *timestamp))
    }

    /// Stores a pool's timestamp. From now on the share counts as lent to that pool. Returns true
    /// if it was not lent before. Does nothing while the share is lent to another pool.
    pub fn start_loan(&mut self, now: Duration, pool: &VmId, timestamp: PoolTimestamp) -> bool {
        // The pool stops using a loan with this timestamp before `ends`.
        let ends = now + LOAN_TTL + LOAN_MARGIN;
        let old = self.loan.as_ref().filter(|l| l.ends > now);
        if old.is_some_and(|l| l.pool != *pool) {
            return false;
        }
        let new = old.is_none();
        self.loan = Some(Loan { pool: pool.clone(), ends });
        self.timestamp = Some((pool.clone(), timestamp));
        new
    }

    /// True if the share counts as lent to a pool.
    pub fn is_lent(&self, now: Duration) -> bool {
        self.loan.as_ref().is_some_and(|l| l.ends > now)
    }

    /// Allows the share to be used, since the pool holds no loan of an earlier incarnation.
    pub fn clear_prior_loan(&mut self, now: Duration) {
        self.prior_loan_until = self.prior_loan_until.min(now);
    }

    /// Ends the loan to `pool`, since the pool has given it back.
    pub fn end_loan(&mut self, now: Duration, pool: &VmId) {
        if self.loan.as_ref().is_some_and(|l| l.pool == *pool) {
            self.returned_at = now;
            self.loan = None;
            self.timestamp = None;
        }
    }

    /// Adds the tokens granted for `requests`. A class of a customer counts as exhausted for a while
    /// if at least one requested token was not granted and less than one is left.
    pub fn add_grants(&mut self, now: Duration, requests: &[TokenRequest], grants: &[TokenGrant]) {
        let mut lacking: HashMap<&CustomerId, f64> = HashMap::new();
        for request in requests {
            *lacking.entry(&request.customer).or_default() += request.tokens;
        }
        for grant in grants {
            *lacking.entry(&grant.customer).or_default() -= grant.tokens;
            let bucket = self.buckets.entry(grant.customer.clone()).or_default();
            bucket.add_granted(grant.rank, grant.tokens);
        }
        for request in requests {
            let Some(bucket) = self.buckets.get_mut(&request.customer) else { continue };
            let available = bucket.available(request.rank);
            let state = &mut bucket.classes[request.rank.index()];
            let lacks = state.requested >= 1.0 && lacking[&request.customer] >= 1.0;
            if lacks && available < 1.0 {
                state.exhausted_until = now + EXHAUSTED_TTL;
            }
            state.end_request();
        }
    }

    /// Records that `requests` will get no response.
    pub fn cancel_requests(&mut self, requests: &[TokenRequest]) {
        for request in requests {
            if let Some(bucket) = self.buckets.get_mut(&request.customer) {
                bucket.classes[request.rank.index()].end_request();
            }
        }
    }

    /// The customer's tokens, brought up to date.
    fn bucket(&mut self, now: Duration, customer: &Customer) -> &mut CustomerTokens {
        let usable = self.usable_share(now);
        let bucket = self.buckets.entry(customer.id.clone()).or_default();
        bucket.refill(now, customer, usable);
        bucket
    }

    /// The share that this VM itself may use now, and since when.
    fn usable_share(&self, now: Duration) -> UsableShare {
        let lent = self.loan.as_ref().map_or(Duration::ZERO, |l| l.ends);
        let since = lent.max(self.joining_until).max(self.prior_loan_until).max(self.returned_at);
        UsableShare { share: if since > now { 0.0 } else { self.share }, since }
    }

    /// True if the share may be neither used nor lent yet.
    fn is_waiting(&self, now: Duration) -> bool {
        now < self.joining_until.max(self.prior_loan_until)
    }
}
