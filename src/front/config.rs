//! The settings of a front: a TOML file, checked before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use macro_rules_attribute::apply;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::common::record;
use crate::model::{Place, RegionId, VmId, ZoneId};
use crate::steer::RetryBounds;

/// The settings of a front.
#[apply(record!)]
pub struct FrontConfig {
    /// This entry VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region; needed where `zones` does not say it.
    #[serde(default)]
    pub region: Option<RegionId>,
    /// The region of every zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Ports to listen on.
    pub listen: Listen,
    /// Other entry VMs.
    pub peers: FrontPeers,
    /// The platform's store.
    pub store: FrontStore,
    /// What must hold over the fleet.
    #[serde(default)]
    pub bounds: FleetBounds,
    /// Decision logs.
    #[serde(default)]
    pub log: DecisionLogConfig,
}

/// Ports to listen on.
#[apply(record!)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For callers that ask which entry VM to use.
    pub lookups: SocketAddr,
    /// For the platform's question whether this VM is ready.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Sessions with other entry VMs.
#[apply(record!)]
pub struct FrontPeers {
    /// The port, the same on every entry VM.
    pub port: u16,
    /// Machines to ask while the store can't be reached; they may be gone. Their ports are not used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[apply(record!)]
pub struct FrontStore {
    /// Its address.
    pub addr: SocketAddr,
}

/// What must hold over the fleet.
#[apply(record!)]
#[serde(default)]
pub struct FleetBounds {
    /// Time within which a withdrawn key stops working.
    pub revoke: ConfigDuration,
    /// True if a VM that can't know that a key is still valid refuses it.
    pub fail_closed: bool,
    /// Time that a stopping process has before it is killed.
    pub grace: ConfigDuration,
    /// Requests of a customer in a window beyond its rate and burst, over the whole fleet.
    pub rate_slack: f64,
    /// Longest time for which callers may keep a look-up's answer.
    pub lookup_ttl: ConfigDuration,
    /// Repeats as a part of requests.
    pub retry_ratio: f64,
    /// Repeats in a window beyond that part, over the whole fleet.
    pub retry_slack: f64,
    /// The window.
    pub retry_window: ConfigDuration,
}

impl Default for FleetBounds {
    fn default() -> Self {
        let seconds = |s| ConfigDuration(Duration::from_secs(s));
        Self {
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

/// Decision logs.
#[apply(record!)]
#[serde(default)]
pub struct DecisionLogConfig {
    /// Most lines a second of one kind; more are counted and left out.
    pub lines: u32,
}

impl Default for DecisionLogConfig {
    fn default() -> Self {
        Self { lines: 20 }
    }
}

/// A length of time, written as a number and `ms` or `s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub Duration);

impl ConfigDuration {
    /// Reads a number and its unit.
    ///
    /// # Errors
    /// Names the text that can't be read.
    pub fn parse(text: &str) -> Result<Self> {
        let (number, unit) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s').with_context(|| format!("{text:?} has no unit"))?, 1.0),
        };
        let number: f64 = number.parse().with_context(|| format!("{text:?} is no time"))?;
        let seconds = Duration::try_from_secs_f64(number * unit);
        Ok(Self(seconds.with_context(|| format!("{text:?} is no time"))?))
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
    /// Reads and checks the settings in `path`.
    ///
    /// # Errors
    /// Names the file, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("read settings {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    /// Names the field and what is allowed.
    pub fn parse(text: &str) -> Result<Self> {
        let mut config: Self = toml::from_str(text)?;
        if let Some(region) = &config.region {
            config.zones.entry(config.zone.clone()).or_insert_with(|| region.clone());
        }
        config.check()?;
        Ok(config)
    }

    /// Where this entry VM stands.
    pub fn place(&self) -> Place {
        let region = self.zones.get(&self.zone).cloned().unwrap_or_default();
        Place { region, zone: self.zone.clone() }
    }

    /// The bounds on repeats.
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window: self.bounds.retry_window.0,
        }
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.vm.as_str().is_empty(), "vm: is empty; a name is needed");
        ensure!(self.zones.contains_key(&self.zone), "zone: {} does not stand in zones", self.zone);
        ensure!(self.peers.port > 0, "peers.port: 0 is no port");
        let bounds = &self.bounds;
        for (field, span) in [
            ("bounds.revoke", bounds.revoke),
            ("bounds.grace", bounds.grace),
            ("bounds.lookup_ttl", bounds.lookup_ttl),
            ("bounds.retry_window", bounds.retry_window),
        ] {
            let (least, most) = (Duration::from_millis(100), Duration::from_secs(3_600));
            ensure!(
                (least..=most).contains(&span.0),
                "{field}: {} ms is not from 100 ms to 3600 s",
                span.0.as_millis()
            );
        }
        for (field, value) in [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
            ("bounds.rate_slack", bounds.rate_slack),
        ] {
            ensure!(value.is_finite() && value >= 0.0, "{field}: {value} is below 0");
        }
        Ok(())
    }
}
