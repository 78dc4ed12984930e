//! Ranks of requests, and the classes into which the ranks of a routing table are divided.
//!
//! The rank of a request is its customer's priority, then its route's; 0 is the highest. A class is
//! the position of a rank among those that compete for the same tokens or retries. With one class
//! nothing is decided by rank.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use macro_rules_attribute::apply;

use super::table::{Customer, Route, Table};
use crate::common::plain;
use crate::model::ServiceId;

/// Number of classes. More would divide the tokens of small customers into parts of less than one.
pub const CLASSES: usize = 3;

/// The class of a request: 0 is the highest, [`CLASSES`] - 1 the lowest.
#[apply(plain!)]
#[derive(Default)]
pub struct RankClass(u8);

impl RankClass {
    /// All classes, the highest first.
    pub const ALL: [Self; CLASSES] = [Self(0), Self(1), Self(2)];
    /// The highest class.
    pub const HIGHEST: Self = Self(0);

    /// The class with this number; numbers that are too large count as the lowest class.
    pub fn from_number(number: u32) -> Self {
        Self(number.min(CLASSES as u32 - 1) as u8)
    }

    /// Its number.
    pub fn number(self) -> u32 {
        u32::from(self.0)
    }

    /// Its position in arrays by class.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The classes below this one.
    pub fn lower(self) -> &'static [Self] {
        &Self::ALL[self.index() + 1..]
    }

    /// The classes above this one.
    pub fn higher(self) -> &'static [Self] {
        &Self::ALL[..self.index()]
    }
}

/// The rank of a request. The order of ranks is that of the numbers: the lowest number ranks highest.
#[apply(plain!)]
pub struct Rank {
    /// The customer's priority; 0 if it is absent or there is no customer.
    pub customer: u32,
    /// The route's priority.
    pub route: u32,
}

impl Rank {
    /// The rank of a request of `customer` on `route`.
    pub fn new(customer: Option<&Customer>, route: &Route) -> Self {
        let customer = customer.and_then(|c| c.priority).unwrap_or_default();
        Self { customer, route: route.priority }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.route)
    }
}

/// The ranks of a routing table, divided into classes.
#[derive(Clone, Debug, Default)]
pub struct RankClasses {
    /// Distinct priorities of the routes whose requests take tokens, the highest first.
    token_priorities: Vec<u32>,
    /// Distinct ranks of each service's requests, the highest first.
    service_ranks: HashMap<ServiceId, Vec<Rank>>,
}

impl RankClasses {
    /// The classes of a table.
    pub fn new(table: &Table) -> Self {
        let mut service_ranks: HashMap<ServiceId, BTreeSet<Rank>> = HashMap::new();
        let priorities = customer_priorities(table);
        for route in &table.routes {
            let ranks = ranks_of_route(route, &priorities);
            for part in &route.parts {
                service_ranks.entry(part.service.clone()).or_default().extend(&ranks);
            }
        }
        let service_ranks =
            service_ranks.into_iter().map(|(id, ranks)| (id, ranks.into_iter().collect()));
        Self { token_priorities: token_priorities(table), service_ranks: service_ranks.collect() }
    }

    /// The class in which requests on `route` take tokens of their customer.
    pub fn token_class(&self, route: &Route) -> RankClass {
        class_of(&self.token_priorities, &route.priority)
    }

    /// The class in which a request of this rank makes retries at `service`.
    pub fn retry_class(&self, service: &ServiceId, rank: Rank) -> RankClass {
        self.service_ranks.get(service).map_or(RankClass::HIGHEST, |ranks| class_of(ranks, &rank))
    }
}

/// The lowest class in which requests take tokens.
pub(super) fn lowest_token_class(table: &Table) -> RankClass {
    let count = token_priorities(table).len() as u32;
    RankClass::from_number(count.saturating_sub(1))
}

/// Distinct priorities of the routes that need a key.
fn token_priorities(table: &Table) -> Vec<u32> {
    let routes = table.routes.iter().filter(|r| !r.open);
    routes.map(|r| r.priority).collect::<BTreeSet<_>>().into_iter().collect()
}

/// Distinct priorities of the customers; 0 stands for those without one.
fn customer_priorities(table: &Table) -> BTreeSet<u32> {
    table.customers.iter().map(|c| c.priority.unwrap_or_default()).collect()
}

/// The ranks that the requests of a route may have.
fn ranks_of_route(route: &Route, customers: &BTreeSet<u32>) -> Vec<Rank> {
    let rank = |customer| Rank { customer, route: route.priority };
    match route.open || customers.is_empty() {
        true => vec![rank(0)],
        false => customers.iter().copied().map(rank).collect(),
    }
}

/// The class of `value` among the `distinct` values. If there are more values than classes, they are
/// divided evenly. A value that is not among them gets the class of the next one.
fn class_of<T: Ord>(distinct: &[T], value: &T) -> RankClass {
    let position = distinct.partition_point(|v| v < value);
    let position = position.min(distinct.len().saturating_sub(1));
    let class = match distinct.len() {
        count if count > CLASSES => position * CLASSES / count,
        _ => position,
    };
    RankClass::from_number(class as u32)
}
