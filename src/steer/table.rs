//! The routing table: the whole configuration of routes, services, customers and their keys.
//!
//! The store holds it as one object. [`TableIndex`] answers the questions that a front asks of it
//! for each request: which route, which customer, which regions.

use std::collections::HashMap;

use macro_rules_attribute::apply;
use serde::Serializer;
use sha2::{Digest, Sha256};

use crate::common::record;
use crate::model::{CustomerId, RegionId, ServiceId};

use super::rank::RankClasses;

/// SHA-256 digest of a caller's key, in hexadecimal. The table never holds the keys themselves.
pub type KeyHash = String;

/// The digest of a caller's key.
pub fn key_hash(key: &str) -> KeyHash {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// One version of the routing table.
#[apply(record!)]
#[derive(Default)]
pub struct Table {
    /// The version; it rises with each change.
    pub version: u64,
    /// The routes, by host and path prefix.
    pub routes: Vec<Route>,
    /// The services that routes send requests to.
    pub services: Vec<Service>,
    /// The customers that may call. If there are none, no route needs a key.
    pub customers: Vec<Customer>,
    /// Limits on requests.
    pub bounds: RequestLimits,
}

/// A route. Of the routes of a host, the one with the longest prefix of the path serves a request.
#[apply(record!)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name, without a port.
    pub host: String,
    /// The prefix of the path, compared byte by byte.
    pub prefix: String,
    /// True if a request may run more than once without harm.
    pub idempotent: bool,
    /// Longest time until the response, with all attempts, in milliseconds.
    pub timeout_ms: u64,
    /// Desired latency, in milliseconds.
    pub aim_ms: u64,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// The services among which its requests are divided.
    pub parts: Vec<WeightedService>,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// True if no key is needed.
    pub open: bool,
    /// True if requests with the same affinity key go to the same target.
    pub sticky: bool,
    /// Regions in which its requests may run; empty for all.
    pub homes: Vec<RegionId>,
}

/// A service and its weight in a route.
#[apply(record!)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight, relative to the other services of the route.
    pub weight: f64,
}

/// A service.
#[apply(record!)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Path of the targets' health check.
    pub health_path: String,
    /// Requests per second that a cold target may get from all entry VMs together.
    pub cold_rate: f64,
    /// Maximum number of connections that a target accepts.
    pub conns: u32,
}

/// A customer.
#[apply(record!)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// Digests of its keys.
    pub keys: Vec<KeyHash>,
    /// Priority under overload; 0 is the highest. If it is absent, only the route's counts. It is
    /// written as 0 then, which is equivalent, since older versions can't read a table without it.
    #[serde(default, serialize_with = "zero_if_none")]
    pub priority: Option<u32>,
    /// Requests per second over all entry VMs together; 0 for no limit.
    pub rate: f64,
    /// Requests that may come at once, over all entry VMs together.
    pub burst: f64,
    /// Regions in which its requests may run; empty for all.
    pub homes: Vec<RegionId>,
}

fn zero_if_none<S: Serializer>(priority: &Option<u32>, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u32(priority.unwrap_or_default())
}

/// Limits on requests.
#[apply(record!)]
#[derive(Copy)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a caller to send a head, in milliseconds.
    pub head_ms: u64,
    /// Longest time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { head_bytes: 16_384, body_bytes: 64 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Whether a request may use a route, and as which customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The route needs no key.
    Open,
    /// The key is this customer's.
    Customer(&'a Customer),
    /// The key is missing or belongs to no customer.
    Denied,
}

/// A routing table with indexes for look-ups by host, key and service.
#[derive(Clone, Debug, Default)]
pub struct TableIndex {
    table: Table,
    /// Positions of each host's routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Position of each key's customer.
    keys: HashMap<KeyHash, usize>,
    /// Position of each service.
    services: HashMap<ServiceId, usize>,
    ranks: RankClasses,
}

impl TableIndex {
    /// Builds the indexes of a table.
    pub fn new(table: Table) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in table.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(i);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(table.routes[i].prefix.len()));
        }
        let keys = table
            .customers
            .iter()
            .enumerate()
            .flat_map(|(i, c)| c.keys.iter().map(move |k| (k.clone(), i)))
            .collect();
        let services = table.services.iter().enumerate().map(|(i, s)| (s.id.clone(), i)).collect();
        let ranks = RankClasses::new(&table);
        Self { table, hosts, keys, services, ranks }
    }

    /// The indexed table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The classes of the table's ranks.
    pub fn ranks(&self) -> &RankClasses {
        &self.ranks
    }

    /// The route for a request. `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        let position = *routes.iter().find(|&&i| path.starts_with(&self.table.routes[i].prefix))?;
        Some(&self.table.routes[position])
    }

    /// Whether a request with `key` may use `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if self.is_open(route) {
            return Access::Open;
        }
        self.access_by_hash(route, key.map(key_hash).as_ref())
    }

    /// Whether a request with the key of this digest may use `route`.
    pub fn access_by_hash(&self, route: &Route, key: Option<&KeyHash>) -> Access<'_> {
        if self.is_open(route) {
            return Access::Open;
        }
        let customer = key.and_then(|k| self.keys.get(k));
        customer.map_or(Access::Denied, |&i| Access::Customer(&self.table.customers[i]))
    }

    /// True if `route` needs no key.
    fn is_open(&self, route: &Route) -> bool {
        route.open || self.table.customers.is_empty()
    }

    /// The service with this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id).map(|&i| &self.table.services[i])
    }

    /// For each region, the fraction of all customers' rates that is bound to it by their home
    /// regions. Empty if any customer has no rate limit, since the fractions are unknown then.
    pub fn regional_demand(&self) -> HashMap<RegionId, f64> {
        let customers = &self.table.customers;
        let mut out = HashMap::new();
        if customers.iter().any(|c| c.rate <= 0.0) {
            return out;
        }
        let total: f64 = customers.iter().map(|c| c.rate).sum();
        for customer in customers {
            let fraction = customer.rate / total / customer.homes.len() as f64;
            for home in &customer.homes {
                *out.entry(home.clone()).or_default() += fraction;
            }
        }
        out
    }

    /// The regions in which a request of `route` and `access` may run; `None` allows all.
    pub fn allowed_regions(&self, route: &Route, access: Access<'_>) -> Option<Vec<RegionId>> {
        let of_customer: &[RegionId] = match access {
            Access::Customer(c) => &c.homes,
            Access::Open | Access::Denied => &[],
        };
        match (route.homes.is_empty(), of_customer.is_empty()) {
            (true, true) => None,
            (false, true) => Some(route.homes.clone()),
            (true, false) => Some(of_customer.to_vec()),
            (false, false) => {
                Some(route.homes.iter().filter(|r| of_customer.contains(r)).cloned().collect())
            }
        }
    }
}
