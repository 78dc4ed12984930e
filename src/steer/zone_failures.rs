//! Detects that all targets of a zone are gone.
//!
//! Load pattern: a zone loses its power or its links, and all its targets become unreachable at
//! once. If each target had to fail a request first, every one would cost callers a connect timeout.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::model::TargetId;

/// Different targets that must have failed.
const FAILURES_MIN: usize = 3;
/// Time in which they must have failed.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_000);

/// The targets of one zone that have failed since one of the zone last answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneFailures {
    failed: BTreeSet<TargetId>,
    /// When the first of them failed.
    since: Duration,
}

impl ZoneFailures {
    /// Records that a target could not be reached. Returns true if the whole zone seems to be gone.
    pub(crate) fn record_failure(&mut self, now: Duration, id: &TargetId) -> bool {
        if self.failed.is_empty() || now.saturating_sub(self.since) > FAILURE_WINDOW {
            self.failed.clear();
            self.since = now;
        }
        self.failed.insert(id.clone());
        self.failed.len() >= FAILURES_MIN
    }

    /// Records that a target of the zone answered.
    pub(crate) fn record_answer(&mut self) {
        self.failed.clear();
    }
}
