//! The pool of customers' rates: entry VMs lend it their parts and draw tokens from it.
//!
//! A loan counts from a stamp of the pool's own clock that the lender has sent back, so that it ends
//! here before the lender uses its part again, however long a message was under way.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::{CustomerId, VmId};

use super::table::Table;

/// Length of a loan from its stamp.
pub(super) const LOAN: Duration = Duration::from_millis(1_200);
/// Time after which a member's word on its tokens is forgotten.
const WORD: Duration = Duration::from_millis(2_500);

/// Tokens of a new pool, as time at the rate: nobody has granted any for at least as long.
const START_STOCK: Duration = Duration::from_millis(250);

/// What a member asks for one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Tokens wanted, beyond those held.
    pub tokens: f64,
    /// Tokens held.
    pub held: f64,
}

/// Tokens for one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenGrant {
    /// The customer.
    pub customer: CustomerId,
    /// The tokens.
    pub tokens: f64,
}

/// The sums of all customers, as far as they are lent to this entry VM.
#[derive(Clone, Debug, Default)]
pub struct TokenPool {
    loans: HashMap<VmId, Loan>,
    accounts: BTreeMap<CustomerId, Account>,
    filled: Duration,
    /// Tokens of each customer that may be at hand beyond its burst: what the fleet's bound allows
    /// above the rate.
    extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    /// Part of every customer's sum.
    part: f64,
    until: Duration,
}

#[derive(Clone, Debug, Default)]
struct Account {
    tokens: f64,
    members: HashMap<VmId, Word>,
}

/// What a member last said of a customer.
#[derive(Clone, Copy, Debug)]
struct Word {
    want: f64,
    held: f64,
    at: Duration,
}

impl TokenPool {
    /// A pool without loans that may keep `extra` tokens above each burst.
    pub fn new(extra: f64) -> Self {
        Self { extra, ..Self::default() }
    }

    /// Takes a loan of `part` of every sum. `stamp` is the pool's own time that the lender has last
    /// had from it.
    pub fn accept_loan(
        &mut self,
        now: Duration,
        table: &Table,
        vm: &VmId,
        part: f64,
        stamp: Duration,
    ) {
        self.fill(now, table);
        let until = stamp + LOAN;
        if until <= now || stamp > now {
            return;
        }
        self.loans.insert(vm.clone(), Loan { part, until });
    }

    /// Uses no loan any more, so that the lenders have their parts back at once.
    pub fn release_loans(&mut self) {
        self.loans.clear();
        self.accounts.clear();
    }

    /// True if a loan of `vm` is in use.
    pub fn has_loan(&self, now: Duration, vm: &VmId) -> bool {
        self.loans.get(vm).is_some_and(|l| l.until > now)
    }

    /// Answers a member's wants.
    pub fn grant(
        &mut self,
        now: Duration,
        table: &Table,
        vm: &VmId,
        wants: &[TokenRequest],
    ) -> Vec<TokenGrant> {
        self.fill(now, table);
        wants.iter().filter_map(|want| self.grant_one(now, vm, want)).collect()
    }

    /// Part of every sum that is lent now.
    pub fn lent_share(&self, now: Duration) -> f64 {
        self.loans.values().filter(|l| l.until > now).map(|l| l.part).sum::<f64>().min(1.0)
    }

    fn grant_one(&mut self, now: Duration, vm: &VmId, want: &TokenRequest) -> Option<TokenGrant> {
        let account = self.accounts.get_mut(&want.customer)?;
        let word = Word { want: want.tokens, held: want.held, at: now };
        account.members.insert(vm.clone(), word);
        let total: f64 = account.members.values().map(|w| w.want).sum();
        let share = if total <= account.tokens { 1.0 } else { account.tokens / total };
        let tokens = (want.tokens * share).min(account.tokens).max(0.0);
        account.tokens -= tokens;
        if let Some(word) = account.members.get_mut(vm) {
            word.held += tokens;
            word.want -= tokens;
        }
        (tokens > 0.0).then(|| TokenGrant { customer: want.customer.clone(), tokens })
    }

    /// Adds what has come in since the last time; nobody's tokens go over the burst.
    fn fill(&mut self, now: Duration, table: &Table) {
        let passed = now.saturating_sub(self.filled).min(LOAN).as_secs_f64();
        let part = self.lent_share(now);
        self.filled = self.filled.max(now);
        self.loans.retain(|_, l| l.until > now);
        self.accounts.retain(|id, _| table.customers.iter().any(|c| &c.id == id));
        for customer in table.customers.iter().filter(|c| c.rate > 0.0) {
            let first = customer.rate * part * START_STOCK.as_secs_f64();
            let account = self.accounts.entry(customer.id.clone());
            let account =
                account.or_insert_with(|| Account { tokens: first, ..Account::default() });
            account.members.retain(|_, w| now.saturating_sub(w.at) < WORD);
            let held: f64 = account.members.values().map(|w| w.held).sum();
            let cap = (customer.burst * part + self.extra - held).max(0.0);
            account.tokens = (account.tokens + customer.rate * part * passed).min(cap);
        }
    }
}
