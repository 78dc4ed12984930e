//! A bound on the bytes that a VM holds for its callers and targets, by kind and so in sum.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use macro_rules_attribute::apply;
use prometheus_client::metrics::counter::Counter;

use crate::common::plain;

/// What each buffer may hold without being counted, in bytes, so that every connection gets on while there
/// is no room.
pub(crate) const UNCOUNTED_BYTES: usize = 8 << 10;
/// The parts of the memory that may be held, one in so many bytes, in the order of [`HoldKind::ALL`].
const MEMORY_DIVISORS: [u64; HoldKind::ALL.len()] = [16, 4, 8];

/// What bytes are held for. Each kind has a budget of its own: neither what callers send ahead nor what
/// targets send must keep requests from being accepted, and requests must not keep those that run from
/// ending.
#[apply(plain!)]
pub enum HoldKind {
    /// What callers send ahead of its turn, and bodies of requests.
    Ahead,
    /// Requests in their turn or running.
    Request,
    /// What targets send.
    Response,
}

impl HoldKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Ahead, Self::Request, Self::Response];

    /// Its label in the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ahead => "ahead",
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// Budgets of bytes, one for each kind; clones share them.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Most bytes of each kind.
    max: [usize; HoldKind::ALL.len()],
    /// Bytes held of each kind.
    held: Mutex<[usize; HoldKind::ALL.len()]>,
    refused: Counter,
}

impl ByteBudget {
    /// Budgets of so many bytes, in the order of [`HoldKind::ALL`].
    pub fn new(max: [usize; HoldKind::ALL.len()]) -> Self {
        Self(Arc::new(Shared { max, held: Mutex::default(), refused: Counter::default() }))
    }

    /// The budgets of a VM with so many bytes of memory.
    pub fn for_memory(bytes: u64) -> Self {
        Self::new(MEMORY_DIVISORS.map(|divisor| (bytes / divisor) as usize))
    }

    /// Budgets that are never reached.
    pub fn unlimited() -> Self {
        Self::new([usize::MAX; HoldKind::ALL.len()])
    }

    /// Starts to hold bytes of a kind: none at first.
    pub fn hold(&self, kind: HoldKind) -> HeldBytes {
        HeldBytes { budget: self.clone(), kind, bytes: 0 }
    }

    /// Bytes held of a kind.
    pub fn held(&self, kind: HoldKind) -> usize {
        self.lock()[kind as usize]
    }

    /// How often something was refused, since there was no room.
    pub fn refused(&self) -> Counter {
        self.0.refused.clone()
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
        let fits = self.has_room(bytes);
        match fits {
            true => self.set(bytes),
            false => _ = self.budget.0.refused.inc(),
        }
        fits
    }

    /// True if it may hold `bytes` in place of what it holds.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        more == 0
            || self.budget.held(self.kind).saturating_add(more)
                <= self.budget.0.max[self.kind as usize]
    }

    /// Holds `bytes` in place of what it held, whether there is room or not.
    pub(crate) fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            let mut held = self.budget.lock();
            let held = &mut held[self.kind as usize];
            *held = *held - self.bytes + bytes;
            self.bytes = bytes;
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
