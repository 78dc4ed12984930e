//! What one entry VM knows of a target's load: its own requests, the target's reports, how long
//! runs take, and how many requests it may have there at once.

use std::time::Duration;

/// Time after which a target's report on its load counts for nothing.
const REPORT_LIFE: Duration = Duration::from_millis(2_000);
/// How fast the estimate of a target's running time follows what is seen.
const PACE_GAIN: f64 = 0.2;
/// Time after which a pace that nothing has confirmed counts for nothing, so that a target which
/// was stuck is tried again.
const PACE_LIFE: Duration = Duration::from_millis(2_500);
/// Largest window, in requests for each slot.
const WINDOW_MAX: f64 = 2.0;
/// What an answer adds to the window, shared among the requests in it.
const WINDOW_GROWTH: f64 = 0.5;
/// Part of the requests now running to which a timeout shrinks the window.
const WINDOW_SHRINK: f64 = 0.7;
/// Least time between two shrinks: the timeouts of one queue come together.
const SHRINK_PAUSE: Duration = Duration::from_millis(300);

/// A target's load, as one entry VM sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetLoad {
    /// Requests that the target runs at once; at least 1.
    slots: f64,
    /// Requests of this entry VM that are there.
    running: u32,
    /// Requests of others there, by its last report.
    others: f64,
    /// When it made the report.
    reported: Duration,
    /// Time for which a request runs there, smoothed, in seconds; 0 while unknown.
    pace: f64,
    /// When the last request taught the pace.
    paced: Duration,
    /// Requests that this entry VM may have there at once; at least 1.
    window: f64,
    /// When the window last shrank.
    shrunk: Duration,
}

impl TargetLoad {
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            running: 0,
            others: 0.0,
            reported: Duration::ZERO,
            pace: 0.0,
            paced: Duration::ZERO,
            window: slots * WINDOW_MAX,
            shrunk: Duration::ZERO,
        }
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
    }

    /// Requests that are there now, as far as this entry VM can know.
    pub(crate) fn requests(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let trust = (1.0 - age / REPORT_LIFE.as_secs_f64()).max(0.0);
        f64::from(self.running) + self.others * trust
    }

    /// True if a slot is free, as far as this entry VM can know.
    pub(crate) fn has_free_slot(&self, now: Duration) -> bool {
        self.requests(now) < self.slots
    }

    /// True if this entry VM may send one more request.
    pub(crate) fn is_open(&self) -> bool {
        f64::from(self.running) < self.window
    }

    /// Requests that one more would wait for, for each slot.
    pub(crate) fn queue(&self, now: Duration) -> f64 {
        ((self.requests(now) + 1.0 - self.slots) / self.slots).max(0.0)
    }

    /// Time until the answer to one more request, in seconds; none if nothing recent tells.
    pub(crate) fn expected(&self, now: Duration) -> Option<f64> {
        let known = now.saturating_sub(self.paced) < PACE_LIFE;
        known.then(|| self.pace * (1.0 + self.queue(now)))
    }

    /// Requests for each slot, `more` included.
    pub(crate) fn fill(&self, now: Duration, more: f64) -> f64 {
        (self.requests(now) + more) / self.slots
    }

    pub(crate) fn sent(&mut self) {
        self.running += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Learns how many requests are there, with those of this entry VM.
    pub(crate) fn reported(&mut self, now: Duration, requests: u32) {
        self.others = f64::from(requests.saturating_sub(self.running));
        self.reported = now;
    }

    /// Learns that a request with `queue` before it took this long.
    pub(crate) fn took(&mut self, now: Duration, queue: f64, took: Duration) {
        let run = took.as_secs_f64() / (1.0 + queue);
        self.pace += if self.pace == 0.0 { run } else { (run - self.pace) * PACE_GAIN };
        self.paced = now;
        let most = self.slots * WINDOW_MAX;
        self.window = (self.window + WINDOW_GROWTH / self.window).min(most);
    }

    /// Learns that a request with `queue` before it got no answer within `waited`: its run would
    /// have taken longer.
    pub(crate) fn cut(&mut self, now: Duration, queue: f64, waited: Duration) {
        let least = waited.as_secs_f64() / (1.0 + queue);
        if least > self.pace {
            self.pace += (least - self.pace) * PACE_GAIN;
            self.paced = now;
        }
    }

    /// Learns that a request was cut by its timeout, which counts among those running until
    /// [`Self::ended`].
    pub(crate) fn timed_out(&mut self, now: Duration) {
        if now >= self.shrunk + SHRINK_PAUSE {
            let running = f64::from(self.running.max(1));
            self.window = (self.window.min(running) * WINDOW_SHRINK).max(1.0);
            self.shrunk = now;
        }
    }
}
