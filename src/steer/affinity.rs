//! Rendezvous hashing of objects over targets: every entry VM comes to the same order without any
//! agreement, and a target that joins or leaves moves only its own objects.

use sha2::{Digest, Sha256};

/// A hash of a name, the same on every machine.
pub type NameHash = u64;

/// The fingerprint of `name`.
pub fn name_hash(name: &[u8]) -> NameHash {
    let digest = Sha256::digest(name);
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// The weight of a member for an object; the highest is the object's first choice.
pub fn rendezvous_score(object: NameHash, member: NameHash) -> u64 {
    // The finalizer of SplitMix64.
    let mut z = object ^ member.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The weight of a member for an object when members differ in size: the highest is the first
/// choice, and members come first in proportion to their sizes.
pub fn weighted_score(object: NameHash, member: NameHash, size: f64) -> f64 {
    // From the open interval between 0 and 1, in which the logarithm is negative.
    let part = ((rendezvous_score(object, member) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -size / part.ln()
}
