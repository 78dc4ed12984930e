//! How long work currently takes on a target's machine, relative to the usual time.

use std::time::Duration;

use super::others::fading;

/// The pace of a machine at its usual speed, in percent.
pub const PACE_USUAL: u32 = 100;
/// Least pace that is believed, in percent; less counts as this.
const PACE_MIN: u32 = 25;
/// Largest pace that is believed, in percent; more counts as this.
const PACE_MAX: u32 = 1_000;
/// Pace above which a report counts as invalid, in percent.
const PACE_VALID_MAX: u32 = 10_000;
/// Time constant of the moving average of the reports.
const PACE_AVERAGING: Duration = Duration::from_millis(300);
/// Time constant with which the pace returns to the usual one without a report.
const PACE_FADING: Duration = Duration::from_millis(600);

/// The pace in `text`, in percent; `None` if it is no number, zero or implausibly large.
pub(super) fn parse_pace(text: &str) -> Option<u32> {
    text.trim().parse().ok().filter(|pace| (1..=PACE_VALID_MAX).contains(pace))
}

/// Smoothed pace of a target's machine.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Smoothed pace less the usual one; 0.5 means that work takes 1.5 times as long as usual.
    excess: f64,
    /// When the last report was made.
    reported_at: Duration,
}

impl Pace {
    /// Takes a report made at `at`, in percent. Zero counts as the usual pace, and a report older
    /// than the newest is ignored.
    pub(super) fn record(&mut self, at: Duration, percent: u32) {
        if at < self.reported_at {
            return;
        }
        let valid = if percent == 0 || percent > PACE_VALID_MAX { PACE_USUAL } else { percent };
        let reported = f64::from(valid.clamp(PACE_MIN, PACE_MAX)) / f64::from(PACE_USUAL) - 1.0;
        let remaining = fading(at.saturating_sub(self.reported_at), PACE_AVERAGING.as_secs_f64());
        self.excess = reported + (self.excess - reported) * remaining;
        self.reported_at = at;
    }

    /// Expected factor on the usual run time now.
    pub(super) fn factor(&self, now: Duration) -> f64 {
        1.0 + self.excess * fading(now.saturating_sub(self.reported_at), PACE_FADING.as_secs_f64())
    }

    /// The smoothed pace in percent.
    pub(super) fn percent(&self, now: Duration) -> u32 {
        (self.factor(now) * f64::from(PACE_USUAL)).round() as u32
    }
}
