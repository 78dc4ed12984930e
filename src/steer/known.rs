//! A target with a record in the store, and what this VM knows of it.

use std::net::SocketAddr;
use std::time::Duration;

use super::backoff::FailureBackoff;
use super::load::TargetLoad;
use super::notice::NoticeState;
use super::observations::Observation;
use super::pick::Pick;
use super::record::{TargetReadiness, TargetRecord};
use super::rendezvous::NameHash;
use super::target_limit::TargetLimit;
use crate::model::{RegionId, ServiceId, TargetId};

/// Added to a target's reported remaining warm-up time.
pub(super) const COLD_MARGIN: Duration = Duration::from_millis(400);
/// Time from a failure to the first probe; doubles with each failed probe.
const PROBE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time between two probes of a target.
const PROBE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Whether a target may take requests, judged by its failures and probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetTrust {
    /// It takes requests.
    Trusted,
    /// It has failed, or its zone was evacuated: it takes requests again after a successful probe.
    Unproven {
        /// When the next probe is due.
        due: Duration,
        /// Consecutive failed probes.
        failures: u32,
    },
    /// A probe is in progress.
    Probing {
        /// Consecutive failed probes before this one.
        failures: u32,
    },
    /// Another process listens at its address: it takes no requests until its record changes.
    Replaced,
}

/// A target to be probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// Its id.
    pub id: TargetId,
    /// Its address for requests.
    pub addr: SocketAddr,
    /// Its service.
    pub service: ServiceId,
    /// When its process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// A target with a record in the store, and what this VM knows of it.
#[derive(Clone, Debug)]
pub(super) struct KnownTarget {
    pub(super) record: TargetRecord,
    /// Hash of its id.
    pub(super) hash: NameHash,
    pub(super) region: RegionId,
    pub(super) trust: TargetTrust,
    /// True from a crash until a probe succeeds.
    pub(super) crashed: bool,
    /// Crashes under this record after which it has responded again. The record tells a restart
    /// late, or not at all while the store is down.
    pub(super) restarts: u32,
    /// When its warm-up is over.
    pub(super) cold_until: Duration,
    /// When the next request may go to it while it is cold.
    pub(super) next_cold_send: Duration,
    pub(super) load: TargetLoad,
    pub(super) backoff: FailureBackoff,
    pub(super) notices: NoticeState,
    /// The limit that this incarnation names.
    pub(super) limit: TargetLimit,
    /// When to remove it, if its record has disappeared and may have been lost by the store.
    pub(super) expires: Option<Duration>,
}

/// What is remembered of a removed target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeftTarget {
    pub(super) notices: NoticeState,
    limit: TargetLimit,
    /// When its process started, in milliseconds since the Unix epoch; 0 if its record was never seen.
    born_ms: u64,
    /// When it was removed.
    pub(super) removed: Duration,
}

impl LeftTarget {
    pub(super) fn new(known: &KnownTarget, removed: Duration) -> Self {
        let (notices, limit, born_ms) = (known.notices, known.limit, known.record.born_ms);
        Self { notices, limit, born_ms, removed }
    }

    /// True if it is the incarnation that started at `born_ms`.
    pub(super) fn is_of(&self, born_ms: u64) -> bool {
        self.born_ms == born_ms
    }

    /// What still holds for the incarnation that started at `born_ms`.
    pub(super) fn for_incarnation(self, born_ms: u64) -> Self {
        let limit = if self.born_ms == born_ms { self.limit } else { TargetLimit::default() };
        Self { notices: self.notices.for_incarnation(born_ms), limit, ..self }
    }
}

impl KnownTarget {
    pub(super) fn new(
        record: TargetRecord,
        hash: NameHash,
        region: RegionId,
        cold_until: Duration,
        left: LeftTarget,
    ) -> Self {
        Self {
            load: TargetLoad::new(record.slots),
            record,
            hash,
            region,
            trust: TargetTrust::Trusted,
            crashed: false,
            restarts: 0,
            cold_until,
            next_cold_send: Duration::ZERO,
            backoff: FailureBackoff::default(),
            notices: left.notices,
            limit: left.limit,
            expires: None,
        }
    }

    /// Takes a new version of the record; a new incarnation starts clean.
    pub(super) fn update(&mut self, mut record: TargetRecord, cold_until: Duration) {
        let restarted = self.record.born_ms != record.born_ms || self.record.addr != record.addr;
        if restarted {
            self.trust = TargetTrust::Trusted;
            self.crashed = false;
            self.restarts = 0;
            self.backoff = FailureBackoff::default();
            self.notices = self.notices.for_incarnation(record.born_ms);
            self.limit = TargetLimit::default();
            self.load.forget_reports();
        }
        if !restarted && self.record.state == TargetReadiness::Draining {
            // A restored store may have an older record.
            record.state = TargetReadiness::Draining;
        }
        self.cold_until = if restarted { cold_until } else { cold_until.max(self.cold_until) };
        self.expires = None;
        self.load.set_slots(record.slots);
        self.record = record;
    }

    /// The observation that a report of `requests` at the target now is.
    pub(super) fn observation(&self, now: Duration, id: &TargetId, requests: u32) -> Observation {
        Observation {
            target: id.clone(),
            born_ms: self.record.born_ms,
            requests,
            own: self.load.outstanding(),
            pace: self.load.pace_percent(now),
            age: Duration::ZERO,
            rejected: false,
            limit: self.limit.rate(),
        }
    }

    /// True if the target has not been seen to restart since it was picked.
    pub(super) fn is_same_run(&self, pick: &Pick) -> bool {
        self.record.born_ms == pick.born_ms && self.restarts == pick.restarts
    }

    /// Takes a failure: the target is probed before it gets requests again.
    pub(super) fn mark_failed(&mut self, now: Duration) {
        if self.trust == TargetTrust::Trusted {
            self.trust = TargetTrust::Unproven { due: now + PROBE_BACKOFF, failures: 0 };
        }
    }

    /// Takes the result of a probe: the time for which the target stays cold, or `None` if the probe
    /// failed.
    pub(super) fn record_probe(&mut self, now: Duration, cold: Option<Duration>) {
        let TargetTrust::Probing { failures } = self.trust else { return };
        match cold {
            Some(cold) => self.mark_alive(now, cold),
            None => {
                let backoff = PROBE_BACKOFF * 2u32.saturating_pow(failures + 1);
                let due = now + backoff.min(PROBE_BACKOFF_MAX);
                self.trust = TargetTrust::Unproven { due, failures: failures + 1 };
            }
        }
    }

    fn mark_alive(&mut self, now: Duration, cold: Duration) {
        self.trust = TargetTrust::Trusted;
        if !cold.is_zero() {
            self.cold_until = now + cold + COLD_MARGIN;
        }
        if self.crashed {
            self.crashed = false;
            self.restarts += 1;
            self.limit = TargetLimit::default();
        }
    }
}
