//! The bounds on what all connections of a server read ahead, and on requests that run ahead of their turn.

use std::sync::Arc;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::net::ByteBudget;

/// What a VM may hold for a request that runs ahead, in bytes: 128 KB of its response, and as much
/// again while its buffer grows or while more of it is read.
const REQUEST_BYTES: u64 = 256 << 10;
/// The part of the memory that is used for requests ahead: one in so many bytes.
const MEMORY_DIVISOR: u64 = 4;

/// Permits for requests that run ahead, the budget of the bytes that are read ahead, and counters.
#[derive(Debug)]
pub struct AheadBudget {
    permits: Arc<Semaphore>,
    /// The budget of the VM; other parts may share it.
    pub bytes: ByteBudget,
    /// Requests that were started ahead of their turn.
    pub started: Counter,
    /// Requests that a bound kept from starting ahead.
    pub held: Counter,
}

impl AheadBudget {
    /// A budget for `requests` at once, and for `bytes`.
    pub fn new(requests: usize, bytes: ByteBudget) -> Self {
        let permits = Arc::new(Semaphore::new(requests.min(Semaphore::MAX_PERMITS)));
        Self { permits, bytes, started: Counter::default(), held: Counter::default() }
    }

    /// The budget of a VM with so many bytes of memory.
    pub fn for_memory(bytes: u64) -> Self {
        let requests = (bytes / MEMORY_DIVISOR / REQUEST_BYTES) as usize;
        Self::new(requests, ByteBudget::for_memory(bytes))
    }

    /// A permit for one request, held while it is ahead; none if the bound is reached.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }
}
