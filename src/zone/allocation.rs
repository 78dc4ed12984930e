//! What a member may use of what it owns on the roster.

use std::time::{Duration, Instant};

use super::Member;

/// Time after its start in which a member uses no parts: loans of its earlier life may still run.
pub const WARY: Duration = Duration::from_millis(2_500);

/// What a member may use of what it owns.
///
/// A member stops using parts before it writes to the roster that another one owns them.
#[derive(Clone, Debug)]
pub struct Allocation {
    parts: u32,
    slices: Vec<u16>,
    /// What will be kept once nothing more is used; less than what is owned.
    releasing: Option<(u32, Vec<u16>)>,
    /// True once this member uses nothing any more.
    closed: bool,
    wary_until: Instant,
}

impl Allocation {
    /// Nothing, for a member that starts at `now`.
    pub fn new(now: Instant) -> Self {
        let wary_until = now + WARY;
        Self { parts: 0, slices: Vec::new(), releasing: None, closed: false, wary_until }
    }

    /// Takes over what the roster says of this member in this life.
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

    /// True if what is no longer used may be given away. A new life waits until no loan of its
    /// earlier life can still run: those parts are in use by a borrower that it doesn't know.
    pub fn can_release(&self, now: Instant) -> bool {
        now >= self.wary_until
    }

    /// The slices that may be used.
    pub fn slices(&self) -> Vec<u16> {
        match &self.releasing {
            _ if self.closed => Vec::new(),
            Some((_, kept)) => self.slices.iter().filter(|s| kept.contains(s)).copied().collect(),
            None => self.slices.clone(),
        }
    }

    /// What will be kept of a release that has begun.
    pub fn releasing(&self) -> Option<&(u32, Vec<u16>)> {
        self.releasing.as_ref()
    }

    /// Stops the use of all but `parts` and `slices`.
    pub fn start_release(&mut self, parts: u32, slices: Vec<u16>) {
        self.releasing = Some((parts, slices));
    }

    /// Ends a release once the roster has it.
    pub fn finish_release(&mut self) {
        self.releasing = None;
    }

    /// Stops the use of everything for good.
    pub fn close(&mut self) {
        self.closed = true;
    }
}
