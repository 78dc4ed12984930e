//! What fronts tell each other of targets.

use std::time::Duration;

use prost::Message;

use crate::model::TargetId;
use crate::steer::Observation;

/// What an entry VM saw of a target in a response.
#[derive(Clone, PartialEq, Message)]
pub struct WireObservation {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// When the target's process started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// Requests at the target, of all entry VMs.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Pace of the target's machine, in percent of the usual time; 0 if unknown.
    #[prost(uint32, tag = "4")]
    pub pace: u32,
    /// Time since the observation, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// How many of the requests are the observing VM's.
    #[prost(uint32, tag = "6")]
    pub own: u32,
    /// True if the target rejected the request without running it.
    #[prost(bool, tag = "7")]
    pub rejected: bool,
    /// The limit that the target names, in requests per second.
    #[prost(double, optional, tag = "8")]
    pub limit: Option<f64>,
}

impl From<Observation> for WireObservation {
    fn from(observation: Observation) -> Self {
        Self {
            target: observation.target.to_string(),
            born_ms: observation.born_ms,
            requests: observation.requests,
            pace: observation.pace,
            age_ms: observation.age.as_millis() as u64,
            own: observation.own,
            rejected: observation.rejected,
            limit: observation.limit,
        }
    }
}

impl From<WireObservation> for Observation {
    fn from(wire: WireObservation) -> Self {
        Self {
            target: TargetId::new(&wire.target),
            born_ms: wire.born_ms,
            requests: wire.requests,
            own: wire.own,
            pace: wire.pace,
            age: Duration::from_millis(wire.age_ms),
            rejected: wire.rejected,
            limit: wire.limit.filter(|rate| rate.is_finite() && *rate >= 0.0),
        }
    }
}
