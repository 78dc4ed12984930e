//! Customers' API keys. Only their digests are stored; a key itself is shown once, when it is
//! issued.

use macro_rules_attribute::apply;
use rand::RngCore;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use zeroize::Zeroizing;

use crate::common::record;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// Prefix of every key, so that secret scanners can find a leaked one.
const KEY_PREFIX: &str = "ssk_";

/// The SHA-256 digest of a key, in hexadecimal.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct KeyDigest(String);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(hex::encode(Sha256::digest(key.as_bytes())))
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// The first characters, enough for an operator to identify a key.
    pub fn short(&self) -> &str {
        &self.0[..self.0.len().min(12)]
    }
}

/// Whether a key may be used.
#[apply(record!)]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum KeyState {
    /// The key is accepted.
    Active,
    /// The key was withdrawn and is never accepted again.
    Withdrawn,
}

/// One key of a customer.
#[apply(record!)]
pub struct KeyEntry {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Whether it may be used.
    pub state: KeyState,
}

/// All keys of one customer.
#[apply(record!)]
#[derive(Default)]
pub struct KeySet {
    /// The keys, oldest first.
    pub keys: Vec<KeyEntry>,
}

/// Generates a random key.
pub fn new_key() -> Zeroizing<String> {
    use base64::Engine;
    let mut bytes = Zeroizing::new([0u8; KEY_BYTES]);
    rand::rng().fill_bytes(bytes.as_mut());
    let text = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes.as_ref());
    Zeroizing::new(format!("{KEY_PREFIX}{text}"))
}
