//! A target as it says of itself.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{ServiceId, ZoneId};

/// Whether a target takes work.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetReadiness {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A target as it says of itself.
#[apply(record!)]
pub struct TargetRecord {
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetReadiness,
    /// How much longer it is cold, in milliseconds, when it said so.
    pub cold_ms: u64,
    /// When it started, in milliseconds since 1970.
    pub born_ms: u64,
}
