//! The record of a target in the store, as the target registers itself.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{ServiceId, ZoneId};

/// Whether a target accepts new requests.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetReadiness {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// A target's own record in the store.
#[apply(record!)]
pub struct TargetRecord {
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address for requests.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetReadiness,
    /// Remaining warm-up time when the record was written, in milliseconds; 0 if warm.
    pub cold_ms: u64,
    /// When its process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}
