//! Failures of calls to peers.

/// A failed call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at peer {peer}: {cause}")]
pub struct PeerError {
    /// What was being done.
    pub step: &'static str,
    /// The peer.
    pub peer: String,
    /// False only if no byte of the call can have reached the peer.
    pub maybe_sent: bool,
    /// The cause in words.
    pub cause: String,
}
