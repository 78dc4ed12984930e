//! What the entry VMs of a zone tell each other of targets: the newest observation of each target,
//! and how far each VM has got them.
//!
//! A VM tells its zone leader what it has observed, and the leader passes it on to the other VMs that
//! serve callers. Nothing is acknowledged: what a lost message carried is replaced by the next
//! observation of the same target.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::model::{TargetId, VmId};

/// Age from which an observation is neither sent nor accepted; a larger one is a fault of the sender.
pub(super) const OBSERVATION_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Most observations in one message; bounds the work of a zone leader.
const OBSERVATIONS_MAX: usize = 64;
/// Time after which an unchanged state is passed on again, since its age matters too.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Change of the pace that is passed on, in percent of the usual time.
const PACE_CHANGE: u32 = 10;
/// Time without a message after which it is forgotten what a VM has got.
const CURSOR_TTL: Duration = Duration::from_secs(10);

/// What one entry VM saw of a target in a response.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The target.
    pub target: TargetId,
    /// When the target's process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Requests at the target, of all entry VMs.
    pub requests: u32,
    /// How many of them are the observing VM's.
    pub own: u32,
    /// Pace of the target's machine, in percent of the usual time.
    pub pace: u32,
    /// Time since the observation.
    pub age: Duration,
    /// True if the target rejected the request without running it.
    pub rejected: bool,
    /// The limit that the target names, in requests per second; none if it names none.
    pub limit: Option<f64>,
}

/// The newest observation of a target.
#[derive(Clone, Debug)]
struct Seen {
    newest: Observation,
    /// When it was made.
    at: Duration,
    /// The VM that sent it; none for this VM's own.
    sender: Option<VmId>,
    /// Position of the last change that is worth passing on.
    position: u64,
    /// The state at that position, and when it was observed.
    passed_on: (u32, u32, Duration),
}

/// What a VM has been sent.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    position: u64,
    used_at: Duration,
}

/// The newest observations of all targets, to be passed on.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    seen: HashMap<TargetId, Seen>,
    /// Position of the last change.
    position: u64,
    cursors: HashMap<VmId, Cursor>,
}

impl Observations {
    /// Takes an observation made at `at`, sent by `sender` or made by this VM. An older one than the
    /// newest of its target is ignored.
    pub(super) fn record(&mut self, at: Duration, newest: Observation, sender: Option<&VmId>) {
        let last = self.seen.get(&newest.target);
        if last.is_some_and(|seen| seen.at > at) {
            return;
        }
        let kept = last.filter(|seen| !is_change(seen, at, &newest));
        let (position, passed_on) = match kept {
            Some(seen) => (seen.position, seen.passed_on),
            None => (self.position + 1, (newest.requests, newest.pace, at)),
        };
        self.position = self.position.max(position);
        let target = newest.target.clone();
        let seen = Seen { newest, at, sender: sender.cloned(), position, passed_on };
        self.seen.insert(target, seen);
    }

    /// Marks the newest own observation of a target as that of a rejected request.
    pub(super) fn record_rejection(&mut self, target: &TargetId) {
        let Some(seen) = self.seen.get_mut(target).filter(|seen| seen.sender.is_none()) else {
            return;
        };
        self.position += 1;
        seen.newest.rejected = true;
        seen.position = self.position;
    }

    /// Forgets a target.
    pub(super) fn forget(&mut self, target: &TargetId) {
        self.seen.remove(target);
    }

    /// The observations that `receiver` has not been sent and has not sent itself, newest first.
    /// Those beyond the bound of a message are left out for good.
    pub(super) fn updates_for(&mut self, now: Duration, receiver: &VmId) -> Vec<Observation> {
        self.cursors.retain(|_, cursor| now.saturating_sub(cursor.used_at) < CURSOR_TTL);
        let cursor = Cursor { position: self.position, used_at: now };
        let sent = self.cursors.insert(receiver.clone(), cursor).map_or(0, |last| last.position);
        let is_new = |seen: &&Seen| {
            seen.position > sent
                && seen.sender.as_ref() != Some(receiver)
                && now.saturating_sub(seen.at) < OBSERVATION_AGE_MAX
        };
        let mut updates: Vec<&Seen> = self.seen.values().filter(is_new).collect();
        updates.sort_unstable_by_key(|seen| Reverse((seen.at, seen.position)));
        updates.truncate(OBSERVATIONS_MAX);
        let with_age =
            |seen: &Seen| Observation { age: now.saturating_sub(seen.at), ..seen.newest.clone() };
        updates.into_iter().map(with_age).collect()
    }
}

/// True if an observation made at `at` says something that is worth passing on.
fn is_change(seen: &Seen, at: Duration, newest: &Observation) -> bool {
    let (requests, pace, passed_on_at) = seen.passed_on;
    newest.requests != requests
        || newest.pace.abs_diff(pace) >= PACE_CHANGE
        || newest.rejected != seen.newest.rejected
        || newest.limit != seen.newest.limit
        || newest.born_ms != seen.newest.born_ms
        || at.saturating_sub(passed_on_at) >= REFRESH_INTERVAL
}
