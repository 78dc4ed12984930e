//! Sessions between entry VMs: `prost` messages in length-delimited frames over TCP.
//!
//! A [`PeerClient`] opens the sessions to one peer, and a [`PeerServer`] accepts those of all peers.
//! In a session only the dialling end makes calls. Both ends prove in the handshake that they know
//! a shared secret. Frames are not encrypted.

mod arrival;
mod client;
mod compression;
mod error;
mod handshake;
mod message;
mod observation;
mod server;
mod steering;

pub use client::{Dialer, PeerClient};
pub use compression::CompressedContents;
pub use error::PeerError;
pub use handshake::{Identity, Secret};
pub use message::{
    Answer, Body, Cancel, Empty, Envelope, EscrowNote, ExplainRequest, ExplainResponse, Forward,
    HeaderField, Heartbeat, Objects, Outcome, PoolHome, ServiceLoad, VersionList, WireObject,
    WireVersion, ask, decode_outcome,
};
pub use observation::WireObservation;
pub use server::{PeerHandler, PeerServer};
pub use steering::{
    DrawRequest, DrawResponse, FeedUpdate, SyncRequest, SyncResponse, TargetCrash, WireItem,
    WireLiveness, WireTokenGrant, WireTokenRequest,
};

/// Largest frame, in bytes. It must hold the body and headers of a request or response.
pub(crate) const FRAME_BYTES_MAX: usize = 12 << 20;

/// Largest frame of the handshake, in bytes: the other end may be anyone.
pub(crate) const HELLO_BYTES_MAX: usize = 16 << 10;

/// The codec of all sessions. The handshake raises its limit to [`FRAME_BYTES_MAX`].
pub(crate) fn codec() -> tokio_util::codec::LengthDelimitedCodec {
    tokio_util::codec::LengthDelimitedCodec::builder().max_frame_length(HELLO_BYTES_MAX).new_codec()
}
