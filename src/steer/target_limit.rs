//! The limit of requests per second that a target names for all entry VMs together, and when this VM
//! may send to it.
//!
//! Load pattern: targets in need name a few requests per second, much less than one for each VM. Each VM
//! owns a share of the limit, and gets permits for one request each, at an interval that follows from
//! the share. The permits of all VMs are spread evenly by the time of day; where clocks differ, they
//! only come closer together. No message is needed, so the bound holds whatever VMs are cut off from
//! each other. A permit that isn't used expires: otherwise all VMs could send at once after a time
//! without requests.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

/// Time after a response that named the limit for which one without it is not believed: responses may
/// overtake each other.
const OVERTAKING_MAX: Duration = Duration::from_secs(1);
/// Least limit that is kept, in requests per second. A target that takes none is asked again at this
/// rate, since only its responses tell when the limit ends.
const RATE_MIN: f64 = 0.1;
/// Fraction of a limit that entry VMs use. The rest is for VMs that count the others differently.
const USED_RATIO: f64 = 0.9;
/// Longest time until a permit expires.
const PERMIT_TTL_MAX: Duration = Duration::from_millis(1_500);
/// Shortest time until a permit expires.
const PERMIT_TTL_MIN: Duration = Duration::from_millis(250);
/// Shortest interval between two permits; it must not be 0.
const INTERVAL_MIN: Duration = Duration::from_micros(1);
/// Longest interval between two permits.
const INTERVAL_MAX: Duration = Duration::from_secs(3_600);

/// What a response says of its target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// The target takes this many requests per second; finite and at least 0.
    Named(f64),
    /// The target names no limit.
    Absent,
    /// The value can't be read, so it says nothing.
    Invalid,
}

impl LimitNotice {
    /// Reads a response's head, which must be known to come from the target itself. `names` are the
    /// names of the header; of several values the least counts.
    pub fn from_head(names: &[HeaderName], headers: &HeaderMap) -> Self {
        let values: Vec<_> = names.iter().flat_map(|name| headers.get_all(name)).collect();
        if values.is_empty() {
            return Self::Absent;
        }
        let rates = values.iter().filter_map(|value| parse_rate(value.to_str().ok()?));
        rates.min_by(f64::total_cmp).map_or(Self::Invalid, Self::Named)
    }
}

/// A rate in requests per second; none if it is negative or no finite number.
fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// This VM's part in the limits that targets name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Its fraction of every limit.
    pub fraction: f64,
    /// Its place among all entry VMs, from 0 to 1.
    pub place: f64,
    /// Time from the Unix epoch to the machine's start, by this VM's clock.
    pub epoch: Duration,
}

impl LimitShare {
    /// The part of a VM that alone sends to a target.
    pub(crate) const WHOLE: Self = Self { fraction: 1.0, place: 0.0, epoch: Duration::ZERO };

    /// The first permit from `at` on, for permits at this `interval`.
    fn permit_from(&self, at: Duration, interval: Duration) -> Duration {
        let permits = (self.epoch + at).as_secs_f64() / interval.as_secs_f64() + self.place;
        at + interval.mul_f64(permits.ceil() - permits)
    }
}

/// The limit of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetLimit {
    /// Requests per second from all entry VMs together, at least [`RATE_MIN`]; none without a limit.
    rate: Option<f64>,
    /// When a response last named it.
    named_at: Duration,
    /// When this VM gets its next permit; meaningless without a limit.
    next_permit: Duration,
    /// When this VM last used a permit; none before the first.
    used_at: Option<Duration>,
}

impl TargetLimit {
    /// The limit, in requests per second.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Takes what a response said at `at`, and returns true if the limit has changed.
    pub(crate) fn record(&mut self, at: Duration, notice: LimitNotice, share: &LimitShare) -> bool {
        let before = self.rate;
        match notice {
            LimitNotice::Named(rate) if at >= self.named_at => {
                self.rate = Some(rate.max(RATE_MIN));
                self.named_at = at;
            }
            LimitNotice::Absent if at >= self.named_at + OVERTAKING_MAX => self.rate = None,
            _ => {}
        }
        let changed = self.rate != before;
        if changed {
            self.plan(at, share);
        }
        changed
    }

    /// Plans the next permit anew, since the interval has changed.
    pub(crate) fn plan(&mut self, now: Duration, share: &LimitShare) {
        let interval = self.interval(share);
        // Limits that change often must not bring permits closer together.
        let earliest = self.used_at.map_or(now, |at| now.max(at + interval / 2));
        self.next_permit = share.permit_from(earliest, interval);
    }

    /// Time until this VM may send a request; none without a limit.
    pub(crate) fn wait(&self, now: Duration, share: &LimitShare) -> Option<Duration> {
        self.rate?;
        Some(self.next_permit(now, self.interval(share)).saturating_sub(now))
    }

    /// True if this VM may send a request now.
    pub(crate) fn admits(&self, now: Duration, share: &LimitShare) -> bool {
        self.wait(now, share).is_none_or(|wait| wait.is_zero())
    }

    /// Uses a permit for a request that is sent now.
    pub(crate) fn record_sent(&mut self, now: Duration, share: &LimitShare) {
        if self.rate.is_some() {
            self.used_at = Some(now);
            let interval = self.interval(share);
            self.next_permit = self.next_permit(now, interval) + interval;
        }
    }

    /// Time between two of this VM's permits.
    pub(crate) fn interval(&self, share: &LimitShare) -> Duration {
        let rate = self.rate.unwrap_or_default() * USED_RATIO * share.fraction;
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(INTERVAL_MAX);
        interval.clamp(INTERVAL_MIN, INTERVAL_MAX)
    }

    /// When the first permit comes that can still be used.
    fn next_permit(&self, now: Duration, interval: Duration) -> Duration {
        let ttl = interval.clamp(PERMIT_TTL_MIN, PERMIT_TTL_MAX);
        let overdue = now.saturating_sub(self.next_permit + ttl);
        let expired = (overdue.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.next_permit + interval.mul_f64(expired)
    }
}
