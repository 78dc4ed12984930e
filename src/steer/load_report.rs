//! What a target's load header says.

use super::pace::{PACE_USUAL, parse_pace};

/// A target's report of its load: `running, waiting, slots, pace`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests at the target, running or waiting, of all entry VMs.
    pub requests: u32,
    /// How long work takes on its machine, in percent of the usual time.
    pub pace: u32,
    /// True if the header has no valid pace and the usual one is assumed.
    pub assumed: bool,
}

impl LoadReport {
    /// Parses the header; `None` if one of the first two numbers is missing or invalid.
    pub fn parse(header: &str) -> Option<Self> {
        let mut numbers = header.split(',');
        let mut count = || numbers.next()?.trim().parse::<u32>().ok();
        let requests = count()?.saturating_add(count()?);
        let pace = numbers.nth(1).and_then(parse_pace);
        Some(Self { requests, pace: pace.unwrap_or(PACE_USUAL), assumed: pace.is_none() })
    }
}
