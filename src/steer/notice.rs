//! What a target says of itself in its responses: that it leaves, or that it wants no requests for a
//! while.
//!
//! Load pattern: the targets of a service are replaced one after the other while the store is down,
//! so that their own words are the only ones; or a target that sheds load names the pause that it
//! needs. A notice counts for one incarnation of a target.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::net::header_text;

/// Longest pause that is kept. A target that names a longer one is asked again after this.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);
/// Largest part of a pause that is added to it, so that entry VMs don't come back in one moment.
const SPREAD_RATIO: f64 = 0.1;
/// Upper bound of what is added to a pause.
const SPREAD_MAX: Duration = Duration::from_millis(500);
/// Largest part of a pause that is added to the `Retry-After` of callers, so that they don't return
/// in one moment.
const CALLER_SPREAD_RATIO: f64 = 0.2;

/// What a target says of itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// It leaves: it wants no new requests for as long as it runs.
    pub leaving: bool,
    /// It wants no requests for this time.
    pub pause: Option<Duration>,
}

impl TargetNotice {
    /// Reads the notice in a response's head, which must be known to come from the target itself.
    /// `leaving` are the names of the header with which targets say that they leave.
    pub fn from_head(leaving: &[HeaderName], status: StatusCode, headers: &HeaderMap) -> Self {
        // A 421 comes from another process at the target's address.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Self::default();
        }
        let leaving = leaving.iter().find_map(|name| header_text(headers, name));
        let rejected = status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = header_text(headers, RETRY_AFTER).filter(|_| rejected);
        Self::parse(leaving, pause)
    }

    /// Reads the values of the two headers; a value that makes no sense says nothing.
    pub fn parse(leaving: Option<&str>, pause: Option<&str>) -> Self {
        Self { leaving: leaving.is_some_and(says_yes), pause: pause.and_then(parse_pause) }
    }

    /// True if it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The `Retry-After` of a caller whose request is rejected because all targets are paused: never
/// less than `pause`. `sample`, from 0 to 1, spreads callers.
pub(crate) fn caller_pause(pause: Duration, sample: f64) -> Duration {
    pause + pause.mul_f64(CALLER_SPREAD_RATIO * sample)
}

fn says_yes(value: &str) -> bool {
    !matches!(value.trim(), "" | "0" | "false")
}

/// A pause in seconds, with fractions. Zero, negative values, dates and what is no number are none;
/// a longer one than [`PAUSE_MAX`] is cut.
fn parse_pause(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(seconds.min(PAUSE_MAX.as_secs_f64())))
}

/// Where a notice comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeOrigin {
    /// Start of the incarnation that was asked, by the target's record at that time, in milliseconds
    /// since the Unix epoch.
    pub born_ms: u64,
    /// When the notice came, in milliseconds since the Unix epoch.
    pub said_ms: u64,
}

impl NoticeOrigin {
    /// True if the incarnation that started at `born_ms` has said it. The record may have been older
    /// than the process that responded, which then had started before.
    pub(crate) fn is_from(&self, born_ms: u64) -> bool {
        self.born_ms == born_ms || self.said_ms >= born_ms
    }
}

/// The notices of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeState {
    /// Origin of the last notice.
    origin: Option<NoticeOrigin>,
    /// When it first said that it leaves.
    leaving_since: Option<Duration>,
    /// When it last asked for a pause.
    pause_since: Duration,
    /// It gets no requests until then.
    paused_until: Duration,
}

impl NoticeState {
    /// Takes a notice. `sample`, from 0 to 1, spreads the ends of pauses over entry VMs.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        origin: NoticeOrigin,
        notice: TargetNotice,
        sample: f64,
    ) {
        self.origin = Some(origin);
        if notice.leaving {
            self.leaving_since.get_or_insert(now);
        }
        if let Some(pause) = notice.pause {
            let spread = pause.mul_f64(SPREAD_RATIO).min(SPREAD_MAX).mul_f64(sample);
            self.pause_since = now;
            self.paused_until = self.paused_until.max(now + pause + spread);
        }
    }

    /// The state for the incarnation that started at `born_ms`: this one if that incarnation has
    /// given the last notice, else an empty one.
    pub(crate) fn for_incarnation(self, born_ms: u64) -> Self {
        if self.origin.is_some_and(|origin| origin.is_from(born_ms)) {
            self
        } else {
            Self::default()
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Time since it first said that it leaves, if it has.
    pub(crate) fn leaving_age(&self, now: Duration) -> Option<Duration> {
        self.leaving_since.map(|since| now.saturating_sub(since))
    }

    /// Time since it last asked for a pause.
    pub(crate) fn pause_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.pause_since)
    }

    /// Time until its pause ends, if it is paused.
    pub(crate) fn pause_left(&self, now: Duration) -> Option<Duration> {
        self.paused_until.checked_sub(now).filter(|left| !left.is_zero())
    }
}
