//! Tracking of requests that crash the targets that run them.
//!
//! A request whose fingerprint has crashed targets repeatedly is quarantined, so that retries by
//! the caller do not crash more targets. Entry VMs share the crashes that they observe.
//!
//! Load pattern: a target that runs many equal requests crashes for a reason of its own. That is one
//! crash, whoever reports it, and the next of these requests that runs to its end clears them all.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::model::CustomerId;

/// Crashes after which a request is quarantined.
const CRASH_LIMIT: usize = 2;
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Crashes of one target closer together than this are one crash, seen by several requests.
const SAME_CRASH_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a change is reported to other entry VMs.
const REPORT_PERIOD: Duration = Duration::from_secs(8);
/// Most crashes in one report.
const REPORTS_MAX: usize = 256;
/// Most fingerprints kept. When it is reached, the one whose last crash is oldest is dropped.
const FINGERPRINTS_MAX: usize = 10_000;
/// Most crashes kept of one fingerprint.
const CRASHES_MAX: usize = 32;

/// A request that is refused because it has crashed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// When it may run again.
    pub until: Instant,
}

/// A crash of a target while it ran a request, as entry VMs report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport<'a> {
    /// Fingerprint of the request.
    pub fingerprint: &'a str,
    /// The target.
    pub target: &'a str,
    /// Identifies the crash; equal reports count once.
    pub event: &'a str,
    /// Time since the crash.
    pub age: Duration,
    /// True if a target has run the request to its end since, so that it caused no crash.
    pub cleared: bool,
}

#[derive(Clone, Debug)]
struct Crash {
    target: String,
    at: Instant,
    /// False once the request is known not to have caused it.
    counts: bool,
    /// When this VM learnt of it, or that it doesn't count.
    changed: Instant,
}

/// The crashes while requests with one fingerprint ran, by event.
#[derive(Clone, Debug, Default)]
struct Crashes(BTreeMap<String, Crash>);

impl Crashes {
    fn last_crash(&self) -> Option<Instant> {
        self.0.values().map(|c| c.at).max()
    }

    /// When the quarantine ends, if one is in force.
    fn quarantined_until(&self, now: Instant) -> Option<Instant> {
        let counted = || self.0.values().filter(|c| c.counts && now < c.at + CRASH_TTL);
        let last = counted().map(|c| c.at).max()?;
        (counted().count() >= CRASH_LIMIT).then(|| last + CRASH_TTL)
    }

    fn record(&mut self, now: Instant, report: &CrashReport<'_>) {
        if let Some(known) = self.0.get_mut(report.event) {
            if report.cleared && known.counts {
                (known.counts, known.changed) = (false, now);
            }
            return;
        }
        if self.0.len() >= CRASHES_MAX {
            return;
        }
        let at = now.checked_sub(report.age).unwrap_or(now);
        let same = |c: &Crash| {
            let apart = c.at.max(at).duration_since(c.at.min(at));
            c.target == report.target && apart < SAME_CRASH_PERIOD
        };
        let counts = !report.cleared && !self.0.values().any(same);
        let target = report.target.to_owned();
        self.0.insert(report.event.to_owned(), Crash { target, at, counts, changed: now });
    }

    fn clear(&mut self, now: Instant) {
        for crash in self.0.values_mut().filter(|c| c.counts) {
            (crash.counts, crash.changed) = (false, now);
        }
    }
}

/// The crashes observed, by fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: BTreeMap<String, Crashes>,
}

impl CrashTracker {
    /// The fingerprint of a request: a hash of its customer, method, path and body.
    pub fn fingerprint(customer: &CustomerId, method: &str, path: &str, body: &[u8]) -> String {
        let mut hash = Sha256::new();
        for part in [customer.as_str().as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hex::encode(&hash.finalize()[..16])
    }

    /// Records that a target crashed while it ran a request.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport<'_>) {
        self.crashes.retain(|_, c| c.last_crash().is_some_and(|at| now < at + CRASH_TTL));
        if report.age >= CRASH_TTL {
            return;
        }
        if self.crashes.len() >= FINGERPRINTS_MAX {
            self.forget_oldest();
        }
        self.crashes.entry(report.fingerprint.to_owned()).or_default().record(now, report);
    }

    /// Records that a target has run a request to its end: a request that crashes targets would have
    /// crashed this one, so earlier crashes no longer count.
    pub fn record_run(&mut self, now: Instant, fingerprint: &str) {
        if let Some(crashes) = self.crashes.get_mut(fingerprint) {
            crashes.clear(now);
        }
    }

    /// What other entry VMs should know: recent changes, and all crashes of quarantined requests.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport<'_>> {
        let mut reports = Vec::new();
        for (fingerprint, crashes) in &self.crashes {
            let quarantined = crashes.quarantined_until(now).is_some();
            for (event, crash) in &crashes.0 {
                if quarantined || now.duration_since(crash.changed) < REPORT_PERIOD {
                    let age = now.duration_since(crash.at);
                    let (target, cleared) = (crash.target.as_str(), !crash.counts);
                    reports.push(CrashReport { fingerprint, target, event, age, cleared });
                }
            }
        }
        reports.sort_by_key(|r| r.age);
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// The quarantine of a request, if it is in force.
    pub fn quarantine(&self, now: Instant, fingerprint: &str) -> Option<Quarantine> {
        let until = self.crashes.get(fingerprint)?.quarantined_until(now)?;
        Some(Quarantine { until })
    }

    fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, c)| c.last_crash());
        if let Some(key) = oldest.map(|(k, _)| k.clone()) {
            self.crashes.remove(&key);
        }
    }
}
