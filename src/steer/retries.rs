//! The budget of repeats: a part of the requests, and a little at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::model::ServiceId;

/// Part of the allowed ratio that is used, so that the fleet as a whole stays below it.
const USED: f64 = 0.7;
/// Part of the fleet's slack that is shared out.
const SLACK_USED: f64 = 0.6;

/// Bounds on repeats over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats as a part of the requests.
    pub ratio: f64,
    /// Repeats in a window beyond that part, over all entry VMs.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// One entry VM's repeats by service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    /// Entry VMs that share the slack.
    members: usize,
    accounts: HashMap<ServiceId, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    tokens: f64,
    at: Duration,
}

impl RetryBudgets {
    /// A budget within the fleet's bounds.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, members: 1, accounts: HashMap::new() }
    }

    /// Learns how many entry VMs share the slack.
    pub fn set_vm_count(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Earns a request's part.
    pub fn deposit(&mut self, now: Duration, service: &ServiceId) {
        let (ratio, cap) = (self.bounds.ratio * USED, self.cap());
        let account = self.account(now, service);
        account.tokens = (account.tokens + ratio).min(cap);
    }

    /// True if a repeat could be spent.
    pub fn can_withdraw(&mut self, now: Duration, service: &ServiceId) -> bool {
        self.account(now, service).tokens >= 1.0
    }

    /// Spends one repeat, if there is one.
    pub fn try_withdraw(&mut self, now: Duration, service: &ServiceId) -> bool {
        let account = self.account(now, service);
        let may = account.tokens >= 1.0;
        if may {
            account.tokens -= 1.0;
        }
        may
    }

    /// An entry VM's share of the slack; what it may repeat at once.
    fn cap(&self) -> f64 {
        (self.bounds.slack * SLACK_USED / self.members as f64).max(1.0)
    }

    fn account(&mut self, now: Duration, service: &ServiceId) -> &mut Account {
        let cap = self.cap();
        // The slack of a window is there again when the window is over.
        let refill = cap / self.bounds.window.as_secs_f64().max(1.0) / 2.0;
        let account =
            self.accounts.entry(service.clone()).or_insert(Account { tokens: cap / 2.0, at: now });
        let passed = now.saturating_sub(account.at).as_secs_f64();
        account.tokens = (account.tokens + passed * refill).min(cap);
        account.at = now;
        account
    }
}
