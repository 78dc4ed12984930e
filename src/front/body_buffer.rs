//! The start of a body, held in one piece. Its chunks are copied, since each would keep the whole buffer that
//! it was read into.

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::net::HeldBytes;

/// The start of a body.
pub(crate) struct BodyStart {
    /// The bytes that have been read. What was held for them is released when they are dropped.
    pub(crate) chunks: Vec<Bytes>,
    /// True if they are the whole body.
    pub(crate) complete: bool,
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
        if !buffer.try_add(&data) {
            let chunks = [buffer.into_bytes(), data].into_iter().filter(|c| !c.is_empty());
            return Ok(BodyStart { chunks: chunks.collect(), complete: false });
        }
    }
    Ok(BodyStart { chunks: vec![buffer.into_bytes()], complete: true })
}

/// Bytes whose allocation is held.
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
    /// Returns false, and changes nothing, if the bytes are too many or there is no room.
    fn try_add(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return false;
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(2 * self.bytes.capacity()).min(self.limit);
            if !self.held.try_set(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }
}
