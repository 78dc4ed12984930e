//! The bytes of a connection that have been read, and that the server or the tracker still needs.

use bytes::{Buf, BytesMut};

use crate::net::{HeldBytes, UNCOUNTED_BYTES};

/// Largest allocation that is kept while the buffer is empty, in bytes.
const IDLE_CAPACITY_MAX: usize = 1 << 10;

/// A bounded buffer with two readers: the server takes bytes, and the tracker follows them.
#[derive(Debug)]
pub(super) struct ReadBuffer {
    bytes: BytesMut,
    /// Position of `bytes[0]` on the connection.
    base: u64,
    /// Bytes at the start that the server has taken.
    taken: usize,
    /// Bytes at the start that the tracker has consumed.
    tracked: usize,
    max: usize,
    /// Counts the bytes beyond [`UNCOUNTED_BYTES`].
    held: HeldBytes,
}

impl ReadBuffer {
    /// An empty buffer for at most `max` bytes.
    pub(super) fn new(max: usize, held: HeldBytes) -> Self {
        Self { bytes: BytesMut::new(), base: 0, taken: 0, tracked: 0, max, held }
    }

    /// How many bytes may be added, `wanted` at most.
    pub(super) fn room(&self, wanted: usize) -> usize {
        let length = self.bytes.len();
        let wanted = wanted.min(self.max.saturating_sub(length));
        match self.held.has_room(counted(length + wanted)) {
            true => wanted,
            false => wanted.min(UNCOUNTED_BYTES.saturating_sub(length)),
        }
    }

    pub(super) fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.held.set(counted(self.bytes.capacity()));
    }

    /// The bytes that the tracker has not consumed.
    pub(super) fn untracked(&self) -> &[u8] {
        &self.bytes[self.tracked..]
    }

    /// Records that the tracker has consumed `count` bytes.
    pub(super) fn track(&mut self, count: usize) {
        self.tracked += count;
        self.discard();
    }

    /// Records that the tracker needs no bytes any more.
    pub(super) fn track_all(&mut self) {
        self.track(self.untracked().len());
    }

    /// Position on the connection up to which the tracker has come.
    pub(super) fn tracked_position(&self) -> u64 {
        self.base + self.tracked as u64
    }

    /// The bytes before position `limit` that the server has not taken.
    pub(super) fn available(&self, limit: u64) -> &[u8] {
        let end = limit.saturating_sub(self.base).min(self.bytes.len() as u64) as usize;
        &self.bytes[self.taken.min(end)..end]
    }

    /// True if there are bytes that the server has not taken.
    pub(super) fn has_untaken(&self) -> bool {
        self.taken < self.bytes.len()
    }

    /// Records that the server has taken `count` bytes.
    pub(super) fn take(&mut self, count: usize) {
        self.taken += count;
        self.discard();
    }

    /// Drops the bytes from position `limit` on. The tracker must not need them.
    pub(super) fn truncate(&mut self, limit: u64) {
        let end = limit.saturating_sub(self.base).min(self.bytes.len() as u64) as usize;
        self.bytes.truncate(end.max(self.taken));
        self.tracked = self.tracked.min(self.bytes.len());
    }

    /// Drops the bytes that nobody needs.
    fn discard(&mut self) {
        let count = self.taken.min(self.tracked);
        self.bytes.advance(count);
        self.base += count as u64;
        self.taken -= count;
        self.tracked -= count;
        if self.bytes.is_empty() && self.bytes.capacity() > IDLE_CAPACITY_MAX {
            self.bytes = BytesMut::new();
        }
        self.held.set(counted(self.bytes.capacity()));
    }
}

/// How many of `capacity` bytes count towards the budget.
fn counted(capacity: usize) -> usize {
    capacity.saturating_sub(UNCOUNTED_BYTES)
}
