//! The claims of one shard, as the store keeps them.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};

use crate::common::record;
use crate::model::{Account, Incarnation, VmId};

/// Shards of a service's claims.
const SHARDS: u64 = 256;
/// Time for which a key is remembered, in seconds.
const KEY_AGE_MAX_S: u64 = 24 * 3_600;
/// Time for which the body of an answer is kept, in seconds.
const BODY_AGE_MAX_S: u64 = 600;
/// Claims of a shard; a full one takes no more, since forgetting early could run a key twice.
const CLAIMS_MAX: usize = 4_000;
/// Largest body that is kept, in bytes.
const BODY_BYTES_MAX: usize = 4 << 10;

/// A caller's idempotency key: the digest of account and key.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// The key `text` of `account`.
    pub fn new(account: &Account, text: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [account.service.as_str(), account.customer.as_str(), text] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        Self(hex::encode(&hash.finalize()[..20]))
    }

    /// The store's path of the shard that keeps this key.
    pub fn path(&self, account: &Account) -> String {
        let head = u64::from_str_radix(&self.0[..8], 16).unwrap_or(0);
        format!("once/{}/{:03}", account.service, head % SHARDS)
    }
}

/// A stored answer.
#[apply(record!)]
#[derive(Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(default)]
    pub kind: String,
    /// Body in base64; none if it was too large or is too old.
    #[serde(default)]
    pub body: Option<String>,
}

/// How far a claimed request has come.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It ran, and was answered so.
    Done(Reply),
    /// It may have run.
    Unknown,
}

/// A claimed key.
#[apply(record!)]
#[derive(Eq)]
pub struct Claim {
    /// Names the attempt; settles a write whose answer was lost.
    pub nonce: String,
    /// The entry VM that claimed.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// When, in seconds since 1970.
    pub at: u64,
    /// Digest of method, path and body.
    pub request: String,
    /// How far it has come.
    pub state: ClaimState,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is claimed for this attempt.
    Mine,
    /// Another attempt claimed the key.
    Taken(Claim),
    /// The key was used for another request.
    Mismatch,
    /// The shard is full.
    Full,
}

/// The claims of one shard. A key has at most one claim.
#[apply(record!)]
#[derive(Default)]
pub struct Claims {
    claims: BTreeMap<IdempotencyKey, Claim>,
}

impl Claims {
    /// Claims `key`. Repeating a claim changes nothing.
    pub fn claim(&mut self, key: &IdempotencyKey, claim: &Claim) -> ClaimOutcome {
        match self.claims.get(key) {
            Some(found) if found.nonce == claim.nonce => ClaimOutcome::Mine,
            Some(found) if found.request != claim.request => ClaimOutcome::Mismatch,
            Some(found) => ClaimOutcome::Taken(found.clone()),
            None if self.claims.len() >= CLAIMS_MAX => ClaimOutcome::Full,
            None => {
                self.claims.insert(key.clone(), claim.clone());
                ClaimOutcome::Mine
            }
        }
    }

    /// Records the end of the attempt `nonce`; other attempts' claims stay as they are.
    pub fn settle(&mut self, key: &IdempotencyKey, nonce: &str, state: &ClaimState) {
        if let Some(claim) = self.claims.get_mut(key).filter(|c| c.nonce == nonce) {
            claim.state = state.clone();
        }
    }

    /// Gives back the key of an attempt that never reached a target.
    pub fn release(&mut self, key: &IdempotencyKey, nonce: &str) {
        if self.claims.get(key).is_some_and(|c| c.nonce == nonce) {
            self.claims.remove(key);
        }
    }

    /// Forgets old keys and old bodies; `now` is in seconds since 1970.
    pub fn prune(&mut self, now: u64) {
        self.claims.retain(|_, c| now.saturating_sub(c.at) < KEY_AGE_MAX_S);
        for claim in self.claims.values_mut() {
            let old = now.saturating_sub(claim.at) >= BODY_AGE_MAX_S;
            if let ClaimState::Done(reply) = &mut claim.state
                && old
            {
                reply.body = None;
            }
        }
    }

    /// The claim of a key.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&Claim> {
        self.claims.get(key)
    }
}

/// True if a body of `bytes` is kept for replayed answers.
pub fn keeps_body(bytes: usize) -> bool {
    bytes <= BODY_BYTES_MAX
}
