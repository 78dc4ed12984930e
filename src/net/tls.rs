//! TLS on the port for callers, set up from PEM files.

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;

/// Creates a TLS acceptor from a certificate chain and its private key.
///
/// # Errors
/// Fails if a file can't be read or contains no certificate or no private key (the message names the
/// file), or if `rustls` rejects the certificate with the key.
pub fn tls_acceptor(chain: &Path, key: &Path) -> Result<TlsAcceptor> {
    let certs = rustls_pemfile::certs(&mut open(chain)?)
        .collect::<Result<Vec<_>, _>>()
        .with_context(|| format!("read certificates in {}", chain.display()))?;
    if certs.is_empty() {
        bail!("{} contains no certificate", chain.display());
    }
    let private_key = rustls_pemfile::private_key(&mut open(key)?)
        .with_context(|| format!("read the private key in {}", key.display()))?
        .with_context(|| format!("{} contains no private key", key.display()))?;
    let provider = Arc::new(tokio_rustls::rustls::crypto::aws_lc_rs::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context("set the default TLS versions")?
        .with_no_client_auth()
        .with_single_cert(certs, private_key)
        .context("set the certificate and private key for callers")?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn open(path: &Path) -> Result<std::io::BufReader<std::fs::File>> {
    let file = std::fs::File::open(path).with_context(|| format!("open {}", path.display()))?;
    Ok(std::io::BufReader::new(file))
}
