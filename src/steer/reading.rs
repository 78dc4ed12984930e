//! Decides whether an entry VM reads a feed from the store itself.
//!
//! Each read costs the store a call, so only the leaders of regions read while all is well. A VM that
//! starts reads only the records of the other VMs, and gets the rest from its upstream. When the whole
//! fleet starts for the first time, it gets the records from a seed, too, since the reads of hundreds
//! of VMs at once would exceed what the store can serve. A VM whose upstream fails reads the store in
//! a bounded time, however many leaders are gone.

use std::time::Duration;

use super::replica::Feed;

/// Age of the routing table above which a VM reads the store.
const TABLE_AGE_MAX: Duration = Duration::from_millis(1_700);
/// Time after the start for which a VM leaves it to seeds to name the other VMs.
const SEED_PERIOD: Duration = Duration::from_millis(700);
/// Time after the start for which a VM without a routing table leaves it to its upstream to send one.
const FIRST_SYNC_PERIOD: Duration = Duration::from_millis(2_500);

/// The VM from which an entry VM syncs the feeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// No VM is known to have a record.
    Unknown,
    /// The VM itself leads its region.
    Own,
    /// Another VM.
    Other,
}

/// What an entry VM knows when it decides whether to read the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadContext {
    /// Where it syncs from.
    pub upstream: Upstream,
    /// True if the whole fleet starts for the first time and this VM has seeds to ask for the records
    /// of the others.
    pub asks_seeds: bool,
    /// Age of its routing table; `None` without one.
    pub table_age: Option<Duration>,
    /// Time since its start.
    pub uptime: Duration,
}

impl ReadContext {
    /// True if the VM must read `feed` from the store.
    pub fn must_read(&self, feed: Feed) -> bool {
        match (self.upstream, self.table_age) {
            (Upstream::Own, _) => true,
            (_, Some(age)) => age > TABLE_AGE_MAX,
            (_, None) if self.uptime > FIRST_SYNC_PERIOD => true,
            (Upstream::Unknown, None) => {
                feed == Feed::Vms && (!self.asks_seeds || self.uptime > SEED_PERIOD)
            }
            (Upstream::Other, None) => false,
        }
    }

    /// True while the VM waits for its first routing table, so that an upstream without one is no
    /// sign of a failure.
    pub fn awaits_first_table(&self) -> bool {
        self.table_age.is_none() && self.uptime <= FIRST_SYNC_PERIOD
    }
}
