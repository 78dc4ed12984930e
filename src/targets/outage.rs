//! Whether all targets of a service take no requests, by their own word.

use std::fmt;
use std::time::Duration;

/// How long a service without other targets than those that leave counts as unavailable. Longer than
/// any request waits.
const LEAVING_OUTAGE: Duration = Duration::from_secs(3_600);

/// Numbers of targets that take no requests by their own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedTargets {
    /// Targets that leave.
    pub leaving: u32,
    /// Targets that have asked for a pause.
    pub paused: u32,
    /// Time until the first of the pauses is over.
    pub pause_left: Option<Duration>,
}

impl ClosedTargets {
    /// Adds the targets of another VM.
    pub fn merge(self, other: Self) -> Self {
        Self {
            leaving: self.leaving + other.leaving,
            paused: self.paused + other.paused,
            pause_left: self.pause_left.into_iter().chain(other.pause_left).min(),
        }
    }

    /// The outage, if these are all of `count` targets.
    pub fn outage(&self, count: usize) -> Option<Outage> {
        if count == 0 || ((self.leaving + self.paused) as usize) < count {
            return None;
        }
        Some(self.pause_left.map_or(Outage::AllLeaving, Outage::Paused))
    }
}

/// A service without any target that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// All targets leave.
    AllLeaving,
    /// Those that don't leave have asked for a pause; the first pause ends after this time.
    Paused(Duration),
}

impl Outage {
    /// Time until a target may take requests again.
    pub fn time_left(&self) -> Duration {
        match self {
            Self::AllLeaving => LEAVING_OUTAGE,
            Self::Paused(left) => *left,
        }
    }
}

impl fmt::Display for Outage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AllLeaving => f.write_str("every target is leaving"),
            Self::Paused(left) => {
                let left = left.as_millis();
                write!(f, "every target is paused or leaving; the first pause ends in {left} ms")
            }
        }
    }
}
