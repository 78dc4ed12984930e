//! The pool of rate tokens that one entry VM runs for the whole deployment.
//!
//! Entry VMs lend the pool their shares of every customer's rate and burst, and request tokens from
//! it. A loan's time counts from a timestamp of the pool's own clock that the lender returns with
//! the loan. So a loan expires here before the lender uses its share again, however long the
//! message was delayed.
//!
//! While a customer is short of tokens, its higher classes come first, and each lower class has a
//! floor ([`super::RankClass`]). Else all classes are granted alike, and tokens that any may use.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{CustomerId, VmId};

use super::rank::{CLASSES, RankClass, lowest_token_class};
use super::table::Table;
use super::tokens::FLOOR_RATIO;

/// Duration of a loan from its timestamp.
pub(super) const LOAN_TTL: Duration = Duration::from_millis(1_200);
/// Time for which a member's last request counts. A member is an entry VM that requests tokens.
const MEMBER_TTL: Duration = Duration::from_millis(2_500);

/// Initial tokens of a customer, as time at its lent rate. No other pool has granted any for at
/// least this long.
const INITIAL_FILL: Duration = Duration::from_millis(250);
/// Time for which an open request of a higher class keeps tokens from lower ones, and accrues the
/// floor of its own class. Zone leaders that are short repeat their requests well within it.
const OPEN_TTL: Duration = Duration::from_millis(1_000);
/// Time from the start of a pool in which no customer counts as short: its few tokens are those of a
/// short time, and say nothing of the demand.
const START_PERIOD: Duration = Duration::from_secs(2);
/// Fraction of a customer's burst below which it is short: its classes are distinguished while the
/// tokens here and those that its members hold for any class are fewer. Above, it is within its rate,
/// and tokens that only one class may use would be missing to the others.
const SHORT_RATIO: f64 = 0.35;
/// Part of a customer's burst that lower classes leave here for each higher class that asks while the
/// customer is short, so that random peaks of their demand find tokens.
const RESERVE_RATIO: f64 = 0.15;
/// Most tokens of a class's floor, as time at which it accrues, but at least one token.
const FLOOR_HORIZON: Duration = Duration::from_millis(1_000);

/// An entry VM's request for tokens of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Tokens requested, in addition to those held.
    pub tokens: f64,
    /// Tokens that the VM holds.
    pub held: f64,
    /// The class of requests that they are for.
    pub rank: RankClass,
}

/// Tokens granted for one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenGrant {
    /// The customer.
    pub customer: CustomerId,
    /// The number of tokens.
    pub tokens: f64,
    /// The class of requests that they are for; none if any may use them.
    pub rank: Option<RankClass>,
}

/// The tokens of all customers, from the shares of their rates that are lent to this entry VM.
#[derive(Clone, Debug, Default)]
pub struct TokenPool {
    loans: HashMap<VmId, Loan>,
    buckets: BTreeMap<CustomerId, CustomerBucket>,
    /// When tokens were last added.
    refilled: Duration,
    /// Tokens that each customer may have beyond its burst: part of the requests that the
    /// deployment allows above the rate limit.
    slack: f64,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    /// The lender's share of every customer's rate and burst.
    share: f64,
    expires: Duration,
}

#[derive(Clone, Debug, Default)]
struct CustomerBucket {
    /// Tokens that can be granted.
    tokens: f64,
    /// When the pool began to grant them.
    since: Duration,
    /// The part of the customer's burst that is lent.
    burst: f64,
    /// The lowest class in which requests take tokens.
    lowest: RankClass,
    /// Of `tokens`, those that only the class may be granted.
    floors: [f64; CLASSES],
    members: HashMap<(VmId, RankClass), MemberState>,
}

/// What a member last reported about a class of a customer.
#[derive(Clone, Copy, Debug)]
struct MemberState {
    /// Tokens requested and not granted.
    requested: f64,
    held: f64,
    /// Tokens held when it reported, less one: a member with less than one admits no request.
    spare: f64,
    reported: Duration,
}

impl TokenPool {
    /// A pool without loans that may keep `slack` tokens above each burst.
    pub fn new(slack: f64) -> Self {
        Self { slack, ..Self::default() }
    }

    /// Accepts a loan of `share` of every rate. `timestamp` is the pool's own time that the lender
    /// last received from it; if it is too old or in the future, the loan is ignored.
    pub fn accept_loan(
        &mut self,
        now: Duration,
        table: &Table,
        vm: &VmId,
        share: f64,
        timestamp: Duration,
    ) {
        self.refill(now, table);
        let expires = timestamp + LOAN_TTL;
        if expires <= now || timestamp > now {
            return;
        }
        self.loans.insert(vm.clone(), Loan { share, expires });
    }

    /// Gives up all loans, so that the lenders may use their shares again at once.
    pub fn release_loans(&mut self) {
        self.loans.clear();
        self.buckets.clear();
    }

    /// True if a loan from `vm` is in use.
    pub fn has_loan(&self, now: Duration, vm: &VmId) -> bool {
        self.loans.get(vm).is_some_and(|l| l.expires > now)
    }

    /// Grants tokens for the requests of a member. If there are too few for the open requests of
    /// all members, each request gets its proportional part.
    pub fn grant(
        &mut self,
        now: Duration,
        table: &Table,
        vm: &VmId,
        requests: &[TokenRequest],
    ) -> Vec<TokenGrant> {
        self.refill(now, table);
        requests.iter().filter_map(|request| self.grant_one(now, vm, request)).collect()
    }

    /// The share of every rate that is lent to the pool now, from 0 to 1.
    pub fn lent_share(&self, now: Duration) -> f64 {
        self.loans.values().filter(|l| l.expires > now).map(|l| l.share).sum::<f64>().min(1.0)
    }

    fn grant_one(
        &mut self,
        now: Duration,
        vm: &VmId,
        request: &TokenRequest,
    ) -> Option<TokenGrant> {
        let bucket = self.buckets.get_mut(&request.customer)?;
        let (class, key) = (request.rank, (vm.clone(), request.rank));
        let (requested, held, reported) = (request.tokens, request.held, now);
        let spare = (held - 1.0).max(0.0);
        let member = MemberState { requested, held, spare, reported };
        bucket.members.insert(key.clone(), member);
        let short = bucket.is_short(now);
        let (total, available) = match short {
            true => (bucket.requested(class, MEMBER_TTL, now), bucket.available(now, class)),
            false => (bucket.members.values().map(|m| m.requested).sum(), bucket.tokens),
        };
        let fraction = if total <= available { 1.0 } else { available / total };
        let tokens = (request.tokens * fraction).min(available).max(0.0);
        bucket.tokens -= tokens;
        let floor = &mut bucket.floors[class.index()];
        *floor = (*floor - tokens).max(0.0);
        if let Some(member) = bucket.members.get_mut(&key) {
            member.held += tokens;
            member.requested -= tokens;
        }
        let customer = request.customer.clone();
        (tokens > 0.0).then_some(TokenGrant { customer, tokens, rank: short.then_some(class) })
    }

    /// Adds the tokens of the time since the last call. A customer's tokens, including those that
    /// members hold, stay within its burst and the slack.
    fn refill(&mut self, now: Duration, table: &Table) {
        let elapsed = now.saturating_sub(self.refilled).min(LOAN_TTL).as_secs_f64();
        let (share, lowest) = (self.lent_share(now), lowest_token_class(table));
        self.refilled = self.refilled.max(now);
        self.loans.retain(|_, l| l.expires > now);
        self.buckets.retain(|id, _| table.customers.iter().any(|c| &c.id == id));
        for customer in table.customers.iter().filter(|c| c.rate > 0.0) {
            let initial = customer.rate * share * INITIAL_FILL.as_secs_f64();
            let bucket = self.buckets.entry(customer.id.clone());
            let bucket = bucket.or_insert_with(|| CustomerBucket {
                tokens: initial,
                since: now,
                ..CustomerBucket::default()
            });
            bucket.members.retain(|_, m| now.saturating_sub(m.reported) < MEMBER_TTL);
            (bucket.burst, bucket.lowest) = (customer.burst * share, lowest);
            bucket.accrue_floors(now, customer.rate * share * FLOOR_RATIO, elapsed);
            let held: f64 = bucket.members.values().map(|m| m.held).sum();
            let cap = (customer.burst * share + self.slack - held).max(0.0);
            bucket.tokens = (bucket.tokens + customer.rate * share * elapsed).min(cap);
        }
    }
}

impl CustomerBucket {
    /// Tokens that members have requested for `class` within `ttl`, and that were not granted.
    fn requested(&self, class: RankClass, ttl: Duration, now: Duration) -> f64 {
        let recent = |m: &MemberState| now.saturating_sub(m.reported) < ttl;
        let of_class = self.members.iter().filter(|((_, c), m)| *c == class && recent(m));
        of_class.map(|(_, m)| m.requested).sum()
    }

    /// True if the classes are distinguished: there are several, and few tokens that all may use.
    fn is_short(&self, now: Duration) -> bool {
        if now < self.since + START_PERIOD {
            return false;
        }
        let lowest = self.members.iter().filter(|((_, class), _)| *class == self.lowest);
        let spare: f64 = lowest.map(|(_, m)| m.spare).sum();
        self.lowest != RankClass::HIGHEST && self.tokens + spare < self.burst * SHORT_RATIO
    }

    /// Tokens that lower classes leave for `class`: its open requests, and a reserve if it asks.
    fn reserve(&self, now: Duration, class: RankClass) -> f64 {
        let recent = |m: &MemberState| now.saturating_sub(m.reported) < OPEN_TTL;
        let asks = self.members.iter().any(|((_, c), m)| *c == class && recent(m));
        let reserve = if asks { self.burst * RESERVE_RATIO } else { 0.0 };
        self.requested(class, OPEN_TTL, now) + reserve
    }

    /// Tokens that `class` may be granted: what the reserves of higher classes and the floors of
    /// lower ones leave, but at least its own floor.
    fn available(&self, now: Duration, class: RankClass) -> f64 {
        let higher: f64 = class.higher().iter().map(|c| self.reserve(now, *c)).sum();
        let floors: f64 = class.lower().iter().map(|c| self.floors[c.index()]).sum();
        let left = self.tokens - higher - floors;
        left.max(self.floors[class.index()]).min(self.tokens).max(0.0)
    }

    /// Earmarks tokens for lower classes with open requests, `rate` per second for each.
    fn accrue_floors(&mut self, now: Duration, rate: f64, seconds: f64) {
        let most = (rate * FLOOR_HORIZON.as_secs_f64()).max(1.0);
        for class in RankClass::HIGHEST.lower() {
            let open = self.requested(*class, OPEN_TTL, now) > 0.0;
            let floor = self.floors[class.index()];
            self.floors[class.index()] =
                if open { (floor + rate * seconds).min(most) } else { 0.0 };
        }
    }
}
