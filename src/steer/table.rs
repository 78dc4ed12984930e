//! What is configured: routes, services, customers and their keys.

use std::collections::HashMap;

use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};

use crate::common::record;
use crate::model::{CustomerId, RegionId, ServiceId};

/// Digest of a caller's key, in hexadecimal. Keys themselves are never kept.
pub type KeyHash = String;

/// The digest of a caller's key.
pub fn key_hash(key: &str) -> KeyHash {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// One version of the whole configuration.
#[apply(record!)]
#[derive(Default)]
pub struct Table {
    /// The version; a later one is higher.
    pub version: u64,
    /// Which requests are served, and how.
    pub routes: Vec<Route>,
    /// Where they run.
    pub services: Vec<Service>,
    /// Who may call. Without any, no key is needed.
    pub customers: Vec<Customer>,
    /// Bounds on what callers send.
    pub bounds: RequestLimits,
}

/// A route: the longest prefix of its host that begins the path is taken.
#[apply(record!)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers ask for.
    pub host: String,
    /// The beginning of the path, compared byte by byte.
    pub prefix: String,
    /// True if running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is wanted, in milliseconds.
    pub aim_ms: u64,
    /// Rank when there is too little room; 0 goes first.
    pub priority: u32,
    /// The services that share its requests.
    pub parts: Vec<WeightedService>,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// True if no key is needed.
    pub open: bool,
    /// True if requests of one object go to one target.
    pub sticky: bool,
    /// Regions in which it may run; without any, all.
    pub homes: Vec<RegionId>,
}

/// A service's part of a route.
#[apply(record!)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the parts.
    pub weight: f64,
}

/// A service.
#[apply(record!)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Path of a target's health check.
    pub health_path: String,
    /// Requests a second that a cold target bears, from all entry VMs together.
    pub cold_rate: f64,
    /// Connections that a target accepts.
    pub conns: u32,
}

/// A customer.
#[apply(record!)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// Digests of its keys.
    pub keys: Vec<KeyHash>,
    /// Rank when there is too little room; 0 goes first.
    pub priority: u32,
    /// Requests a second over all entry VMs together; 0 for no limit.
    pub rate: f64,
    /// Requests at once over all entry VMs together.
    pub burst: f64,
    /// Regions in which its requests may run; without any, all.
    pub homes: Vec<RegionId>,
}

/// Bounds on what callers send.
#[apply(record!)]
#[derive(Copy)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time to send a head, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { head_bytes: 16_384, body_bytes: 64 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Who a request is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// Nobody in particular: the route needs no key.
    Open,
    /// A customer.
    Customer(&'a Customer),
    /// The key is missing or no customer's.
    Denied,
}

/// A table with its indexes.
#[derive(Clone, Debug, Default)]
pub struct TableIndex {
    table: Table,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// The customer of each key.
    keys: HashMap<KeyHash, usize>,
    services: HashMap<ServiceId, usize>,
}

impl TableIndex {
    /// Indexes a table.
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
        Self { table, hosts, keys, services }
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The route of a request, if any. `host` may have a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        let number = *routes.iter().find(|&&i| path.starts_with(&self.table.routes[i].prefix))?;
        Some(&self.table.routes[number])
    }

    /// Who may use `route` with `key`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if route.open || self.table.customers.is_empty() {
            return Access::Open;
        }
        let customer = key.and_then(|k| self.keys.get(&key_hash(k)));
        customer.map_or(Access::Denied, |&i| Access::Customer(&self.table.customers[i]))
    }

    /// A service's entry.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id).map(|&i| &self.table.services[i])
    }

    /// The part of all customers' rates that is bound to each region; nothing if some customer has
    /// no limit, so that the parts can't be told.
    pub fn regional_demand(&self) -> HashMap<RegionId, f64> {
        let customers = &self.table.customers;
        let mut out = HashMap::new();
        if customers.iter().any(|c| c.rate <= 0.0) {
            return out;
        }
        let total: f64 = customers.iter().map(|c| c.rate).sum();
        for customer in customers {
            let part = customer.rate / total / customer.homes.len() as f64;
            for home in &customer.homes {
                *out.entry(home.clone()).or_default() += part;
            }
        }
        out
    }

    /// The regions in which a request of `route` and `access` may run; none means all.
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
