//! The clock by which leases and ages are measured.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine booted, including suspend, so that a lease expires even while its holder
/// is suspended.
///
/// # Panics
/// Panics if the kernel lacks `CLOCK_BOOTTIME`; every supported one has it.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has CLOCK_BOOTTIME");
    Duration::from(time)
}
