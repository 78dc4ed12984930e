//! Decides what an entry VM may conclude from a routing table of some age.
//!
//! A VM that stood still or was cut off knows routes, keys and limits as they were. From such a table
//! it must neither reject a request for good, since callers don't come back after that, nor accept a
//! key that may have been withdrawn. It waits briefly for a newer proof of its table instead, and
//! then lets the caller try elsewhere.

use std::time::Duration;

/// A watch may report a change this late, so that a table is older than it seems.
const WATCH_MARGIN: Duration = Duration::from_millis(1_300);
/// Longest time for which a request waits for a newer proof of the routing table.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(450);
/// Most requests that wait so at a time; each holds its head.
pub const PROOF_WAITERS_MAX: usize = 256;

/// What is concluded from a routing table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The request is rejected for good: its route or key doesn't exist, or it exceeds a limit.
    Reject,
    /// The request's key is valid.
    AcceptKey,
    /// The request needs no key. Nothing bounds the age of the table but the table's own refresh, so
    /// that a VM that is cut off goes on serving what it can.
    ServeOpen,
}

/// Limits of a routing table's age.
#[derive(Clone, Copy, Debug)]
pub struct AgeBounds {
    /// Longest time until a new configuration must be in force.
    pub config_apply: Duration,
    /// Longest time for which a withdrawn key may still be accepted.
    pub revoke: Duration,
    /// Whether keys are rejected when the table is too old to prove that they are valid.
    pub fail_closed: bool,
}

impl AgeBounds {
    /// True if `conclusion` may be drawn from a routing table of this age.
    pub fn allow(&self, conclusion: Conclusion, age: Duration) -> bool {
        match conclusion {
            Conclusion::Reject => {
                let margin = WATCH_MARGIN.min(self.config_apply / 2);
                age.saturating_add(margin) < self.config_apply
            }
            Conclusion::AcceptKey => {
                !self.fail_closed || age.saturating_add(WATCH_MARGIN) <= self.revoke
            }
            Conclusion::ServeOpen => true,
        }
    }
}

/// What an entry VM knows when it decides whether a request waits for a newer proof of the routing
/// table.
#[derive(Clone, Copy, Debug)]
pub struct ProofContext {
    /// True if this VM's last read of the store has failed.
    pub store_unreachable: bool,
    /// When the request times out.
    pub deadline: Duration,
}

impl ProofContext {
    /// True if the request may wait, since a newer proof may come in time.
    pub fn may_wait(&self, now: Duration) -> bool {
        !self.store_unreachable && now.saturating_add(PROOF_TIMEOUT) < self.deadline
    }
}
