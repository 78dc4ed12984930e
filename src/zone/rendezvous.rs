//! Rendezvous hashing: an order of members for each key that all entry VMs compute alike, without
//! coordination.

use sha2::{Digest, Sha256};

/// The score of `member` for `key`. The member with the highest score is the first choice.
pub fn rendezvous_score(key: &str, member: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_le_bytes());
    hash.update(key.as_bytes());
    hash.update(member.as_bytes());
    let digest = hash.finalize();
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// The members in descending order of their scores for `key`.
pub fn rendezvous_order<T>(
    key: &str,
    members: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut scored: Vec<(u64, T)> =
        members.into_iter().map(|m| (rendezvous_score(key, name(&m)), m)).collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().map(|(_, m)| m).collect()
}
