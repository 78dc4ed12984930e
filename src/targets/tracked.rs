//! A target that this entry VM owns, with its life cycle, health and running requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::model::TargetId;
use crate::steer::{LimitNotice, LimitShare, TargetLimit};

use super::notices::TargetNotices;
use super::{TargetEvent, TargetState, target_chart};

/// Consecutive failures after which a target is ejected.
const FAILURE_LIMIT: u32 = 3;
/// Time from the first successful probe of a cold target until all its slots may be used.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Time for which a load report is used.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Weight of the newest sample in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;

/// A target that this entry VM owns.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedTarget {
    /// Its id.
    pub id: TargetId,
    /// Its address.
    pub addr: SocketAddr,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// True if it gets no new requests.
    pub leaving: bool,
    /// When this VM first saw it on the platform's list. Its caches count as warm once the warm-up
    /// time has passed since then.
    pub first_seen: Instant,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With a complete response after this time.
    Answered(Duration),
    /// The target refused it, since it was overloaded.
    Shed,
    /// Without a complete response.
    Failed,
    /// The target's process ended.
    Died,
    /// It was cancelled before it ended, or there was no memory for its response.
    GivenUp,
}

/// A load report of a target, from a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    received: Instant,
    /// Reported requests beyond those of this VM.
    others: u32,
}

/// A target with what its dispatcher knows of it.
#[derive(Clone, Debug)]
pub(super) struct TrackedTarget {
    pub(super) target: OwnedTarget,
    pub(super) state: TargetState,
    /// When the current state began.
    state_since: Instant,
    /// Requests of this VM that run there. Reports do not change this count.
    pub(super) busy: u32,
    /// Consecutive failures of requests and probes.
    failures: u32,
    /// Moving average of the latency, in seconds.
    latency: f64,
    report: Option<Report>,
    /// True once its process has ended or restarted under this VM, so that `first_seen` no longer says
    /// whether its caches are warm, or once it has asked for a pause: its load returns gradually.
    cold: bool,
    /// When its process started, in milliseconds since the Unix epoch, if its probes say so.
    started_ms: Option<u64>,
    /// The limit of requests per second that it names. This VM alone sends to it.
    limit: TargetLimit,
    /// Times in `limit` count from here.
    tracked_since: Instant,
}

impl TrackedTarget {
    pub(super) fn new(now: Instant, target: &OwnedTarget) -> Self {
        Self {
            target: target.clone(),
            state: target_chart().initial(),
            state_since: now,
            busy: 0,
            failures: 0,
            latency: 0.0,
            report: None,
            cold: false,
            started_ms: None,
            limit: TargetLimit::default(),
            tracked_since: now,
        }
    }

    /// Takes what a response says of the target's limit. Returns true if the limit has changed.
    pub(super) fn record_limit(&mut self, now: Instant, notice: LimitNotice) -> bool {
        self.limit.record(self.elapsed(now), notice, &LimitShare::WHOLE)
    }

    /// Time until its limit lets a request through.
    pub(super) fn limit_wait(&self, now: Instant) -> Duration {
        self.limit.wait(self.elapsed(now), &LimitShare::WHOLE).unwrap_or_default()
    }

    /// Counts a request that starts there.
    pub(super) fn start(&mut self, now: Instant) {
        self.busy += 1;
        self.limit.record_sent(self.elapsed(now), &LimitShare::WHOLE);
    }

    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.tracked_since)
    }

    pub(super) fn apply(&mut self, now: Instant, event: TargetEvent) {
        if event == TargetEvent::Died {
            self.limit = TargetLimit::default();
        }
        self.cold |= matches!(event, TargetEvent::Died | TargetEvent::Pause);
        let next = target_chart().next(self.state, event);
        if next != self.state {
            log::info!("target: {} is {next:?}.", self.target.id);
            self.state = next;
            self.state_since = now;
            self.failures = 0;
        }
    }

    /// Applies what the platform's list, the drains and the target itself say of it now.
    pub(super) fn apply_words(&mut self, now: Instant, notices: &TargetNotices) {
        let (leaving, paused) = match notices.get(&self.target) {
            Some(notice) => (notice.is_leaving(), notice.pause_left(now).is_some()),
            None => (false, false),
        };
        if leaving || self.target.leaving {
            self.apply(now, TargetEvent::Leave);
            return;
        }
        self.apply(now, TargetEvent::Return);
        self.apply(now, if paused { TargetEvent::Pause } else { TargetEvent::Resume });
    }

    /// Ends the warm-up when its time is over.
    pub(super) fn end_warm_up(&mut self, now: Instant) {
        if self.state == TargetState::Warming && now >= self.state_since + WARM_UP_TIME {
            self.apply(now, TargetEvent::Warm);
        }
    }

    /// Records when its process started. Another time than before means that it has restarted.
    pub(super) fn record_start(&mut self, now: Instant, started_ms: u64) {
        let last = self.started_ms.replace(started_ms);
        if last.is_some_and(|last| last != started_ms) {
            self.apply(now, TargetEvent::Died);
        }
    }

    /// Slots that may be used now. This VM's own count takes precedence over a load report: the
    /// report lowers the slots at most by half, since a target that reports too high a load would
    /// otherwise get no requests at all.
    pub(super) fn usable_slots(&self, now: Instant) -> u32 {
        let slots = match self.state {
            TargetState::Warming => {
                let fraction = (now - self.state_since).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
                ((f64::from(self.target.slots) * fraction.min(1.0)) as u32).max(1)
            }
            _ => self.target.slots,
        };
        let fresh = self.report.filter(|r| now < r.received + REPORT_TTL);
        let free_of_others = slots.saturating_sub(fresh.map_or(0, |r| r.others));
        free_of_others.max(slots.div_ceil(2))
    }

    pub(super) fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// The cost of one more request; lower is better. It is the fraction of slots in use plus the
    /// average latency in seconds, of which at most 1 counts.
    pub(super) fn cost(&self, now: Instant) -> f64 {
        f64::from(self.busy) / f64::from(self.usable_slots(now).max(1)) + self.latency.min(1.0)
    }

    pub(super) fn finish(&mut self, now: Instant, result: AttemptResult) {
        self.busy = self.busy.saturating_sub(1);
        match result {
            AttemptResult::Answered(latency) => {
                self.failures = 0;
                let latency = latency.as_secs_f64();
                self.latency += (latency - self.latency) * LATENCY_GAIN;
            }
            AttemptResult::Shed | AttemptResult::GivenUp => {}
            AttemptResult::Failed => self.record_failure(now),
            AttemptResult::Died => self.apply(now, TargetEvent::Died),
        }
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.apply(now, TargetEvent::Failing);
        }
    }

    pub(super) fn record_probe(&mut self, now: Instant, running: u32) {
        self.failures = 0;
        self.apply(now, TargetEvent::ProbeOk);
        // A target that has been on the platform's list for longer than the warm-up time was warmed
        // by its previous owner, unless its process has ended since.
        if !self.cold && now >= self.target.first_seen + WARM_UP_TIME {
            self.apply(now, TargetEvent::Warm);
        }
        self.report = Some(Report { received: now, others: running.saturating_sub(self.busy) });
    }
}
