//! A bound on the bytes that a VM holds for its callers and targets, by kind and in sum.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use macro_rules_attribute::apply;
use prometheus_client::metrics::counter::Counter;

use crate::common::plain;

/// What each buffer may hold without being counted, in bytes, so that every connection gets on while there
/// is no room.
pub(crate) const UNCOUNTED_BYTES: usize = 8 << 10;
/// The part of the memory that may be held: one in so many bytes. Buffers may be twice as large as what
/// they hold.
const MEMORY_DIVISOR: u64 = 4;
/// The part of the budget that is left to what is further on: one in so many bytes.
const RESERVE_DIVISOR: usize = 4;

/// What bytes are held for.
#[apply(plain!)]
pub enum HoldKind {
    /// What callers send. It may not fill the whole budget, so that what is running can end.
    Request,
    /// What targets send.
    Response,
}

impl HoldKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Request, Self::Response];

    /// Its label in the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// A budget of bytes; clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    /// Bytes held of each kind.
    held: Mutex<[usize; HoldKind::ALL.len()]>,
    refused: Counter,
}

impl ByteBudget {
    /// A budget of `max` bytes.
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Shared { max, held: Mutex::default(), refused: Counter::default() }))
    }

    /// The budget of a VM with so many bytes of memory.
    pub fn for_memory(bytes: u64) -> Self {
        Self::new((bytes / MEMORY_DIVISOR) as usize)
    }

    /// Starts to hold bytes of a kind; none at first.
    pub fn hold(&self, kind: HoldKind) -> HeldBytes {
        HeldBytes { budget: self.clone(), kind, bytes: 0 }
    }

    /// Bytes held of a kind.
    pub fn held(&self, kind: HoldKind) -> usize {
        self.lock()[kind as usize]
    }

    /// How often there was no room.
    pub fn refused(&self) -> Counter {
        self.0.refused.clone()
    }

    fn max_of(&self, kind: HoldKind) -> usize {
        match kind {
            HoldKind::Request => self.0.max - self.0.max / RESERVE_DIVISOR,
            HoldKind::Response => self.0.max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, [usize; HoldKind::ALL.len()]> {
        // Bytes that are released while their task panics must not panic again.
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that count towards a budget until they are dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: ByteBudget,
    kind: HoldKind,
    bytes: usize,
}

impl HeldBytes {
    /// Holds `bytes` in place of what it held. Returns false, and changes nothing, if that is more and the
    /// budget has no room for it.
    pub fn try_set(&mut self, bytes: usize) -> bool {
        if !self.has_room(bytes) {
            return false;
        }
        self.set(bytes);
        true
    }

    /// True if it may hold `bytes` in place of what it holds.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let sum: usize = self.budget.lock().iter().sum();
        let fits = sum.saturating_add(more) <= self.budget.max_of(self.kind);
        if !fits {
            self.budget.0.refused.inc();
        }
        fits
    }

    /// Holds `bytes` in place of what it held, whether there is room or not.
    pub(crate) fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            let mut held = self.budget.lock();
            held[self.kind as usize] = held[self.kind as usize] - self.bytes + bytes;
            self.bytes = bytes;
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
