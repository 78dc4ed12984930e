//! How the balancer follows the targets' records in the store.

use std::time::Duration;

use super::balancer::Balancer;
use super::known::{COLD_MARGIN, KnownTarget, LeftTarget, TargetTrust};
use super::record::TargetRecord;
use super::rendezvous::name_hash;
use crate::model::{RegionId, TargetId};

/// Time for which a target is kept after its record has disappeared, if the store may have lost the
/// record while the target still runs.
const MISSING_RECORD_TTL: Duration = Duration::from_millis(2_300);
/// Time for which a target without a record is remembered.
const LEFT_TTL: Duration = Duration::from_secs(600);

impl Balancer {
    /// Adds or updates a target from its record.
    pub fn put(&mut self, now: Duration, id: TargetId, record: TargetRecord) {
        let cold_until = match record.cold_ms {
            0 => Duration::ZERO,
            ms => now + Duration::from_millis(ms) + COLD_MARGIN,
        };
        // A zone that the settings do not list counts as a region of its own.
        let region = self.regions.get(&record.zone).cloned();
        let region = region.unwrap_or_else(|| RegionId::new(record.zone.as_str()));
        match self.targets.get_mut(&id) {
            Some(known) => known.update(record, cold_until),
            None => {
                let hash = name_hash(id.as_str().as_bytes());
                let left = self.left.remove(&id).unwrap_or_default();
                let left = left.for_incarnation(record.born_ms);
                self.targets.insert(id, KnownTarget::new(record, hash, region, cold_until, left));
            }
        }
    }

    /// Adds or updates a target from its record in a restored store. One that was removed before is probed
    /// before it gets requests: its record may be older than its end.
    pub fn put_restored(&mut self, now: Duration, id: TargetId, record: TargetRecord) {
        let is_removed = self.left.get(&id).is_some_and(|left| left.is_of(record.born_ms));
        self.put(now, id.clone(), record);
        if let Some(known) = self.targets.get_mut(&id).filter(|_| is_removed) {
            known.trust = TargetTrust::Unproven { due: now, failures: 0 };
        }
    }

    /// Removes a target whose record the store no longer has. If not `certain`, the store may have
    /// lost records of running targets, and the target is kept for a while.
    pub fn remove(&mut self, now: Duration, id: &TargetId, certain: bool) {
        if certain {
            self.forget(now, id);
        } else if let Some(known) = self.targets.get_mut(id) {
            log::info!("targets: The record of {id} is missing; the target is kept for a while.");
            known.expires = Some(now + MISSING_RECORD_TTL);
        }
    }

    /// Removes targets whose records went missing and have not come back in time.
    pub fn expire(&mut self, now: Duration) {
        let expired = |k: &KnownTarget| k.expires.is_some_and(|until| until <= now);
        let ids = self.targets.iter().filter(|(_, k)| expired(k)).map(|(id, _)| id.clone());
        for id in ids.collect::<Vec<_>>() {
            self.forget(now, &id);
        }
        self.left.retain(|_, left| now < left.removed + LEFT_TTL);
    }

    fn forget(&mut self, now: Duration, id: &TargetId) {
        self.observations.forget(id);
        let Some(known) = self.targets.remove(id) else { return };
        self.left.insert(id.clone(), LeftTarget::new(&known, now));
    }
}
