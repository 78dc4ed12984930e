//! Identifiers of VMs, zones, regions, services, customers and targets.

use macro_rules_attribute::apply;

use crate::common::{id, record};

id! {
    /// The platform's name of an entry VM.
    VmId
}
id! {
    /// The name of an availability zone.
    ZoneId
}
id! {
    /// The name of a region: one or more zones.
    RegionId
}
id! {
    /// The name of a service, from its document.
    ServiceId
}
id! {
    /// The name of a customer (tenant).
    CustomerId
}
id! {
    /// The platform's name of a target VM.
    TargetId
}

/// The number of one run of an entry VM's process; a later run has a higher number.
pub type Incarnation = u64;

/// One customer at one service: what a rate and burst apply to.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Account {
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
}

impl Account {
    /// The account of `customer` at `service`.
    pub fn new(service: impl Into<ServiceId>, customer: impl Into<CustomerId>) -> Self {
        Self { service: service.into(), customer: customer.into() }
    }
}

/// The location of a VM.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// The region.
    pub region: RegionId,
    /// The zone, unique over all regions.
    pub zone: ZoneId,
}
