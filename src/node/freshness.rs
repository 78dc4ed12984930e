//! When this VM's copy of the store's configuration was last complete, and which refusals may rest on
//! it. All moments are times since the machine's start ([`crate::clock::now`]).

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::model::{NotRecent, check_recent};

use super::refusal::{Reason, Refusal};

/// Time after which a caller may try again while there is no recent copy. A VM that reaches the store or
/// another VM has one by then.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// When this VM's copy of the store's configuration was last complete.
#[derive(Debug)]
pub(crate) struct Freshness {
    start: Duration,
    /// Age from which on the copy refuses no request for good.
    final_age: Duration,
    complete_at: Mutex<Option<Duration>>,
    /// True if the last refusal that rests on the configuration was not for good.
    withheld: AtomicBool,
}

impl Freshness {
    pub(crate) fn new(now: Duration, final_age: Duration) -> Self {
        let (complete_at, withheld) = (Mutex::default(), AtomicBool::default());
        Self { start: now, final_age, complete_at, withheld }
    }

    /// Records that the copy was complete at `at`.
    pub(crate) fn confirm(&self, at: Duration) {
        let mut latest = self.complete_at.lock().expect("freshness lock");
        *latest = Some(latest.map_or(at, |last| last.max(at)));
    }

    /// When the copy was last complete, if it ever was.
    pub(crate) fn complete_at(&self) -> Option<Duration> {
        *self.complete_at.lock().expect("freshness lock")
    }

    /// Time since the copy was complete; since the start if it never was.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.complete_at().unwrap_or(self.start))
    }

    /// Checks whether a copy that was complete at `complete_at` may refuse a request for good.
    ///
    /// # Errors
    /// Fails if it is too old.
    pub(crate) fn check(
        &self,
        complete_at: Option<Duration>,
        now: Duration,
    ) -> Result<(), NotRecent> {
        check_recent(complete_at, now, self.final_age)
    }

    /// The refusal that a caller gets for `refusal`, which was decided by a copy that was complete at
    /// `complete_at`: another one if it would be for good and the copy is too old for that.
    pub(crate) fn settle(
        &self,
        complete_at: Option<Duration>,
        now: Duration,
        refusal: Refusal,
    ) -> Refusal {
        if !refusal.reason.rests_on_configuration() {
            return refusal;
        }
        let checked = self.check(complete_at, now);
        self.log_change(checked);
        match checked {
            Ok(()) => refusal,
            Err(cause) => {
                let detail = format!("{cause}; by it, {}", refusal.detail);
                Refusal::not_run(Reason::ConfigOld, detail).with_retry_after(RETRY_AFTER)
            }
        }
    }

    /// Logs when refusals begin to be withheld and when they are given again.
    fn log_change(&self, checked: Result<(), NotRecent>) {
        let before = self.withheld.swap(checked.is_err(), Ordering::Relaxed);
        match checked {
            Err(cause) if !before => {
                log::warn!("config: {cause}; no request is refused for good by it.");
            }
            Ok(()) if before => log::info!("config: The configuration is recent again."),
            _ => {}
        }
    }
}
