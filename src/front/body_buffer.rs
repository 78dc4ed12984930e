//! The start of a body, held in one piece. Its chunks are copied, since each would keep the whole buffer that
//! it was read into.

use bytes::Bytes;
use http_body_util::BodyExt;
use macro_rules_attribute::apply;

use crate::common::plain;
use crate::net::{HeldBytes, UNCOUNTED_BYTES};

/// Where the reading of a body ended.
#[apply(plain!)]
pub(crate) enum ReadEnd {
    /// At its end.
    Whole,
    /// At the limit of its length.
    Limit,
    /// There was no room to hold more.
    NoRoom,
}

/// The start of a body.
pub(crate) struct BodyStart {
    /// The bytes that have been read. What was held for them is released when they are dropped.
    pub(crate) chunks: Vec<Bytes>,
    pub(crate) end: ReadEnd,
}

impl BodyStart {
    /// The bytes in one piece.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        match self.chunks.len() {
            0 | 1 => self.chunks.pop().unwrap_or_default(),
            _ => self.chunks.concat().into(),
        }
    }
}

/// Reads a body until its end, until more than `limit` bytes are read or until there is no room to hold more.
///
/// # Errors
/// Fails if the body does.
pub(crate) async fn read_start<B>(
    body: &mut B,
    limit: usize,
    held: HeldBytes,
) -> Result<BodyStart, B::Error>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut buffer = HeldBuffer { bytes: Vec::new(), limit, held };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if let Err(end) = buffer.add(&data) {
            let chunks = [buffer.into_bytes(), data].into_iter().filter(|c| !c.is_empty());
            return Ok(BodyStart { chunks: chunks.collect(), end });
        }
    }
    Ok(BodyStart { chunks: vec![buffer.into_bytes()], end: ReadEnd::Whole })
}

/// Bytes whose allocation is held, beyond [`UNCOUNTED_BYTES`].
struct HeldBuffer {
    bytes: Vec<u8>,
    limit: usize,
    held: HeldBytes,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBuffer {
    /// Adds bytes.
    ///
    /// # Errors
    /// Changes nothing if they are too many or there is no room.
    fn add(&mut self, data: &[u8]) -> Result<(), ReadEnd> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(ReadEnd::Limit);
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(2 * self.bytes.capacity()).min(self.limit);
            if !self.held.try_set(capacity.saturating_sub(UNCOUNTED_BYTES)) {
                return Err(ReadEnd::NoRoom);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }
}
