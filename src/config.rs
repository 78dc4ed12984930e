//! The daemon's settings: a TOML file, checked before anything starts.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Place, RegionId, VmId, ZoneId};
use crate::peer::Secret;

/// Shortest secret or token, in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// The settings of a daemon.
#[apply(record!)]
pub struct Config {
    /// This entry VM, as the platform names it.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Local address of connections to peers, targets and the store.
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
    /// Logs.
    #[serde(default)]
    pub log: LogConfig,
    /// Traces.
    #[serde(default)]
    pub trace: TraceConfig,
    /// Planned stops.
    #[serde(default)]
    pub stop: StopConfig,
}

/// The port for callers.
#[apply(record!)]
pub struct CallerConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The address that look-ups name, if it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Certificate chain, in PEM.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// Private key, in PEM.
    #[serde(default)]
    pub key: Option<PathBuf>,
    /// True to serve without TLS.
    #[serde(default)]
    pub plaintext: bool,
    /// Time for which callers may keep a look-up's answer, in milliseconds.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    5_000
}

/// The port for operators.
#[apply(record!)]
pub struct OperatorConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// File with the operators' token.
    pub token_file: PathBuf,
}

/// Sessions with other entry VMs.
#[apply(record!)]
pub struct PeerConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The address that others dial, if it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// File with the secret that all entry VMs share.
    pub secret_file: PathBuf,
    /// Peers to ask while the store can't be reached.
    #[serde(default)]
    pub seeds: Vec<SeedConfig>,
}

/// A peer known from the settings.
#[apply(record!)]
pub struct SeedConfig {
    /// The peer.
    pub vm: VmId,
    /// Its place.
    pub place: Place,
    /// Its address for sessions.
    pub addr: SocketAddr,
}

/// The platform's store.
#[apply(record!)]
pub struct StoreConfig {
    /// Its address.
    pub addr: SocketAddr,
}

/// Logs.
#[apply(record!)]
#[serde(default)]
pub struct LogConfig {
    /// Least level: error, warn, info, debug or trace.
    pub level: String,
    /// True for one JSON object a line.
    pub json: bool,
    /// File to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { level: "info".to_owned(), json: false, file: None }
    }
}

/// Traces.
#[apply(record!)]
#[derive(Default)]
#[serde(default)]
pub struct TraceConfig {
    /// File to which finished spans are appended as JSON lines; none without it.
    pub file: Option<PathBuf>,
}

/// Planned stops.
#[apply(record!)]
#[serde(default)]
pub struct StopConfig {
    /// Longest time for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for StopConfig {
    fn default() -> Self {
        Self { drain_ms: 60_000 }
    }
}

impl Config {
    /// Reads and checks the settings in `path`.
    ///
    /// # Errors
    /// Names the file, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        let config: Config =
            toml::from_str(&text).with_context(|| format!("read settings {}", path.display()))?;
        config.check().with_context(|| format!("check settings {}", path.display()))?;
        Ok(config)
    }

    /// Checks the files that the settings name.
    ///
    /// # Errors
    /// Names the field and the file.
    pub fn check_files(&self) -> Result<()> {
        self.peer_secret()?;
        self.operator_token()?;
        if let (Some(certificate), Some(key)) = (&self.callers.certificate, &self.callers.key) {
            crate::net::tls_acceptor(certificate, key)?;
        }
        Ok(())
    }

    /// Where this entry VM stands.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }

    /// Time for which callers may keep a look-up's answer.
    pub fn lookup_ttl(&self) -> Duration {
        Duration::from_millis(self.callers.ttl_ms)
    }

    /// Reads the secret of the peers.
    ///
    /// # Errors
    /// Fails if the file can't be read or the secret is too short.
    pub fn peer_secret(&self) -> Result<Secret> {
        read_secret("peers.secret_file", &self.peers.secret_file).map(|s| Secret::new(s.into()))
    }

    /// Reads the token of the operators.
    ///
    /// # Errors
    /// Fails if the file can't be read or the token is too short.
    pub fn operator_token(&self) -> Result<String> {
        read_secret("operators.token_file", &self.operators.token_file)
    }

    fn check(&self) -> Result<()> {
        for (field, value) in [
            ("vm", self.vm.as_str()),
            ("region", self.region.as_str()),
            ("zone", self.zone.as_str()),
        ] {
            ensure!(!value.is_empty(), "{field}: is empty; a name is needed");
        }
        ensure!(
            (100..=600_000).contains(&self.callers.ttl_ms),
            "callers.ttl_ms: {} is not from 100 to 600000",
            self.callers.ttl_ms
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
                "callers: name certificate and key for TLS, or set plaintext = true to go without"
            ),
            (_, _, true) => bail!("callers: plaintext = true allows no certificate and no key"),
            _ => bail!("callers: certificate and key go together"),
        }
        Ok(())
    }
}

fn read_secret(field: &str, path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{field}: read {}", path.display()))?;
    let secret = text.trim().to_owned();
    ensure!(
        secret.len() >= SECRET_BYTES_MIN,
        "{field}: {} holds {} bytes; at least {SECRET_BYTES_MIN} are needed",
        path.display(),
        secret.len()
    );
    Ok(secret)
}
