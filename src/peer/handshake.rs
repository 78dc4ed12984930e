//! The opening of a session: both ends prove that they know the shared secret and name themselves.

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

use crate::model::{Incarnation, Place, VmId};

/// Version of the protocol; sessions of another one are refused.
const PROTOCOL: u32 = 1;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;

/// The secret that all entry VMs share.
#[derive(Clone)]
pub struct Secret(Zeroizing<Vec<u8>>);

impl Secret {
    /// Wraps the secret's bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(Zeroizing::new(bytes))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Who is at one end of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The entry VM.
    pub vm: VmId,
    /// Its place.
    pub place: Place,
    /// Its life.
    pub incarnation: Incarnation,
}

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
            protocol: PROTOCOL,
            vm: identity.vm.to_string(),
            region: identity.place.region.to_string(),
            zone: identity.place.zone.to_string(),
            incarnation: identity.incarnation,
            nonce,
            proof: Vec::new(),
        }
    }

    fn identity(&self) -> Result<Identity> {
        ensure!(self.protocol == PROTOCOL, "peer speaks protocol {}", self.protocol);
        ensure!(self.nonce.len() == NONCE_BYTES, "nonce of {} bytes", self.nonce.len());
        Ok(Identity {
            vm: VmId::new(&self.vm),
            place: Place { region: self.region.as_str().into(), zone: self.zone.as_str().into() },
            incarnation: self.incarnation,
        })
    }
}

pub(crate) type Framing<S> = Framed<S, LengthDelimitedCodec>;

/// Opens a session as the dialling end and returns who answered.
pub(crate) async fn dial<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framing<S>,
    me: &Identity,
    secret: &Secret,
) -> Result<Identity> {
    let mine = Hello::new(me);
    send(frames, &mine).await.context("send hello")?;
    let theirs: Hello = receive(frames).await.context("read hello")?;
    let peer = theirs.identity()?;
    verify(secret, Side::Answering, &mine, &theirs)?;
    let proof = prove(secret, Side::Dialling, &mine, &theirs)?;
    send(frames, &Hello { proof, ..mine }).await.context("send proof")?;
    Ok(peer)
}

/// Opens a session as the answering end and returns who dialled.
pub(crate) async fn answer<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framing<S>,
    me: &Identity,
    secret: &Secret,
) -> Result<Identity> {
    let theirs: Hello = receive(frames).await.context("read hello")?;
    let peer = theirs.identity()?;
    let mut mine = Hello::new(me);
    mine.proof = prove(secret, Side::Answering, &theirs, &mine)?;
    send(frames, &mine).await.context("send hello")?;
    let last: Hello = receive(frames).await.context("read proof")?;
    let proven = Hello { proof: Vec::new(), ..last.clone() };
    ensure!(proven == theirs, "peer changed its name during the handshake");
    verify(secret, Side::Dialling, &last, &mine)?;
    Ok(peer)
}

#[derive(Clone, Copy)]
enum Side {
    Dialling,
    Answering,
}

fn mac(secret: &Secret, side: Side, dialler: &Hello, answerer: &Hello) -> Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).context("use the peers' secret")?;
    mac.update(&[side as u8]);
    for hello in [dialler, answerer] {
        let bare = Hello { proof: Vec::new(), ..hello.clone() };
        mac.update(&bare.encode_length_delimited_to_vec());
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
        bail!("peer does not know the secret");
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
