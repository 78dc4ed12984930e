//! What the targets of one service have said of themselves, kept by their egress VM.
//!
//! A notice is kept for the process at one address, also while this VM does not own the target, so
//! that it holds when the ownership comes back.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::model::TargetId;
use crate::steer::{NoticeOrigin, NoticeState, TargetNotice};

use super::{ClosedTargets, OwnedTarget};

/// Time for which the notices of a target that is not owned are kept. Longer than any pause.
const UNOWNED_TTL: Duration = Duration::from_secs(7_200);

/// What a target says of itself in a response.
#[derive(Clone, Copy, Debug)]
pub struct NoticeReport<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// The address that responded.
    pub addr: SocketAddr,
    /// What it says.
    pub notice: TargetNotice,
    /// When the response came, in milliseconds since the Unix epoch.
    pub said_ms: u64,
}

/// A target's notice that keeps requests from it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeInForce {
    /// It leaves.
    Leaving {
        /// Time since it first said so.
        age: Duration,
    },
    /// It has asked for a pause.
    Paused {
        /// Time since it last asked.
        age: Duration,
        /// Time until the pause is over.
        left: Duration,
    },
}

impl NoticeInForce {
    /// This target among those that take no requests.
    pub(super) fn as_closed(&self) -> ClosedTargets {
        match *self {
            Self::Leaving { .. } => ClosedTargets { leaving: 1, ..ClosedTargets::default() },
            Self::Paused { left, .. } => {
                ClosedTargets { leaving: 0, paused: 1, pause_left: Some(left) }
            }
        }
    }
}

impl fmt::Display for NoticeInForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaving { age } => write!(f, "leaving, said {} ms ago", age.as_millis()),
            Self::Paused { age, left } => {
                let (age, left) = (age.as_millis(), left.as_millis());
                write!(f, "paused, asked {age} ms ago, {left} ms left")
            }
        }
    }
}

/// The notices of the process at one address.
#[derive(Clone, Debug)]
pub(super) struct ProcessNotices {
    /// Times in `state` count from here.
    start: Instant,
    /// When this VM last owned the target or heard of it.
    last_used: Instant,
    state: NoticeState,
}

impl ProcessNotices {
    fn new(now: Instant) -> Self {
        Self { start: now, last_used: now, state: NoticeState::default() }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.state.is_leaving()
    }

    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.state.pause_left(self.elapsed(now))
    }

    pub(super) fn in_force(&self, now: Instant) -> Option<NoticeInForce> {
        let elapsed = self.elapsed(now);
        if let Some(age) = self.state.leaving_age(elapsed) {
            return Some(NoticeInForce::Leaving { age });
        }
        let left = self.state.pause_left(elapsed)?;
        Some(NoticeInForce::Paused { age: self.state.pause_age(elapsed), left })
    }

    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.start)
    }
}

/// The notices of targets, by id and address.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetNotices {
    notices: BTreeMap<TargetId, BTreeMap<SocketAddr, ProcessNotices>>,
}

impl TargetNotices {
    /// The notices of the process at the target's address.
    pub(super) fn get(&self, target: &OwnedTarget) -> Option<&ProcessNotices> {
        self.notices.get(&target.id)?.get(&target.addr)
    }

    /// Records a notice. `born_ms` is when the process started, as far as it is known; `sample`, from
    /// 0 to 1, spreads the ends of pauses.
    pub(super) fn record(
        &mut self,
        now: Instant,
        report: &NoticeReport<'_>,
        born_ms: u64,
        sample: f64,
    ) {
        if report.notice.is_empty() {
            return;
        }
        let by_addr = self.notices.entry(report.target.clone()).or_default();
        let kept = by_addr.entry(report.addr).or_insert_with(|| ProcessNotices::new(now));
        kept.last_used = now;
        let origin = NoticeOrigin { born_ms, said_ms: report.said_ms };
        kept.state.record(now.saturating_duration_since(kept.start), origin, report.notice, sample);
    }

    /// Drops the notices of an earlier process than the one that started at `started_ms`.
    pub(super) fn start_incarnation(&mut self, target: &OwnedTarget, started_ms: u64) {
        if let Some(kept) = self.get_mut(target) {
            kept.state = kept.state.for_incarnation(started_ms);
        }
    }

    /// Drops the notices of a process that has ended.
    pub(super) fn clear(&mut self, target: &OwnedTarget) {
        if let Some(by_addr) = self.notices.get_mut(&target.id) {
            by_addr.remove(&target.addr);
        }
    }

    /// Drops the notices of targets that have not been owned for long.
    pub(super) fn forget_old(&mut self, now: Instant, owned: &[OwnedTarget]) {
        for target in owned {
            if let Some(kept) = self.get_mut(target) {
                kept.last_used = now;
            }
        }
        for by_addr in self.notices.values_mut() {
            by_addr.retain(|_, kept| now < kept.last_used + UNOWNED_TTL);
        }
        self.notices.retain(|_, by_addr| !by_addr.is_empty());
    }

    fn get_mut(&mut self, target: &OwnedTarget) -> Option<&mut ProcessNotices> {
        self.notices.get_mut(&target.id)?.get_mut(&target.addr)
    }
}
