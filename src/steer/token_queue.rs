//! Requests at one entry VM that wait for tokens. A customer's requests get them by class, then by
//! age; customers do not wait for each other.

use std::collections::BTreeMap;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::limiter::{RateLimiter, TakeResult};
use super::rank::RankClass;
use super::table::{Customer, Table};
use crate::common::plain;
use crate::model::CustomerId;

/// The place of a waiting request in the order of its customer's requests.
#[apply(plain!)]
pub struct Ticket {
    class: RankClass,
    /// Rises with each request.
    number: u64,
}

/// The waiting requests, each with a handle by which its task is woken.
#[derive(Debug)]
pub struct TokenQueue<T> {
    waiting: BTreeMap<CustomerId, BTreeMap<Ticket, T>>,
    next: u64,
}

impl<T> Default for TokenQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next: 0 }
    }
}

impl<T> TokenQueue<T> {
    /// Adds a request of `class`.
    pub fn join(&mut self, customer: &CustomerId, class: RankClass, handle: T) -> Ticket {
        let ticket = Ticket { class, number: self.next };
        self.next += 1;
        self.waiting.entry(customer.clone()).or_default().insert(ticket, handle);
        ticket
    }

    /// Removes a request that no longer waits. Returns false if [`Self::serve`] has removed it.
    pub fn leave(&mut self, customer: &CustomerId, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.get_mut(customer) else { return false };
        let found = waiting.remove(&ticket).is_some();
        if waiting.is_empty() {
            self.waiting.remove(customer);
        }
        found
    }

    /// True if a request of `class` waits, so that a new one comes after it.
    pub fn blocks(&self, customer: &CustomerId, class: RankClass) -> bool {
        self.waiting.get(customer).is_some_and(|w| w.keys().any(|ticket| ticket.class == class))
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes tokens for waiting requests in their order. Returns those that need wait no longer, with
    /// the result: a token was taken, or the rate is exhausted.
    pub fn serve(
        &mut self,
        now: Duration,
        table: &Table,
        limiter: &mut RateLimiter,
    ) -> Vec<(T, TakeResult)> {
        let mut served = Vec::new();
        for customer in &table.customers {
            let Some(waiting) = self.waiting.get_mut(&customer.id) else { continue };
            for class in RankClass::ALL {
                serve_class(now, customer, class, waiting, limiter, &mut served);
            }
        }
        self.waiting.retain(|_, w| !w.is_empty());
        served
    }
}

fn serve_class<T>(
    now: Duration,
    customer: &Customer,
    class: RankClass,
    waiting: &mut BTreeMap<Ticket, T>,
    limiter: &mut RateLimiter,
    served: &mut Vec<(T, TakeResult)>,
) {
    while let Some(ticket) = waiting.keys().find(|t| t.class == class).copied() {
        let result = limiter.take(now, customer, class, false);
        if result == TakeResult::Empty {
            return;
        }
        served.extend(waiting.remove(&ticket).map(|handle| (handle, result)));
    }
}
