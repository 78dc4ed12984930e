//! One customer's tokens at one entry VM, by class.
//!
//! A token of a class is used by requests of that class only. Common tokens are used by all, after
//! their own.

use std::time::Duration;

use super::rank::{CLASSES, RankClass};
use super::table::Customer;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Time without a request of a class after which its tokens, except for one, become common, so that
/// they are not lost to the other classes.
const RELEASE_DELAY: Duration = Duration::from_millis(1_000);
/// The same for the last one. It is longer, so that a class with few requests keeps a token between
/// them.
const LAST_RELEASE_DELAY: Duration = Duration::from_millis(3_000);
/// Longest time at its demand for which a class keeps tokens of the VM's own share.
const OWN_SHARE_HORIZON: Duration = Duration::from_millis(1_000);
/// Fraction of a customer's rate that each lower class gets however many requests of higher classes
/// there are.
pub(super) const FLOOR_RATIO: f64 = 0.05;

/// One customer's tokens at one entry VM.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CustomerTokens {
    pub(super) classes: [ClassTokens; CLASSES],
    /// Tokens that any class may use.
    pub(super) common: f64,
    /// When tokens and demand were last updated.
    updated: Duration,
}

/// The tokens of one class of a customer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassTokens {
    pub(super) tokens: f64,
    /// Moving average of requests per second.
    pub(super) demand: f64,
    /// When a request of this class last wanted a token.
    pub(super) wanted_at: Duration,
    /// Requests that found no token since tokens were last requested from the pool.
    pub(super) missed: f64,
    /// Tokens of the last request to the pool; zero once it has a response.
    pub(super) requested: f64,
    /// Those of `requested` that are for this class; the others become common.
    pub(super) own_requested: f64,
    /// Until then, the rate counts as exhausted.
    pub(super) exhausted_until: Duration,
    /// When a token will be available for the next refused request, after those refused before.
    pub(super) room_at: Duration,
}

/// The share that a VM uses itself; 0 while it is lent.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsableShare {
    pub(super) share: f64,
    pub(super) since: Duration,
}

impl ClassTokens {
    pub(super) fn add_demand(&mut self, now: Duration, requests: f64) {
        self.demand += requests / DEMAND_WINDOW.as_secs_f64();
        self.wanted_at = now;
    }

    /// Adds granted tokens; returns those beyond the ones requested for this class.
    fn add_granted(&mut self, tokens: f64) -> f64 {
        let own = tokens.min(self.own_requested);
        self.tokens += own;
        self.own_requested -= own;
        tokens - own
    }

    /// Removes the tokens that the class does not ask for, and returns their number.
    fn release(&mut self, now: Duration) -> f64 {
        let kept = match now.saturating_sub(self.wanted_at) {
            idle if idle < RELEASE_DELAY => return 0.0,
            idle if idle < LAST_RELEASE_DELAY => self.tokens.min(1.0),
            _ => 0.0,
        };
        let released = self.tokens - kept;
        self.tokens = kept;
        released
    }

    pub(super) fn end_request(&mut self) {
        (self.requested, self.own_requested) = (0.0, 0.0);
    }
}

impl CustomerTokens {
    /// All tokens held.
    pub(super) fn total(&self) -> f64 {
        self.common + self.classes.iter().map(|c| c.tokens).sum::<f64>()
    }

    /// Tokens that requests of `class` may use.
    pub(super) fn available(&self, class: RankClass) -> f64 {
        self.classes[class.index()].tokens + self.common
    }

    /// Adds granted tokens for `class`; without a class, or beyond its request, they are common.
    pub(super) fn add_granted(&mut self, class: Option<RankClass>, tokens: f64) {
        let surplus = class.map_or(tokens, |c| self.classes[c.index()].add_granted(tokens));
        self.common += surplus;
    }

    /// Takes `tokens` of those available to `class`, its own first.
    pub(super) fn withdraw(&mut self, class: RankClass, tokens: f64) {
        let state = &mut self.classes[class.index()];
        let own = tokens.min(state.tokens);
        state.tokens -= own;
        self.common = (self.common - (tokens - own)).max(0.0);
    }

    /// Brings tokens and demand up to date.
    pub(super) fn refill(&mut self, now: Duration, customer: &Customer, usable: UsableShare) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let decay = (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        for class in &mut self.classes {
            class.demand *= decay;
            self.common += class.release(now);
        }
        if usable.share > 0.0 {
            let total = self.total();
            let cap = own_burst(customer, usable.share).max(total);
            let usable_for = now.saturating_sub(self.updated.max(usable.since)).as_secs_f64();
            let gain = (customer.rate * usable.share * usable_for).min(cap - total);
            self.divide(gain, usable_for);
        }
        self.limit(customer.burst);
        self.updated = now;
    }

    /// Divides tokens of the VM's own share that accrued in `seconds`: each lower class in demand
    /// gets its floor, then each class what its demand needs, the highest first. The rest is common.
    fn divide(&mut self, gain: f64, seconds: f64) {
        let mut left = gain;
        let floor = gain * FLOOR_RATIO;
        for class in RankClass::HIGHEST.lower() {
            left -= self.classes[class.index()].take_part(floor, seconds);
        }
        for class in &mut self.classes {
            left -= class.take_part(left, seconds);
        }
        self.common += left;
    }

    /// Removes tokens above `most`, common ones first, then those of the lowest class.
    fn limit(&mut self, most: f64) {
        let mut excess = (self.total() - most).max(0.0);
        let classes = self.classes.iter_mut().rev().map(|c| &mut c.tokens);
        for tokens in std::iter::once(&mut self.common).chain(classes) {
            let removed = excess.min(*tokens);
            *tokens -= removed;
            excess -= removed;
        }
    }
}

impl ClassTokens {
    /// Adds as many of `tokens` as the demand of `seconds` needs, and returns their number.
    fn take_part(&mut self, tokens: f64, seconds: f64) -> f64 {
        let keep = (self.demand * OWN_SHARE_HORIZON.as_secs_f64()).max(1.0);
        let needed = (self.demand * seconds).min(keep - self.tokens).max(0.0);
        let part = tokens.min(needed);
        self.tokens += part;
        part
    }
}

/// The part of a customer's burst that belongs to a share. A bucket that holds less than one token
/// would never admit a request.
pub(super) fn own_burst(customer: &Customer, share: f64) -> f64 {
    (customer.burst * share).max(1.0)
}
