//! Tracking of requests that crash the targets that run them.
//!
//! A request whose fingerprint has crashed targets repeatedly is quarantined, so that retries by
//! the caller do not crash more targets. Entry VMs share the crashes that they observe.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::model::CustomerId;

/// Crashes after which a request is quarantined.
const CRASH_LIMIT: usize = 2;
/// Time for which the crashes of a request count after the last one.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Most fingerprints kept. When it is reached, the one whose last crash is oldest is dropped.
const FINGERPRINTS_MAX: usize = 10_000;

/// A request that is refused because it has crashed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// When it may run again.
    pub until: Instant,
}

#[derive(Clone, Debug)]
struct Crashes {
    /// Ids of the crashes, so that one reported by several VMs counts once.
    events: BTreeSet<String>,
    last_crash: Instant,
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

    /// Records that a target crashed while it ran the request. `event` identifies the crash.
    pub fn record_crash(&mut self, now: Instant, fingerprint: &str, event: &str) {
        self.crashes.retain(|_, c| now < c.last_crash + CRASH_TTL);
        if self.crashes.len() >= FINGERPRINTS_MAX {
            self.forget_oldest();
        }
        let entry = self
            .crashes
            .entry(fingerprint.to_owned())
            .or_insert_with(|| Crashes { events: BTreeSet::new(), last_crash: now });
        entry.events.insert(event.to_owned());
        entry.last_crash = now;
    }

    /// Fingerprints and events of the requests whose last crash was after `since`.
    pub fn recent_crashes(&self, since: Instant) -> Vec<(String, String)> {
        let recent = self.crashes.iter().filter(|(_, c)| c.last_crash > since);
        recent.flat_map(|(k, c)| c.events.iter().map(|e| (k.clone(), e.clone()))).collect()
    }

    /// The quarantine of a request, if it is in force.
    pub fn quarantine(&self, now: Instant, fingerprint: &str) -> Option<Quarantine> {
        let crashes = self.crashes.get(fingerprint)?;
        let until = crashes.last_crash + CRASH_TTL;
        (crashes.events.len() >= CRASH_LIMIT && now < until).then_some(Quarantine { until })
    }

    fn forget_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, c)| c.last_crash).map(|(k, _)| k.clone());
        if let Some(key) = oldest {
            self.crashes.remove(&key);
        }
    }
}
