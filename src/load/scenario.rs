//! Scenario files: which customers send what, how fast and where.

use std::path::Path;

use anyhow::{Context, Result, ensure};
use macro_rules_attribute::apply;

use crate::common::record;

/// How requests arrive.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum Arrival {
    /// At equal intervals.
    Even,
    /// At random, as independent callers do.
    #[default]
    Random,
}

/// A scenario.
#[apply(record!)]
pub struct Scenario {
    /// Length, in seconds.
    pub seconds: f64,
    /// Seed of arrivals and choices.
    #[serde(default)]
    pub seed: u64,
    /// The streams of requests.
    pub streams: Vec<Stream>,
}

/// The requests of one customer.
#[apply(record!)]
pub struct Stream {
    /// Name in the report.
    pub name: String,
    /// The customer; its key is in the keys file.
    pub customer: String,
    /// The service.
    pub service: String,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path below the service.
    pub path: String,
    /// Body.
    #[serde(default)]
    pub body: String,
    /// Requests a second.
    pub rate: f64,
    /// How they arrive.
    #[serde(default)]
    pub arrival: Arrival,
    /// True to send an idempotency key, and to send again what had no known end.
    #[serde(default)]
    pub once: bool,
    /// Zones whose entry VMs are used, in turns of `hop_s`; those of the look-up's order if empty.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Time in one zone before the demand moves to the next, in seconds.
    #[serde(default = "default_hop")]
    pub hop_s: f64,
    /// The customer's rate and burst in the document; refusals that one bucket of this size would
    /// not have made count as wrongful.
    #[serde(default)]
    pub limit: Option<(f64, f64)>,
    /// Second of the scenario at which the stream starts.
    #[serde(default)]
    pub start_s: f64,
    /// Times that a request refused as not run is sent again.
    #[serde(default)]
    pub resends: u32,
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_hop() -> f64 {
    20.0
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// Names the file and the field.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read scenario {}", path.display()))?;
        let scenario: Scenario =
            toml::from_str(&text).with_context(|| format!("read scenario {}", path.display()))?;
        scenario.check().with_context(|| format!("check scenario {}", path.display()))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<()> {
        ensure!((0.1..=3_600.0).contains(&self.seconds), "seconds: not from 0.1 to 3600");
        ensure!(!self.streams.is_empty(), "streams: is empty");
        for stream in &self.streams {
            let rate = 0.001..=20_000.0;
            ensure!(rate.contains(&stream.rate), "streams.{}: rate is not allowed", stream.name);
            ensure!(stream.hop_s > 0.0, "streams.{}: hop_s must be above 0", stream.name);
        }
        Ok(())
    }
}
