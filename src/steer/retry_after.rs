//! How long a caller that is refused for its customer's rate is told to wait.

use std::time::Duration;

/// Shortest wait: a caller that returns sooner finds the same bucket and only costs a connection.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// Longest wait as a fraction of the caller's time left. After it there is time for one more wait of
/// that length and for the work.
const WAIT_RATIO_MAX: f64 = 1.0 / 3.0;
/// Random part of a wait, so that callers that were refused together do not return together.
const SPREAD_RATIO: f64 = 0.4;

/// The wait of a caller for whom there will be room after `room`, and who has `time_left`. `sample`
/// is a random number from 0 to 1. The share of the time left goes before the shortest wait.
pub fn rate_retry_after(room: Duration, time_left: Duration, sample: f64) -> Duration {
    let longest = time_left.as_secs_f64() * WAIT_RATIO_MAX;
    let wait = (room.as_secs_f64() * (1.0 + SPREAD_RATIO * sample)).max(WAIT_MIN.as_secs_f64());
    // Callers whose waits are cut would otherwise return together.
    let cut = longest * (1.0 - SPREAD_RATIO * (1.0 - sample));
    let cut = cut.max(WAIT_MIN.as_secs_f64().min(longest));
    Duration::from_secs_f64(wait.min(cut))
}
