//! Requests that kill each target that runs them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::model::CustomerId;

/// Deaths after which a request is no longer run.
const DEATHS: usize = 2;
/// Time for which deaths are remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Most fingerprints remembered; the oldest go first.
const FINGERPRINTS_MAX: usize = 10_000;

/// A request that is no longer run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// When it may run again.
    pub until: Instant,
}

#[derive(Clone, Debug)]
struct Deaths {
    /// The deaths by event, so that news that come twice count once.
    events: BTreeSet<String>,
    last: Instant,
}

/// The deaths seen, by fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    deaths: BTreeMap<String, Deaths>,
}

impl CrashTracker {
    /// The fingerprint of a request: the same for the same customer, method, path and body.
    pub fn fingerprint(customer: &CustomerId, method: &str, path: &str, body: &[u8]) -> String {
        let mut hash = Sha256::new();
        for part in [customer.as_str().as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hex::encode(&hash.finalize()[..16])
    }

    /// Learns that a target died while it ran the request; `event` names the death.
    pub fn record_crash(&mut self, now: Instant, fingerprint: &str, event: &str) {
        self.deaths.retain(|_, d| now < d.last + MEMORY);
        if self.deaths.len() >= FINGERPRINTS_MAX {
            self.forget_oldest();
        }
        let entry = self
            .deaths
            .entry(fingerprint.to_owned())
            .or_insert_with(|| Deaths { events: BTreeSet::new(), last: now });
        entry.events.insert(event.to_owned());
        entry.last = now;
    }

    /// Deaths seen after `since`, as fingerprints and events.
    pub fn recent_crashes(&self, since: Instant) -> Vec<(String, String)> {
        let recent = self.deaths.iter().filter(|(_, d)| d.last > since);
        recent.flat_map(|(k, d)| d.events.iter().map(|e| (k.clone(), e.clone()))).collect()
    }

    /// The quarantine of a request, if it is in one.
    pub fn quarantine(&self, now: Instant, fingerprint: &str) -> Option<Quarantine> {
        let deaths = self.deaths.get(fingerprint)?;
        let until = deaths.last + MEMORY;
        (deaths.events.len() >= DEATHS && now < until).then_some(Quarantine { until })
    }

    fn forget_oldest(&mut self) {
        let oldest = self.deaths.iter().min_by_key(|(_, d)| d.last).map(|(k, _)| k.clone());
        if let Some(key) = oldest {
            self.deaths.remove(&key);
        }
    }
}
