//! Whether a copy of the configuration is recent enough to refuse a request for good by it.

use std::time::Duration;

/// Why a copy of the configuration is not recent enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRecent {
    /// It has never been known to be complete.
    #[error("the configuration is not known to be complete")]
    Incomplete,
    /// It was known to be complete, but so long ago that it may lack what has been added since.
    #[error("the configuration was last known to be complete {} ms ago", age.as_millis())]
    TooOld {
        /// Time since it was known to be complete.
        age: Duration,
    },
}

/// Checks at `now` whether a copy that was known to be complete at `complete_at`, and perhaps lacks what
/// has been added since, is younger than `age_max`. Both moments are times since the machine's start
/// ([`crate::clock::now`]), so that an age also counts the time for which the process or the machine
/// was suspended.
///
/// # Errors
/// Fails if the copy has never been complete, or is too old.
pub fn check_recent(
    complete_at: Option<Duration>,
    now: Duration,
    age_max: Duration,
) -> Result<(), NotRecent> {
    let complete_at = complete_at.ok_or(NotRecent::Incomplete)?;
    let age = now.saturating_sub(complete_at);
    match age < age_max {
        true => Ok(()),
        false => Err(NotRecent::TooOld { age }),
    }
}
