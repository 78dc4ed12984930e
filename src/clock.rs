//! The time that leases and ages are measured by.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine started, the time that it was suspended included: a lease must run out
/// also while its holder stands still.
///
/// # Panics
/// Panics if the kernel has no such clock; every supported one has.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has CLOCK_BOOTTIME");
    Duration::from(time)
}
