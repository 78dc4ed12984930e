//! Rendezvous hashing, which maps affinity keys to targets and chooses leaders among the entry VMs.
//!
//! Every entry VM computes the same order on its own. A target that joins or leaves moves only the
//! affinity keys that it serves.

use sha2::{Digest, Sha256};

/// A hash of an affinity key or a member's name, the same on every machine.
pub type NameHash = u64;

/// The hash of `name`: the first 64 bits of its SHA-256 digest.
pub fn name_hash(name: &[u8]) -> NameHash {
    let digest = Sha256::digest(name);
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// The score of a member for a key; the member with the highest score is the first choice.
pub fn rendezvous_score(key: NameHash, member: NameHash) -> u64 {
    // The finalizer of SplitMix64.
    let mut z = key ^ member.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The score of a member for a key when members have weights: each member is the first choice for a
/// fraction of the keys in proportion to its weight.
pub fn weighted_score(key: NameHash, member: NameHash, weight: f64) -> f64 {
    // Uniform in the open interval (0, 1), where the logarithm is negative and finite.
    let uniform = ((rendezvous_score(key, member) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}
