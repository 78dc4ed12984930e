//! How late this process's timers fire: a process that gets too little processor time, or was paused,
//! does everything late.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock;

use super::Front;

/// Interval of the readings.
const TICK: Duration = Duration::from_millis(100);
/// Time for which a reading counts.
const WINDOW: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Duration,
    lag: Duration,
}

/// The readings of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct LagMeter(Mutex<VecDeque<Reading>>);

impl LagMeter {
    /// Records that a timer fired at `now` that was due at `due`.
    pub(crate) fn record(&self, due: Duration, now: Duration) {
        let mut readings = self.0.lock().expect("lag lock");
        readings.push_back(Reading { at: now, lag: now.saturating_sub(due) });
        while readings.front().is_some_and(|r| r.at + WINDOW < now) {
            readings.pop_front();
        }
    }

    /// The greatest lag in the last seconds before `now`.
    pub(crate) fn max(&self, now: Duration) -> Duration {
        let readings = self.0.lock().expect("lag lock");
        let recent = readings.iter().filter(|r| r.at + WINDOW >= now);
        recent.map(|r| r.lag).max().unwrap_or_default()
    }
}

/// Takes readings until the process exits.
pub(crate) async fn run(front: Arc<Front>) {
    loop {
        let due = clock::now() + TICK;
        tokio::time::sleep(TICK).await;
        front.lag.record(due, clock::now());
    }
}
