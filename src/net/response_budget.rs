//! A bound on the bytes of all response bodies that one client holds at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The bytes that the response bodies of one client may hold together, until the last reference to
/// each is dropped.
///
/// One response may hold no more than is left for all others. So a few large responses leave room for
/// small ones, and a response that has to be given up is a large one.
#[derive(Debug)]
pub struct ResponseBudget {
    bytes_max: usize,
    held: AtomicUsize,
}

/// A response that would hold more bytes than the budget leaves to it.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no memory for a response of {bytes} bytes or more beside the others")]
pub struct OverBudget {
    bytes: usize,
}

impl ResponseBudget {
    /// A budget of `bytes_max`; the largest response may have half of it.
    pub fn new(bytes_max: usize) -> Arc<Self> {
        Arc::new(Self { bytes_max, held: AtomicUsize::new(0) })
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Copies a body that has been received otherwise.
    ///
    /// # Errors
    /// Fails if the budget leaves less than its length.
    pub(crate) fn copy(self: &Arc<Self>, body: &[u8]) -> Result<Bytes, OverBudget> {
        let mut held = HeldBody::new(self.clone(), body.len());
        held.append(body)?;
        Ok(held.into_bytes())
    }

    /// Takes `more` bytes for a response that holds `own`.
    fn take(&self, own: usize, more: usize) -> Result<(), OverBudget> {
        let bytes = own.saturating_add(more);
        let add = |held: usize| {
            let all = held.saturating_add(more);
            let left = self.bytes_max.saturating_sub(all);
            (bytes <= left).then_some(all)
        };
        let taken = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map(drop).map_err(|_| OverBudget { bytes })
    }
}

/// A response body that counts against a budget until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    bytes: Vec<u8>,
    /// Bytes taken from the budget: the capacity of `bytes`.
    taken: usize,
    /// Longest body, in bytes.
    length_max: usize,
    budget: Arc<ResponseBudget>,
}

impl HeldBody {
    /// An empty body that grows to at most `length_max` bytes.
    pub(crate) fn new(budget: Arc<ResponseBudget>, length_max: usize) -> Self {
        Self { bytes: Vec::new(), taken: 0, length_max, budget }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Copies `data` to the end of the body, so that the buffer which it was read into is free again.
    pub(crate) fn append(&mut self, data: &[u8]) -> Result<(), OverBudget> {
        let needed = self.bytes.len() + data.len();
        if needed > self.taken {
            let doubled = (2 * self.taken).min(self.length_max);
            self.reserve(doubled.max(needed))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    fn reserve(&mut self, capacity: usize) -> Result<(), OverBudget> {
        self.budget.take(self.taken, capacity - self.taken)?;
        self.taken = capacity;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.taken, Ordering::Relaxed);
    }
}
