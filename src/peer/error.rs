//! The error of calls to peers.

/// A failed call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at peer {peer}: {cause}")]
pub struct PeerError {
    /// The step that failed.
    pub step: &'static str,
    /// The name of the peer.
    pub peer: String,
    /// False if no byte of the call can have reached the peer, so that a retry is safe.
    pub maybe_sent: bool,
    /// True if the session ended while the call waited for its response; the peer may well run.
    pub session_ended: bool,
    /// Why it failed.
    pub cause: String,
}
