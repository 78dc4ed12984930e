//! The limit of requests per second that a target names for all entry VMs together.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

/// Time after a response that named the limit for which one without it is not believed: responses may
/// overtake each other.
const OVERTAKING_MAX: Duration = Duration::from_secs(1);
/// Least limit that is kept, in requests per second. A target that takes none is asked again at this
/// rate, since only its responses tell when the limit ends.
const RATE_MIN: f64 = 0.1;

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

/// The limit of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetLimit {
    /// Requests per second from all entry VMs together, at least [`RATE_MIN`]; none without a limit.
    rate: Option<f64>,
    /// When a response last named it.
    named_at: Duration,
}

impl TargetLimit {
    /// The limit, in requests per second.
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Takes what a response said at `at`. Returns true if the limit has changed.
    pub(super) fn record(&mut self, at: Duration, notice: LimitNotice) -> bool {
        let before = self.rate;
        match notice {
            LimitNotice::Named(rate) if at >= self.named_at => {
                self.rate = Some(rate.max(RATE_MIN));
                self.named_at = at;
            }
            LimitNotice::Absent if at >= self.named_at + OVERTAKING_MAX => self.rate = None,
            _ => {}
        }
        self.rate != before
    }
}
