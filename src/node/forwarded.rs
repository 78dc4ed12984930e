//! Requests that other VMs forward to this one: refuses those for which a stop leaves no time, and
//! counts the others until they have ended.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::peer::{Answer, Forward, Outcome};

use super::target_call::failed_answer;
use super::{Node, egress};

/// The forwarded requests in progress.
#[derive(Debug, Default)]
pub(crate) struct ForwardedRequests {
    count: AtomicU64,
    /// True once no further request is accepted.
    closed: AtomicBool,
}

impl ForwardedRequests {
    /// Number of requests that have not ended.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Accepts no further request.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn enter(&self) -> CountGuard<'_> {
        self.count.fetch_add(1, Ordering::SeqCst);
        CountGuard(self)
    }
}

/// Counts a request while it exists.
struct CountGuard<'a>(&'a ForwardedRequests);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs a request of a peer's caller at a target of this VM, if a stop leaves time for it.
pub(crate) async fn run(node: &Node, forward: Forward) -> Answer {
    // Counted before the check, so that a stop that closes meanwhile waits for it.
    let _counted = node.forwarded.enter();
    let left = Duration::from_millis(forward.left_ms);
    if node.forwarded.is_closed() || !node.lifecycle.accepts(left) {
        return stopping_answer();
    }
    egress::run(node, forward).await
}

/// The answer to a request that was sent to no target, since this VM is stopping. Ingress VMs try
/// another VM. It has no outcome of its own: VMs that don't know that would take it for
/// [`Outcome::Unknown`].
pub(super) fn stopping_answer() -> Answer {
    failed_answer(Outcome::Busy, "", "this VM is stopping".to_owned())
}
