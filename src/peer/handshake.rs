//! The handshake that opens a session: both ends state their identity and prove that they know the
//! shared secret, with an HMAC over both hello messages and their nonces.

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use rand::RngCore;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use zeroize::Zeroizing;

use super::FRAME_BYTES_MAX;
use crate::model::{Incarnation, Place, VmId};

/// Version of the protocol. Peers with another version are refused.
const PROTOCOL_VERSION: u32 = 1;
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// The secret that all entry VMs share.
#[derive(Clone)]
pub struct Secret(Zeroizing<Vec<u8>>);

impl Secret {
    /// A secret of these bytes, which are zeroed when it is dropped.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(Zeroizing::new(bytes))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The process at one end of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The entry VM.
    pub vm: VmId,
    /// Its region and zone.
    pub place: Place,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The only message of the handshake. The dialling end sends it twice: without and with the proof.
#[derive(Clone, PartialEq, Message)]
struct Hello {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(string, tag = "2")]
    vm: String,
    #[prost(string, tag = "3")]
    region: String,
    #[prost(string, tag = "4")]
    zone: String,
    #[prost(uint64, tag = "5")]
    incarnation: u64,
    #[prost(bytes = "vec", tag = "6")]
    nonce: Vec<u8>,
    #[prost(bytes = "vec", tag = "7")]
    proof: Vec<u8>,
}

impl Hello {
    fn new(identity: &Identity) -> Self {
        let mut nonce = vec![0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        Hello {
            protocol: PROTOCOL_VERSION,
            vm: identity.vm.to_string(),
            region: identity.place.region.to_string(),
            zone: identity.place.zone.to_string(),
            incarnation: identity.incarnation,
            nonce,
            proof: Vec::new(),
        }
    }

    fn identity(&self) -> Result<Identity> {
        ensure!(
            self.protocol == PROTOCOL_VERSION,
            "peer uses protocol version {}, not {PROTOCOL_VERSION}",
            self.protocol
        );
        ensure!(
            self.nonce.len() == NONCE_BYTES,
            "peer sent a nonce of {} bytes, not {NONCE_BYTES}",
            self.nonce.len()
        );
        Ok(Identity {
            vm: VmId::new(&self.vm),
            place: Place { region: self.region.as_str().into(), zone: self.zone.as_str().into() },
            incarnation: self.incarnation,
        })
    }
}

pub(crate) type Framing<S> = Framed<S, LengthDelimitedCodec>;

/// Runs the handshake as the dialling end and returns the identity of the answering end.
pub(crate) async fn dial<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framing<S>,
    me: &Identity,
    secret: &Secret,
) -> Result<Identity> {
    let own = Hello::new(me);
    send(frames, &own).await.context("send hello")?;
    let remote: Hello = receive(frames).await.context("read hello")?;
    let peer = remote.identity()?;
    verify(secret, Side::Answering, &own, &remote)?;
    let proof = prove(secret, Side::Dialling, &own, &remote)?;
    send(frames, &Hello { proof, ..own }).await.context("send proof")?;
    frames.codec_mut().set_max_frame_length(FRAME_BYTES_MAX);
    Ok(peer)
}

/// Runs the handshake as the answering end and returns the identity of the dialling end.
pub(crate) async fn answer<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framing<S>,
    me: &Identity,
    secret: &Secret,
) -> Result<Identity> {
    let remote: Hello = receive(frames).await.context("read hello")?;
    let peer = remote.identity()?;
    let mut own = Hello::new(me);
    own.proof = prove(secret, Side::Answering, &remote, &own)?;
    send(frames, &own).await.context("send hello")?;
    let signed: Hello = receive(frames).await.context("read proof")?;
    let unsigned = Hello { proof: Vec::new(), ..signed.clone() };
    ensure!(unsigned == remote, "peer changed its hello during the handshake");
    verify(secret, Side::Dialling, &signed, &own)?;
    frames.codec_mut().set_max_frame_length(FRAME_BYTES_MAX);
    Ok(peer)
}

/// The end of a session that a proof is made by. Part of the HMAC's input, so that a proof can't be
/// sent back to the end that made it.
#[derive(Clone, Copy)]
enum Side {
    Dialling,
    Answering,
}

fn mac(secret: &Secret, side: Side, dialler: &Hello, answerer: &Hello) -> Result<Hmac<Sha256>> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&secret.0).context("use the shared secret as HMAC key")?;
    mac.update(&[side as u8]);
    for hello in [dialler, answerer] {
        let unsigned = Hello { proof: Vec::new(), ..hello.clone() };
        mac.update(&unsigned.encode_length_delimited_to_vec());
    }
    Ok(mac)
}

fn prove(secret: &Secret, side: Side, dialler: &Hello, answerer: &Hello) -> Result<Vec<u8>> {
    Ok(mac(secret, side, dialler, answerer)?.finalize().into_bytes().to_vec())
}

fn verify(secret: &Secret, side: Side, dialler: &Hello, answerer: &Hello) -> Result<()> {
    let proof = match side {
        Side::Dialling => &dialler.proof,
        Side::Answering => &answerer.proof,
    };
    let mac = mac(secret, side, dialler, answerer)?;
    if mac.verify_slice(proof).is_err() {
        bail!("peer does not know the shared secret");
    }
    Ok(())
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framing<S>,
    message: &impl Message,
) -> Result<()> {
    frames.send(Bytes::from(message.encode_to_vec())).await.context("write frame")
}

async fn receive<S: AsyncRead + AsyncWrite + Unpin, M: Message + Default>(
    frames: &mut Framing<S>,
) -> Result<M> {
    let frame = frames.next().await.context("peer closed the session")?.context("read frame")?;
    M::decode(frame).context("decode frame")
}
