//! One entry VM's budgets of retries, by service.
//!
//! Each request adds a fraction of a retry to the budget. In addition, the deployment allows a
//! fixed number of retries in each window (the slack). It is divided among the entry VMs, so that
//! all of them together stay within the bounds.

use std::collections::HashMap;
use std::time::Duration;

use crate::model::ServiceId;

/// Fraction of the allowed ratio that is used, so that all VMs together stay below it.
const RATIO_USED: f64 = 0.7;
/// Fraction of the slack that is divided among the VMs.
const SLACK_USED: f64 = 0.6;

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
    /// Entry VMs that share the slack.
    vm_count: usize,
    budgets: HashMap<ServiceId, Budget>,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Retries that may be made now.
    tokens: f64,
    /// When tokens were last added for elapsed time.
    refilled: Duration,
}

impl RetryBudgets {
    /// Budgets within `bounds`, for a single VM until [`Self::set_vm_count`].
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, vm_count: 1, budgets: HashMap::new() }
    }

    /// Sets the number of entry VMs that share the slack.
    pub fn set_vm_count(&mut self, vm_count: usize) {
        self.vm_count = vm_count.max(1);
    }

    /// Adds the fraction of a retry that one request allows.
    pub fn deposit(&mut self, now: Duration, service: &ServiceId) {
        let (ratio, cap) = (self.bounds.ratio * RATIO_USED, self.cap());
        let budget = self.budget(now, service);
        budget.tokens = (budget.tokens + ratio).min(cap);
    }

    /// True if a retry is allowed now.
    pub fn can_withdraw(&mut self, now: Duration, service: &ServiceId) -> bool {
        self.budget(now, service).tokens >= 1.0
    }

    /// Takes one retry from the budget. Returns false if there is none.
    pub fn try_withdraw(&mut self, now: Duration, service: &ServiceId) -> bool {
        let budget = self.budget(now, service);
        let allowed = budget.tokens >= 1.0;
        if allowed {
            budget.tokens -= 1.0;
        }
        allowed
    }

    /// This VM's share of the slack, which is also the size of a full budget.
    fn cap(&self) -> f64 {
        (self.bounds.slack * SLACK_USED / self.vm_count as f64).max(1.0)
    }

    /// The budget of a service, refilled for the time since its last use.
    fn budget(&mut self, now: Duration, service: &ServiceId) -> &mut Budget {
        let cap = self.cap();
        // A new budget has half of the slack; the other half is added in the course of each window.
        let refill = cap / self.bounds.window.as_secs_f64().max(1.0) / 2.0;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert(Budget { tokens: cap / 2.0, refilled: now });
        let elapsed = now.saturating_sub(budget.refilled).as_secs_f64();
        budget.tokens = (budget.tokens + elapsed * refill).min(cap);
        budget.refilled = now;
        budget
    }
}
