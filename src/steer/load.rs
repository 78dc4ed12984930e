//! One entry VM's estimate of a target's load, and its limit of concurrent requests there.
//!
//! The estimate combines this VM's own requests, those of the other VMs by what the target reported
//! to any VM of the zone, a moving average of how long a request runs, and the present pace of the
//! target's machine. The limit is a window that shrinks with timeouts and grows with responses, as
//! in TCP congestion control.

use std::time::Duration;

use super::others::OthersLoad;
use super::pace::Pace;

/// Run time assumed before the first sample when observations are weighed by their age, in seconds.
const RUN_TIME_ASSUMED: f64 = 0.5;
/// Most requests per slot that a report is believed to count, so that an invalid one does not keep
/// requests away for long. Targets queue up to about 3 requests per slot.
const REPORT_MAX_PER_SLOT: f64 = 16.0;
/// Weight of the newest sample in the moving average of the run time.
const RUN_TIME_GAIN: f64 = 0.2;
/// Time for which the run time is used without a new sample. After that it counts as unknown, so
/// that a target that was stuck is tried again.
const RUN_TIME_TTL: Duration = Duration::from_millis(2_500);
/// Largest window, in requests per slot.
const WINDOW_MAX: f64 = 2.0;
/// Growth of the window per window's worth of responses, in requests.
const WINDOW_GROWTH: f64 = 0.5;
/// Fraction of the window, or of the outstanding requests if fewer, that a timeout leaves.
const WINDOW_SHRINK_RATIO: f64 = 0.7;
/// Minimum time between two shrinks, since the requests of one queue time out together.
const SHRINK_INTERVAL: Duration = Duration::from_millis(300);

/// A target's load, as one entry VM estimates it.
#[derive(Clone, Debug)]
pub(crate) struct TargetLoad {
    /// Requests that the target runs concurrently; at least 1.
    slots: f64,
    /// Requests of this entry VM at the target, running or waiting.
    outstanding: u32,
    /// Requests of other entry VMs at the target.
    others: OthersLoad,
    /// Pace of the target's machine.
    pace: Pace,
    /// Moving average of the time for which a request runs at the usual pace, in seconds; 0 while
    /// unknown.
    run_time: f64,
    /// When `run_time` got its last sample.
    sampled_at: Duration,
    /// Requests that this entry VM may have at the target; at least 1.
    window: f64,
    /// When the window last shrank.
    shrunk_at: Duration,
}

impl TargetLoad {
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            outstanding: 0,
            others: OthersLoad::default(),
            pace: Pace::default(),
            run_time: 0.0,
            sampled_at: Duration::ZERO,
            window: slots * WINDOW_MAX,
            shrunk_at: Duration::ZERO,
        }
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
    }

    /// Estimated requests at the target now.
    pub(crate) fn requests(&self, now: Duration) -> f64 {
        f64::from(self.outstanding) + self.others.requests(now, self.run_time_now(now))
    }

    /// Standard deviation of [`Self::requests`]; 0 for what was just observed.
    pub(crate) fn deviation(&self, now: Duration) -> f64 {
        self.others.deviation(now, self.run_time_now(now))
    }

    /// Age of the newest observation of the target; none before the first.
    pub(crate) fn observation_age(&self, now: Duration) -> Option<Duration> {
        self.others.age(now)
    }

    /// Run time at the present pace, in seconds, assumed while there is no sample.
    fn run_time_now(&self, now: Duration) -> f64 {
        let usual = if self.run_time > 0.0 { self.run_time } else { RUN_TIME_ASSUMED };
        usual * self.pace.factor(now)
    }

    /// Factor on the usual run time by the present pace of the target's machine.
    pub(crate) fn pace_factor(&self, now: Duration) -> f64 {
        self.pace.factor(now)
    }

    /// Pace of the target's machine, in percent of the usual time.
    pub(crate) fn pace_percent(&self, now: Duration) -> u32 {
        self.pace.percent(now)
    }

    /// Requests of this entry VM at the target.
    pub(crate) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Requests that the target runs concurrently.
    pub(crate) fn slots(&self) -> f64 {
        self.slots
    }

    /// True if the target probably has a free slot.
    pub(crate) fn has_free_slot(&self, now: Duration) -> bool {
        self.requests(now) < self.slots
    }

    /// True if the window allows one more request.
    pub(crate) fn has_window(&self) -> bool {
        f64::from(self.outstanding) < self.window
    }

    /// Estimated requests that would wait ahead of one more, per slot.
    pub(crate) fn queue_ahead(&self, now: Duration) -> f64 {
        ((self.requests(now) + 1.0 - self.slots) / self.slots).max(0.0)
    }

    /// Expected time until the response to one more request, in seconds; `None` without a recent
    /// sample.
    pub(crate) fn expected_latency(&self, now: Duration) -> Option<f64> {
        self.is_sampled(now)
            .then(|| self.run_time * self.pace_factor(now) * (1.0 + self.queue_ahead(now)))
    }

    /// True if the run time has a recent sample.
    fn is_sampled(&self, now: Duration) -> bool {
        now.saturating_sub(self.sampled_at) < RUN_TIME_TTL
    }

    /// Moving average of the time for which a request runs, in seconds; `None` without a recent sample.
    pub(crate) fn run_time(&self, now: Duration) -> Option<f64> {
        (self.is_sampled(now) && self.run_time > 0.0).then_some(self.run_time)
    }

    /// Shrinks the window to one request; responses let it grow again.
    pub(crate) fn restart_window(&mut self) {
        self.window = 1.0;
    }

    pub(crate) fn record_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(crate) fn record_end(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes a report of how many requests the target has, including those of this entry VM.
    pub(crate) fn record_report(&mut self, now: Duration, requests: u32) {
        self.observe(now, requests.saturating_sub(self.outstanding));
    }

    /// Takes a report that another entry VM received at `at`, when `own` of the requests were that
    /// VM's. Returns false if a newer one is known.
    pub(crate) fn record_shared(&mut self, at: Duration, requests: u32, own: u32) -> bool {
        let newer = self.others.is_newer(at);
        let others = requests.saturating_sub(self.outstanding).max(own.min(requests));
        self.observe(at, others);
        newer
    }

    fn observe(&mut self, at: Duration, others: u32) {
        let plausible = f64::from(others).min(self.slots * REPORT_MAX_PER_SLOT);
        self.others.observe(at, plausible);
    }

    /// Takes a report of the pace of the target's machine, in percent.
    pub(crate) fn record_pace(&mut self, at: Duration, percent: u32) {
        self.pace.record(at, percent);
    }

    /// Forgets what was reported, since another process has taken the target's place.
    pub(crate) fn forget_reports(&mut self) {
        self.others = OthersLoad::default();
        self.pace = Pace::default();
    }

    /// Records the latency of a request that had `queue` requests per slot ahead of it, and grows
    /// the window.
    pub(crate) fn record_latency(&mut self, now: Duration, queue: f64, latency: Duration) {
        let sample = latency.as_secs_f64() / (1.0 + queue) / self.pace.factor(now);
        self.run_time +=
            if self.run_time == 0.0 { sample } else { (sample - self.run_time) * RUN_TIME_GAIN };
        self.sampled_at = now;
        let max = self.slots * WINDOW_MAX;
        self.window = (self.window + WINDOW_GROWTH / self.window).min(max);
    }

    /// Records a request that had `queue` requests per slot ahead of it and got no response within
    /// `waited`. This gives only a lower bound of the run time, so it can raise the average but not
    /// lower it.
    pub(crate) fn record_unanswered(&mut self, now: Duration, queue: f64, waited: Duration) {
        let lower_bound = waited.as_secs_f64() / (1.0 + queue) / self.pace.factor(now);
        if lower_bound > self.run_time {
            self.run_time += (lower_bound - self.run_time) * RUN_TIME_GAIN;
            self.sampled_at = now;
        }
    }

    /// Shrinks the window after a timeout. The timed-out request still counts as outstanding until
    /// [`Self::record_end`].
    pub(crate) fn record_timeout(&mut self, now: Duration) {
        if now >= self.shrunk_at + SHRINK_INTERVAL {
            let outstanding = f64::from(self.outstanding.max(1));
            self.window = (self.window.min(outstanding) * WINDOW_SHRINK_RATIO).max(1.0);
            self.shrunk_at = now;
        }
    }
}
