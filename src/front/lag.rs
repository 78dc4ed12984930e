//! How late this process's timers fire: a process that gets too little processor time, or was paused,
//! does everything late.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock;
use crate::steer::{LoopTicks, SignalWindow};

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
#[derive(Debug)]
pub(crate) struct LagMeter {
    readings: Mutex<VecDeque<Reading>>,
    ticks: Mutex<LoopTicks>,
}

impl LagMeter {
    /// A meter of an event loop that runs since `start`.
    pub(crate) fn new(start: Duration) -> Self {
        Self { readings: Mutex::default(), ticks: Mutex::new(LoopTicks::new(start)) }
    }

    /// Records that a timer fired at `now` that was due at `due`.
    pub(crate) fn record(&self, due: Duration, now: Duration) {
        self.ticks.lock().expect("ticks lock").record(now);
        let mut readings = self.readings.lock().expect("lag lock");
        readings.push_back(Reading { at: now, lag: now.saturating_sub(due) });
        while readings.front().is_some_and(|r| r.at + WINDOW < now) {
            readings.pop_front();
        }
    }

    /// When a signal may have been sent that is handled at `now`.
    pub(crate) fn signal_window(&self, now: Duration) -> SignalWindow {
        self.ticks.lock().expect("ticks lock").signal_window(now)
    }

    /// The greatest lag in the last seconds before `now`.
    pub(crate) fn max(&self, now: Duration) -> Duration {
        let readings = self.readings.lock().expect("lag lock");
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
