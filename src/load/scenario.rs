//! Scenario files of the load generator, in TOML: which requests customers send, at which rate and
//! through which zones.

use std::path::Path;

use anyhow::{Context, Result, ensure};
use macro_rules_attribute::apply;

use crate::common::record;

/// The distribution of the intervals between requests.
#[apply(record!)]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum Arrival {
    /// Equal intervals.
    Even,
    /// Exponentially distributed intervals (a Poisson process), as of independent callers.
    #[default]
    Random,
}

/// A load scenario.
#[apply(record!)]
pub struct Scenario {
    /// Duration, in seconds.
    pub seconds: f64,
    /// Seed of the random intervals.
    #[serde(default)]
    pub seed: u64,
    /// The streams of requests.
    pub streams: Vec<Stream>,
}

/// A stream of requests from one customer.
#[apply(record!)]
pub struct Stream {
    /// Name in the report.
    pub name: String,
    /// The customer, whose key must be in the keys file.
    pub customer: String,
    /// The service.
    pub service: String,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path within the service.
    pub path: String,
    /// Request body.
    #[serde(default)]
    pub body: String,
    /// Requests a second.
    pub rate: f64,
    /// The distribution of their intervals.
    #[serde(default)]
    pub arrival: Arrival,
    /// True to send an idempotency key, and to retry requests that may have run.
    #[serde(default)]
    pub once: bool,
    /// Zones whose entry VMs are used, each for `hop_s` in turn. If empty, entry VMs are used in
    /// the order of the look-up.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Time in one zone before the stream moves to the next, in seconds.
    #[serde(default = "default_hop")]
    pub hop_s: f64,
    /// The customer's rate and burst in the document. A refusal counts as wrongful if a single
    /// token bucket with this rate and burst would have admitted the request.
    #[serde(default)]
    pub limit: Option<(f64, f64)>,
    /// Start of the stream, in seconds after that of the scenario.
    #[serde(default)]
    pub start_s: f64,
    /// Maximum retries of a request.
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
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    /// Fails if the file can't be read or a value is invalid; the error names the file and the
    /// field.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read scenario {}", path.display()))?;
        let scenario: Scenario =
            toml::from_str(&text).with_context(|| format!("read scenario {}", path.display()))?;
        scenario.check().with_context(|| format!("check scenario {}", path.display()))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<()> {
        ensure!(
            (0.1..=3_600.0).contains(&self.seconds),
            "seconds: {} is not from 0.1 to 3600",
            self.seconds
        );
        ensure!(!self.streams.is_empty(), "streams: at least one is needed");
        for stream in &self.streams {
            let rates = 0.001..=20_000.0;
            ensure!(
                rates.contains(&stream.rate),
                "streams.{}: rate {} is not from 0.001 to 20000",
                stream.name,
                stream.rate
            );
            ensure!(stream.hop_s > 0.0, "streams.{}: hop_s must be greater than 0", stream.name);
        }
        Ok(())
    }
}
