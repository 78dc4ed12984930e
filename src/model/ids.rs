//! Identifiers of VMs, zones, regions, services, customers and targets.

use macro_rules_attribute::apply;

use crate::common::{id, record};

id! {
    /// An entry VM, as the platform names it.
    VmId
}
id! {
    /// An availability zone.
    ZoneId
}
id! {
    /// A region: one or more zones.
    RegionId
}
id! {
    /// A service, named by its document.
    ServiceId
}
id! {
    /// A customer (tenant).
    CustomerId
}
id! {
    /// A target VM, as the platform names it.
    TargetId
}

/// One life of an entry VM's process; a later start has a higher number.
pub type Incarnation = u64;

/// The account of one customer at one service.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Account {
    /// The service whose capacity is used.
    pub service: ServiceId,
    /// The customer who uses it.
    pub customer: CustomerId,
}

impl Account {
    /// The account of `customer` at `service`.
    pub fn new(service: impl Into<ServiceId>, customer: impl Into<CustomerId>) -> Self {
        Self { service: service.into(), customer: customer.into() }
    }
}

/// Where a machine stands.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// The region.
    pub region: RegionId,
    /// The zone, unique over all regions.
    pub zone: ZoneId,
}
