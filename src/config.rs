//! The settings of a daemon: a TOML file that is validated before the daemon starts.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Place, RegionId, VmId, ZoneId};
use crate::peer::Secret;

/// Minimum length of the peers' secret and of the operators' token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The settings of a daemon.
#[apply(record!)]
pub struct Config {
    /// The name of this entry VM at the platform.
    pub vm: VmId,
    /// The region of this entry VM.
    pub region: RegionId,
    /// The availability zone of this entry VM.
    pub zone: ZoneId,
    /// Local address for connections to peers, targets and the store.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// The port for callers.
    pub callers: CallerConfig,
    /// The port for operators.
    pub operators: OperatorConfig,
    /// Sessions with other entry VMs.
    pub peers: PeerConfig,
    /// The platform's store.
    pub store: StoreConfig,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Tracing.
    #[serde(default)]
    pub trace: TraceConfig,
    /// Graceful stops.
    #[serde(default)]
    pub stop: StopConfig,
}

/// The port for callers: its address, TLS and the TTL of look-ups.
#[apply(record!)]
pub struct CallerConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that look-ups return for this VM, if not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// File with the certificate chain, in PEM.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// File with the private key, in PEM.
    #[serde(default)]
    pub key: Option<PathBuf>,
    /// True to serve without TLS.
    #[serde(default)]
    pub plaintext: bool,
    /// TTL of look-ups: how long callers may cache one, in milliseconds.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Age of this VM's configuration from which on no request is refused for good by it, in
    /// milliseconds.
    #[serde(default = "default_final_age_ms")]
    pub final_age_ms: u64,
}

fn default_ttl_ms() -> u64 {
    5_000
}

fn default_final_age_ms() -> u64 {
    4_000
}

/// The port for operators.
#[apply(record!)]
pub struct OperatorConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// File with the token that operators authenticate with.
    pub token_file: PathBuf,
}

/// Sessions with other entry VMs.
#[apply(record!)]
pub struct PeerConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that peers connect to, if not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// File with the secret that entry VMs authenticate each other with; the same on all of them.
    pub secret_file: PathBuf,
    /// Peers to get the configuration from while the store can't be reached.
    #[serde(default)]
    pub seeds: Vec<SeedConfig>,
}

/// A peer known from the settings.
#[apply(record!)]
pub struct SeedConfig {
    /// The peer.
    pub vm: VmId,
    /// Its region and zone.
    pub place: Place,
    /// The address of its port for sessions.
    pub addr: SocketAddr,
}

/// The platform's store.
#[apply(record!)]
pub struct StoreConfig {
    /// The address of the store.
    pub addr: SocketAddr,
}

/// Logging.
#[apply(record!)]
#[serde(default)]
pub struct LogConfig {
    /// Lowest level that is logged: error, warn, info, debug or trace.
    pub level: String,
    /// True to write each line as a JSON object.
    pub json: bool,
    /// File to append to; standard error if none is given.
    pub file: Option<PathBuf>,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { level: "info".to_owned(), json: false, file: None }
    }
}

/// Tracing.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct TraceConfig {
    /// File to which finished spans are appended as JSON lines; without it, nothing is traced.
    pub file: Option<PathBuf>,
}

/// Graceful stops.
#[apply(record!)]
#[serde(default)]
pub struct StopConfig {
    /// How long a stop waits for requests in flight before it aborts them, in milliseconds.
    pub drain_ms: u64,
}

impl Default for StopConfig {
    fn default() -> Self {
        Self { drain_ms: 60_000 }
    }
}

impl Config {
    /// Reads and validates the settings in the file `path`.
    ///
    /// # Errors
    /// Fails if the file can't be read or a value is invalid; the error names the file, the field
    /// and the allowed values.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        let config: Config =
            toml::from_str(&text).with_context(|| format!("read settings {}", path.display()))?;
        config.validate().with_context(|| format!("validate settings {}", path.display()))?;
        Ok(config)
    }

    /// Checks that the secret, token, certificate and key files can be used.
    ///
    /// # Errors
    /// Fails on the first file that can't; the error names it.
    pub fn check_files(&self) -> Result<()> {
        self.peer_secret()?;
        self.operator_token()?;
        if let (Some(certificate), Some(key)) = (&self.callers.certificate, &self.callers.key) {
            crate::net::tls_acceptor(certificate, key)?;
        }
        Ok(())
    }

    /// Returns the region and zone of this entry VM.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }

    /// Returns the TTL of look-ups.
    pub fn lookup_ttl(&self) -> Duration {
        Duration::from_millis(self.callers.ttl_ms)
    }

    /// Returns the age of the configuration from which on no request is refused for good by it.
    pub fn final_age(&self) -> Duration {
        Duration::from_millis(self.callers.final_age_ms)
    }

    /// Reads the secret that is shared with the peers.
    ///
    /// # Errors
    /// Fails if the file can't be read or the secret is too short.
    pub fn peer_secret(&self) -> Result<Secret> {
        read_secret("peers.secret_file", &self.peers.secret_file).map(|s| Secret::new(s.into()))
    }

    /// Reads the operators' token.
    ///
    /// # Errors
    /// Fails if the file can't be read or the token is too short.
    pub fn operator_token(&self) -> Result<String> {
        read_secret("operators.token_file", &self.operators.token_file)
    }

    fn validate(&self) -> Result<()> {
        for (field, value) in [
            ("vm", self.vm.as_str()),
            ("region", self.region.as_str()),
            ("zone", self.zone.as_str()),
        ] {
            ensure!(!value.is_empty(), "{field}: is empty; a name is required");
        }
        ensure!(
            (100..=600_000).contains(&self.callers.ttl_ms),
            "callers.ttl_ms: {} is not from 100 to 600000",
            self.callers.ttl_ms
        );
        ensure!(
            (2_000..=60_000).contains(&self.callers.final_age_ms),
            "callers.final_age_ms: {} is not from 2000 to 60000",
            self.callers.final_age_ms
        );
        let level = self.log.level.parse::<log::LevelFilter>();
        ensure!(
            level.is_ok(),
            "log.level: {:?} is not error, warn, info, debug or trace",
            self.log.level
        );
        match (&self.callers.certificate, &self.callers.key, self.callers.plaintext) {
            (Some(_), Some(_), false) | (None, None, true) => {}
            (None, None, false) => bail!(
                "callers: set certificate and key, or set plaintext = true to serve without TLS"
            ),
            (_, _, true) => bail!("callers: plaintext = true allows no certificate and no key"),
            _ => bail!("callers: certificate and key must be set together"),
        }
        Ok(())
    }
}

fn read_secret(field: &str, path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{field}: read {}", path.display()))?;
    let secret = text.trim().to_owned();
    ensure!(
        secret.len() >= MIN_SECRET_BYTES,
        "{field}: {} has {} bytes; at least {MIN_SECRET_BYTES} are required",
        path.display(),
        secret.len()
    );
    Ok(secret)
}
