//! One entry VM's budgets of retries, by service.
//!
//! Each request adds a fraction of a retry to the budget. In addition, the deployment allows a
//! fixed number of retries in each window (the slack). It is divided among the entry VMs that are
//! sent callers, so that all of them together stay within the bounds.
//!
//! Lower classes ([`super::RankClass`]) leave a part of the budget to higher ones. A part of what
//! their own requests add is kept for them alone.

use std::collections::HashMap;
use std::time::Duration;

use super::rank::{CLASSES, RankClass};
use crate::model::ServiceId;

/// Fraction of the allowed ratio that is used, so that all VMs together stay below it.
const RATIO_USED: f64 = 0.7;
/// Fraction of the slack that is divided among the VMs.
const SLACK_USED: f64 = 0.6;
/// Part of a full budget that each class leaves to higher ones. The first retry of a budget is open
/// to all, since the budgets of small VMs hold no more.
const RESERVE_RATIOS: [f64; CLASSES] = [0.0, 0.25, 0.5];
/// Fraction of what the requests of a lower class add that is kept for its own retries.
const FLOOR_RATIO: f64 = 0.1;
/// Most retries that are kept for a lower class.
const FLOOR_MAX: f64 = 1.0;

/// Bounds on the retries of all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries as a fraction of the requests.
    pub ratio: f64,
    /// Retries beyond that fraction in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The retry budgets of one entry VM, by service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    /// This VM's fraction of the slack.
    share: f64,
    budgets: HashMap<ServiceId, Budget>,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Retries that may be made now.
    tokens: f64,
    /// Of these, the retries that are kept for each class.
    floors: [f64; CLASSES],
    /// When tokens were last added for elapsed time.
    refilled: Duration,
}

impl RetryBudgets {
    /// Budgets within `bounds`, without a share of the slack until [`Self::set_share`].
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, share: 0.0, budgets: HashMap::new() }
    }

    /// Sets this VM's fraction of the slack.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Adds the fraction of a retry that one request of `class` allows.
    pub fn deposit(&mut self, now: Duration, service: &ServiceId, class: RankClass) {
        let (ratio, cap) = (self.bounds.ratio * RATIO_USED, self.cap());
        let budget = self.budget(now, service);
        budget.tokens = (budget.tokens + ratio).min(cap);
        if class != RankClass::HIGHEST {
            let floor = &mut budget.floors[class.index()];
            *floor = (*floor + ratio * FLOOR_RATIO).min(FLOOR_MAX);
        }
    }

    /// True if a retry of a request of `class` is allowed now.
    pub fn can_withdraw(&mut self, now: Duration, service: &ServiceId, class: RankClass) -> bool {
        let cap = self.cap();
        self.budget(now, service).allows(class, cap)
    }

    /// Takes one retry of a request of `class` from the budget. Returns false if there is none.
    pub fn try_withdraw(&mut self, now: Duration, service: &ServiceId, class: RankClass) -> bool {
        let cap = self.cap();
        let budget = self.budget(now, service);
        let allowed = budget.allows(class, cap);
        if allowed {
            budget.tokens -= 1.0;
            let floor = &mut budget.floors[class.index()];
            *floor = (*floor - 1.0).max(0.0);
        }
        allowed
    }

    /// This VM's part of the slack, in retries.
    fn slack(&self) -> f64 {
        self.bounds.slack * SLACK_USED * self.share
    }

    /// The size of a full budget. One of less than a retry would never allow any.
    fn cap(&self) -> f64 {
        self.slack().max(1.0)
    }

    /// The budget of a service, refilled for the time since its last use.
    fn budget(&mut self, now: Duration, service: &ServiceId) -> &mut Budget {
        let (cap, slack) = (self.cap(), self.slack());
        // A new budget has half of the slack; the other half is added in the course of each window.
        let refill = slack / self.bounds.window.as_secs_f64().max(1.0) / 2.0;
        let budget =
            self.budgets.entry(service.clone()).or_insert_with(|| Budget::new(now, slack / 2.0));
        let elapsed = now.saturating_sub(budget.refilled).as_secs_f64();
        budget.tokens = (budget.tokens + elapsed * refill).min(cap);
        budget.refilled = now;
        budget
    }
}

impl Budget {
    fn new(now: Duration, tokens: f64) -> Self {
        Self { tokens, floors: [0.0; CLASSES], refilled: now }
    }

    /// True if a budget that holds `cap` when full allows a retry of `class`.
    fn allows(&self, class: RankClass, cap: f64) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        let floors: f64 = class.lower().iter().map(|c| self.floors[c.index()].floor()).sum();
        let reserve = cap * RESERVE_RATIOS[class.index()] + floors;
        let left = self.tokens - reserve.min(cap - 1.0);
        left >= 1.0 || self.floors[class.index()] >= 1.0
    }
}
