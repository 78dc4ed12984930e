//! The front's settings, read from a TOML file and validated before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use macro_rules_attribute::apply;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::common::record;
use crate::model::{Place, RegionId, VmId, ZoneId};
use crate::steer::{AgeBounds, RetryBounds};

/// Smallest processor share in the settings, in cores.
const CPU_MIN: f64 = 0.001;
/// Largest processor share in the settings, in cores.
const CPU_MAX: f64 = 1_024.0;
/// Smallest memory in the settings, in MB.
const MEMORY_MIN: f64 = 16.0;
/// Largest memory in the settings, in MB.
const MEMORY_MAX: f64 = 1_048_576.0;
/// Memory of an entry VM whose settings don't say it, in MB.
const MEMORY_DEFAULT: f64 = 128.0;

/// The front's settings.
#[apply(record!)]
pub struct FrontConfig {
    /// Name of this entry VM.
    pub vm: VmId,
    /// Availability zone of this entry VM.
    pub zone: ZoneId,
    /// Region of this entry VM; required unless `zones` lists its zone.
    #[serde(default)]
    pub region: Option<RegionId>,
    /// Processor share of this entry VM, in cores. Larger VMs are sent callers first.
    #[serde(default = "one_core")]
    pub cpu: f64,
    /// Memory of this entry VM, in MB. Bounds what is held for callers' requests.
    #[serde(default = "default_memory")]
    pub memory: f64,
    /// True if the whole deployment starts for the first time. This VM then asks a seed for the other
    /// VMs before it reads the store.
    #[serde(default)]
    pub first_start: bool,
    /// Region of every zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Sessions with other entry VMs.
    pub peers: FrontPeers,
    /// The platform's store.
    pub store: FrontStore,
    /// Limits that the deployment must keep.
    #[serde(default)]
    pub bounds: FleetBounds,
    /// The decision log.
    #[serde(default)]
    pub log: DecisionLogConfig,
}

fn one_core() -> f64 {
    1.0
}

fn default_memory() -> f64 {
    MEMORY_DEFAULT
}

/// Addresses to listen on.
#[apply(record!)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Lookups: callers ask which entry VMs to use.
    pub lookups: SocketAddr,
    /// The platform's readiness check.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Sessions with other entry VMs.
#[apply(record!)]
pub struct FrontPeers {
    /// Port for sessions, the same on every entry VM.
    pub port: u16,
    /// Entry VMs to sync from while the store is unreachable and this VM knows no others. They may
    /// no longer exist. Their ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[apply(record!)]
pub struct FrontStore {
    /// Address of its HTTP API.
    pub addr: SocketAddr,
}

/// Limits that the deployment must keep.
#[apply(record!)]
#[serde(default)]
pub struct FleetBounds {
    /// Longest time until a new configuration must be in force on every VM in touch.
    pub config_apply: ConfigDuration,
    /// Longest time for which a withdrawn key may still be accepted.
    pub revoke: ConfigDuration,
    /// Whether a VM rejects keys when its routing table is too old to prove that they are valid.
    pub fail_closed: bool,
    /// Time that a stopping process has until the platform kills it.
    pub grace: ConfigDuration,
    /// Requests of one customer in a window that may exceed its rate and burst, over all entry VMs.
    pub rate_slack: f64,
    /// Longest TTL of a lookup's response.
    pub lookup_ttl: ConfigDuration,
    /// Allowed ratio of retries to requests, over all entry VMs.
    pub retry_ratio: f64,
    /// Retries in a window that may exceed the ratio, over all entry VMs.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: ConfigDuration,
}

impl Default for FleetBounds {
    fn default() -> Self {
        let seconds = |s| ConfigDuration(Duration::from_secs(s));
        Self {
            config_apply: seconds(4),
            revoke: seconds(5),
            fail_closed: false,
            grace: seconds(6),
            rate_slack: 0.0,
            lookup_ttl: seconds(5),
            retry_ratio: 0.1,
            retry_slack: 0.0,
            retry_window: seconds(10),
        }
    }
}

impl FleetBounds {
    /// The limits of the routing table's age.
    pub fn age_bounds(&self) -> AgeBounds {
        AgeBounds {
            config_apply: self.config_apply.0,
            revoke: self.revoke.0,
            fail_closed: self.fail_closed,
        }
    }
}

/// The decision log.
#[apply(record!)]
#[serde(default)]
pub struct DecisionLogConfig {
    /// Most lines a second of one kind; further lines are dropped and counted.
    pub lines: u32,
}

impl Default for DecisionLogConfig {
    fn default() -> Self {
        Self { lines: 20 }
    }
}

/// A duration in the settings: a number followed by `ms` or `s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub Duration);

impl ConfigDuration {
    /// Parses a number and its unit.
    ///
    /// # Errors
    /// Fails if the unit is missing or the number is invalid, negative or too large.
    pub fn parse(text: &str) -> Result<Self> {
        let (number, unit) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s').with_context(|| format!("{text:?} has no unit"))?, 1.0),
        };
        let number: f64 = number.parse().with_context(|| format!("{text:?} is not a duration"))?;
        let duration = Duration::try_from_secs_f64(number * unit);
        Ok(Self(duration.with_context(|| format!("{text:?} is not a duration"))?))
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(serde::de::Error::custom)
    }
}

impl Serialize for ConfigDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}ms", self.0.as_millis()))
    }
}

impl FrontConfig {
    /// Reads and validates the settings in `path`.
    ///
    /// # Errors
    /// Fails if the file can't be read or a setting is invalid; the message names the file, the
    /// field and the allowed values.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("read settings {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Fails if a setting is invalid; the message names the field and the allowed values.
    pub fn parse(text: &str) -> Result<Self> {
        let mut config: Self = toml::from_str(text)?;
        if let Some(region) = &config.region {
            config.zones.entry(config.zone.clone()).or_insert_with(|| region.clone());
        }
        config.check()?;
        Ok(config)
    }

    /// Region and zone of this entry VM.
    pub fn place(&self) -> Place {
        let region = self.zones.get(&self.zone).cloned().unwrap_or_default();
        Place { region, zone: self.zone.clone() }
    }

    /// Processor share of this entry VM, in thousandths of a core.
    pub fn cpu_millis(&self) -> u32 {
        (self.cpu * 1_000.0).round() as u32
    }

    /// Memory of this entry VM, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.memory * 1_048_576.0) as u64
    }

    /// The limits on retries.
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window: self.bounds.retry_window.0,
        }
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.vm.as_str().is_empty(), "vm: must not be empty");
        ensure!(
            self.zones.contains_key(&self.zone),
            "zone: {} is not in zones, and region is not set",
            self.zone
        );
        ensure!(self.peers.port > 0, "peers.port: 0 is not a valid port");
        ensure!(
            (CPU_MIN..=CPU_MAX).contains(&self.cpu),
            "cpu: {} is not between {CPU_MIN} and {CPU_MAX} cores",
            self.cpu
        );
        ensure!(
            (MEMORY_MIN..=MEMORY_MAX).contains(&self.memory),
            "memory: {} is not between {MEMORY_MIN} and {MEMORY_MAX} MB",
            self.memory
        );
        let bounds = &self.bounds;
        for (field, duration) in [
            ("bounds.config_apply", bounds.config_apply),
            ("bounds.revoke", bounds.revoke),
            ("bounds.grace", bounds.grace),
            ("bounds.lookup_ttl", bounds.lookup_ttl),
            ("bounds.retry_window", bounds.retry_window),
        ] {
            let (min, max) = (Duration::from_millis(100), Duration::from_secs(3_600));
            ensure!(
                (min..=max).contains(&duration.0),
                "{field}: {} ms is not between 100 ms and 3600 s",
                duration.0.as_millis()
            );
        }
        for (field, value) in [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
            ("bounds.rate_slack", bounds.rate_slack),
        ] {
            ensure!(
                value.is_finite() && value >= 0.0,
                "{field}: {value} is negative or not finite"
            );
        }
        Ok(())
    }
}
