//! The service document: where a service runs, who may call it, and the limits that apply.

use std::collections::BTreeSet;

use macro_rules_attribute::apply;

use super::{CustomerId, RegionId, ServiceId, ZoneId};
use crate::common::record;

/// Longest name of a service, customer, zone or route, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Highest rate of a customer, in requests per second.
const RATE_MAX: f64 = 1_000_000.0;
/// Highest burst of a customer, in requests.
const BURST_MAX: u32 = 1_000_000;
/// Longest time that a document may allow until the response to a request, in milliseconds.
const ANSWER_MS_MAX: u64 = 300_000;

/// The document of one service, written by its team.
#[apply(record!)]
pub struct Document {
    /// The service.
    pub service: ServiceId,
    /// Longest time until the response to a request, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Zones where targets of the service run.
    pub zones: Vec<ZoneId>,
    /// The routes that callers may use.
    pub routes: Vec<Route>,
    /// The customers that may call.
    pub customers: Vec<Customer>,
    /// Limits of planned shifts of traffic.
    #[serde(default)]
    pub shift: ShiftLimits,
    /// Limits of queues, retries and headroom.
    #[serde(default)]
    pub limits: Limits,
    /// How keys are treated in a disconnected zone.
    #[serde(default)]
    pub keys: KeyPolicy,
    /// Bandwidth between regions for this service.
    #[serde(default)]
    pub links: Vec<Link>,
}

fn default_answer_ms() -> u64 {
    5_000
}

/// A route. The first one whose method and path prefix match serves a request.
#[apply(record!)]
pub struct Route {
    /// Name, unique in the document.
    pub name: String,
    /// HTTP method; all methods if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path below the service, compared by whole segments.
    pub path: String,
    /// True if a request may run more than once without harm. To be left false if that is unknown.
    #[serde(default)]
    pub idempotent: bool,
    /// True if the caller must send an idempotency key.
    #[serde(default)]
    pub once: bool,
    /// True if every customer may use the route.
    #[serde(default)]
    pub open: bool,
    /// The customers who may use a route that is not open.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
}

/// A customer of the service, with its rate limit.
#[apply(record!)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// Requests per second over all entry VMs together.
    pub rate: f64,
    /// Requests that may come at once, over all entry VMs together.
    pub burst: u32,
    /// Weight among the customers that wait for slots.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Limits of planned shifts of traffic.
#[apply(record!)]
pub struct ShiftLimits {
    /// Largest fraction of a region's traffic that one step moves.
    pub cap: f64,
    /// Minimum time between steps, in milliseconds.
    pub interval_ms: u64,
}

impl Default for ShiftLimits {
    fn default() -> Self {
        Self { cap: 0.1, interval_ms: 30_000 }
    }
}

/// Limits of queues, retries and headroom.
#[apply(record!)]
pub struct Limits {
    /// Fraction of each region's slots that traffic from other regions never takes.
    #[serde(default = "default_headroom")]
    pub headroom: f64,
    /// Most requests that wait for a slot in one entry VM.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Longest wait for a slot, in milliseconds.
    #[serde(default = "default_queue_ms")]
    pub queue_ms: u64,
    /// Longest wait for a rate token before a refusal, in milliseconds.
    #[serde(default = "default_token_ms")]
    pub token_ms: u64,
    /// Retries as a fraction of requests.
    #[serde(default = "default_retries")]
    pub retries: f64,
    /// Where each customer's token pool is.
    #[serde(default)]
    pub pool: PoolPlace,
}

/// Placement of an account's token pool.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum PoolPlace {
    /// In the zone with the most demand. Waits are short, but requests are refused while it moves.
    #[default]
    Follows,
    /// Always in the same place. Waits are longer, but fewer requests within the rate are refused.
    Stays,
}

fn default_headroom() -> f64 {
    0.2
}
fn default_queue() -> u32 {
    64
}
fn default_queue_ms() -> u64 {
    500
}
fn default_token_ms() -> u64 {
    250
}
fn default_retries() -> f64 {
    0.1
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            headroom: default_headroom(),
            queue: default_queue(),
            queue_ms: default_queue_ms(),
            token_ms: default_token_ms(),
            retries: default_retries(),
            pool: PoolPlace::default(),
        }
    }
}

/// What an entry VM does when it can't learn of withdrawn keys.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CutOff {
    /// Keys last known to be active are accepted.
    Serve,
    /// Every key is refused.
    Refuse,
}

/// How keys are treated in a zone that is disconnected from the store and from all other zones, so
/// that its entry VMs can't learn of withdrawn keys.
#[apply(record!)]
pub struct KeyPolicy {
    /// What the entry VMs of the zone do.
    pub cut_off: CutOff,
    /// Time without updates after which the zone counts as disconnected, in milliseconds.
    pub stale_ms: u64,
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self { cut_off: CutOff::Serve, stale_ms: 5_000 }
    }
}

/// Bandwidth of a link between regions, in one direction.
#[apply(record!)]
pub struct Link {
    /// The region that sends.
    pub from: RegionId,
    /// The region that receives.
    pub to: RegionId,
    /// Bandwidth for this service from `from` to `to`, in megabits per second.
    pub mbit: f64,
}

/// An error in a document.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct DocumentError {
    /// Path of the invalid field.
    pub field: String,
    /// The value found and what is allowed.
    pub message: String,
}

/// Parses and validates a document.
///
/// # Errors
/// All errors found; a document with any error must not be used.
pub fn parse_document(text: &str) -> Result<Document, Vec<DocumentError>> {
    let document: Document = toml::from_str(text)
        .map_err(|e| vec![error("document", e.to_string().trim_end().to_owned())])?;
    let errors = document.errors();
    if errors.is_empty() { Ok(document) } else { Err(errors) }
}

impl Document {
    /// The customer with this name.
    pub fn customer(&self, id: &CustomerId) -> Option<&Customer> {
        self.customers.iter().find(|c| &c.id == id)
    }

    /// The first route that matches the method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.matches(method, path))
    }

    fn errors(&self) -> Vec<DocumentError> {
        let mut out = Vec::new();
        check_name("service", self.service.as_str(), &mut out);
        check_range("answer_ms", self.answer_ms as f64, 1.0, ANSWER_MS_MAX as f64, &mut out);
        check_unique("zones", self.zones.iter().map(ZoneId::as_str), &mut out);
        check_unique("customers", self.customers.iter().map(|c| c.id.as_str()), &mut out);
        check_unique("routes", self.routes.iter().map(|r| r.name.as_str()), &mut out);
        self.customers.iter().for_each(|c| c.validate(&mut out));
        self.routes.iter().for_each(|r| r.validate(self, &mut out));
        check_range("shift.cap", self.shift.cap, 0.001, 1.0, &mut out);
        check_range("shift.interval_ms", self.shift.interval_ms as f64, 100.0, 8.64e7, &mut out);
        check_range("limits.headroom", self.limits.headroom, 0.0, 0.9, &mut out);
        check_range("limits.queue", self.limits.queue.into(), 0.0, 100_000.0, &mut out);
        check_range("limits.queue_ms", self.limits.queue_ms as f64, 0.0, 60_000.0, &mut out);
        check_range("limits.token_ms", self.limits.token_ms as f64, 0.0, 60_000.0, &mut out);
        check_range("limits.retries", self.limits.retries, 0.0, 1.0, &mut out);
        check_range("keys.stale_ms", self.keys.stale_ms as f64, 1_000.0, 3.6e6, &mut out);
        for link in &self.links {
            check_range("links.mbit", link.mbit, 0.001, 1e6, &mut out);
        }
        out
    }
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|m| m.eq_ignore_ascii_case(method));
        let prefix = self.path.trim_end_matches('/');
        let path_fits = path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'));
        method_fits && path_fits
    }

    fn validate(&self, document: &Document, out: &mut Vec<DocumentError>) {
        let field = format!("routes.{}", self.name);
        check_name(&field, &self.name, out);
        if !self.path.starts_with('/') {
            out.push(error(&field, format!("path {:?} must start with '/'", self.path)));
        }
        if self.open && !self.customers.is_empty() {
            out.push(error(&field, "an open route must not list customers".to_owned()));
        }
        if self.idempotent && self.once {
            out.push(error(&field, "a route may be idempotent or once, but not both".to_owned()));
        }
        for id in self.customers.iter().filter(|id| document.customer(id).is_none()) {
            out.push(error(&field, format!("customer {id} is not in the document's customers")));
        }
    }
}

impl Customer {
    fn validate(&self, out: &mut Vec<DocumentError>) {
        let field = format!("customers.{}", self.id);
        check_name(&field, self.id.as_str(), out);
        check_range(&format!("{field}.rate"), self.rate, 0.001, RATE_MAX, out);
        check_range(&format!("{field}.burst"), self.burst.into(), 1.0, BURST_MAX.into(), out);
        check_range(&format!("{field}.weight"), self.weight.into(), 1.0, 1_000.0, out);
    }
}

fn error(field: &str, message: String) -> DocumentError {
    DocumentError { field: field.to_owned(), message }
}

fn check_name(field: &str, name: &str, out: &mut Vec<DocumentError>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
        let message =
            format!("{name:?} must be 1 to {NAME_BYTES_MAX} letters, digits, '-', '_' or '.'");
        out.push(error(field, message));
    }
}

fn check_range(field: &str, value: f64, low: f64, high: f64, out: &mut Vec<DocumentError>) {
    if !(low..=high).contains(&value) {
        out.push(error(field, format!("{value} is not from {low} to {high}")));
    }
}

fn check_unique<'a>(
    field: &str,
    names: impl Iterator<Item = &'a str>,
    out: &mut Vec<DocumentError>,
) {
    let mut seen = BTreeSet::new();
    let mut count = 0;
    for name in names {
        count += 1;
        if !seen.insert(name) {
            out.push(error(field, format!("{name:?} is listed twice")));
        }
    }
    if count == 0 {
        out.push(error(field, "must not be empty".to_owned()));
    }
}
