//! The parts and slices that this member may use: those that it owns on the roster, less those that
//! it is about to release.

use std::time::{Duration, Instant};

use super::Member;

/// Time after its start in which a member uses no parts: loans of its earlier incarnation may still
/// be valid.
pub const STARTUP_DELAY: Duration = Duration::from_millis(2_500);

/// The parts and slices that a member may use.
///
/// A member stops using parts and slices before it writes to the roster that another member owns
/// them. A release therefore has two steps: [`Allocation::start_release`] ends the use, and
/// [`Allocation::finish_release`] follows once the roster is written.
#[derive(Clone, Debug)]
pub struct Allocation {
    parts: u32,
    slices: Vec<u16>,
    /// The parts and slices that are kept by a release in progress.
    releasing: Option<(u32, Vec<u16>)>,
    /// True once this member may use nothing any more.
    closed: bool,
    /// Time from which parts may be used and released: the end of [`STARTUP_DELAY`].
    usable_from: Instant,
}

impl Allocation {
    /// An empty allocation of a member that starts at `now`.
    pub fn new(now: Instant) -> Self {
        let usable_from = now + STARTUP_DELAY;
        Self { parts: 0, slices: Vec::new(), releasing: None, closed: false, usable_from }
    }

    /// Sets what this incarnation of the member owns on the roster; `mine` is none if it isn't listed.
    pub fn update(&mut self, mine: Option<&Member>) {
        self.parts = mine.map_or(0, |m| m.parts);
        self.slices = mine.map_or_else(Vec::new, |m| m.slices.clone());
    }

    /// The parts that may be used at `now`.
    pub fn parts(&self, now: Instant) -> u32 {
        match &self.releasing {
            _ if self.closed || !self.can_release(now) => 0,
            Some((kept, _)) => self.parts.min(*kept),
            None => self.parts,
        }
    }

    /// True if parts may be released. A new incarnation waits until no loan of an earlier one can
    /// still be valid: until then, a borrower that it doesn't know of may use the parts.
    pub fn can_release(&self, now: Instant) -> bool {
        now >= self.usable_from
    }

    /// The slices that may be used now.
    pub fn slices(&self) -> Vec<u16> {
        match &self.releasing {
            _ if self.closed => Vec::new(),
            Some((_, kept)) => self.slices.iter().filter(|s| kept.contains(s)).copied().collect(),
            None => self.slices.clone(),
        }
    }

    /// The parts and slices that are kept by a release in progress.
    pub fn releasing(&self) -> Option<&(u32, Vec<u16>)> {
        self.releasing.as_ref()
    }

    /// Starts a release: all but `parts` and `slices` may no longer be used.
    pub fn start_release(&mut self, parts: u32, slices: Vec<u16>) {
        self.releasing = Some((parts, slices));
    }

    /// Ends a release, once the roster is written.
    pub fn finish_release(&mut self) {
        self.releasing = None;
    }

    /// Stops the use of all parts and slices for good.
    pub fn close(&mut self) {
        self.closed = true;
    }
}
