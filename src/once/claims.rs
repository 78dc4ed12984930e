//! The claims of idempotency keys in one shard, in the form in which the store keeps them.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use sha2::{Digest, Sha256};

use crate::common::record;
use crate::model::{Account, Incarnation, VmId};

/// Number of shards that a service's claims are stored in.
const SHARD_COUNT: u64 = 256;
/// Time after which a claim is removed, in seconds.
const CLAIM_TTL_S: u64 = 24 * 3_600;
/// Time after a claim at which the body of its stored response is removed, in seconds.
const BODY_TTL_S: u64 = 600;
/// Most claims in a shard. A full shard accepts no more: evicting a claim early could let a request
/// run twice.
const CLAIMS_MAX: usize = 4_000;
/// Largest response body that is stored, in bytes.
const BODY_BYTES_MAX: usize = 4 << 10;

/// The digest of an account and a caller's idempotency key.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
#[serde(transparent)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// The digest of the key `text` of `account`.
    pub fn new(account: &Account, text: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [account.service.as_str(), account.customer.as_str(), text] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        Self(hex::encode(&hash.finalize()[..20]))
    }

    /// The store path of the shard that this key belongs to.
    pub fn path(&self, account: &Account) -> String {
        let head = u64::from_str_radix(&self.0[..8], 16).unwrap_or(0);
        format!("once/{}/{:03}", account.service, head % SHARD_COUNT)
    }
}

/// A stored response, which is replayed to callers that retry the request.
#[apply(record!)]
#[derive(Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    #[serde(default)]
    pub kind: String,
    /// The body in base64; none if it was too large or is older than `BODY_TTL_S`.
    #[serde(default)]
    pub body: Option<String>,
}

/// The state of a claimed request.
#[apply(record!)]
#[derive(Eq)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It has run, with this response.
    Done(Reply),
    /// It ended without a known result and may have run.
    Unknown,
}

/// A claim of an idempotency key by one attempt to run its request.
#[apply(record!)]
#[derive(Eq)]
pub struct Claim {
    /// Identifies the attempt, so that a write whose response was lost can be recognised as its own.
    pub nonce: String,
    /// The entry VM that made the claim.
    pub vm: VmId,
    /// The incarnation of that VM.
    pub incarnation: Incarnation,
    /// Time of the claim, in seconds since 1970.
    pub at: u64,
    /// Digest of the request's method, path and body.
    pub request: String,
    /// The state of the request.
    pub state: ClaimState,
}

/// The result of claiming an idempotency key.
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
    /// Claims `key` unless it is claimed already. Making the same claim twice has no further effect.
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

    /// Records the end of the attempt `nonce`. No effect if another attempt holds the claim.
    pub fn settle(&mut self, key: &IdempotencyKey, nonce: &str, state: &ClaimState) {
        if let Some(claim) = self.claims.get_mut(key).filter(|c| c.nonce == nonce) {
            claim.state = state.clone();
        }
    }

    /// Removes the claim of the attempt `nonce`, which never reached a target.
    pub fn release(&mut self, key: &IdempotencyKey, nonce: &str) {
        if self.claims.get(key).is_some_and(|c| c.nonce == nonce) {
            self.claims.remove(key);
        }
    }

    /// Removes claims and stored bodies whose TTL has passed. `now` is in seconds since 1970.
    pub fn prune(&mut self, now: u64) {
        self.claims.retain(|_, c| now.saturating_sub(c.at) < CLAIM_TTL_S);
        for claim in self.claims.values_mut() {
            let expired = now.saturating_sub(claim.at) >= BODY_TTL_S;
            if let ClaimState::Done(reply) = &mut claim.state
                && expired
            {
                reply.body = None;
            }
        }
    }

    /// The claim of `key`, if any.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&Claim> {
        self.claims.get(key)
    }
}

/// True if a response body of `bytes` is small enough to be stored for replay.
pub fn keeps_body(bytes: usize) -> bool {
    bytes <= BODY_BYTES_MAX
}
