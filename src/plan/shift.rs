//! Shifts of a service's traffic between regions, and the steps in which they are made.
//!
//! Each step is a conditional write of the [`ShiftPlan`] to the store. Any entry VM may propose the
//! next step, and the store accepts one of them. While the store is down, the last step stays in
//! effect.

use std::time::{Duration, Instant};

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{RegionId, ShiftLimits};

/// All of a region's traffic, in the unit of shares: millionths.
const FULL_SHARE_PPM: u32 = 1_000_000;

/// A planned shift of one region's traffic to another region.
#[apply(record!)]
#[derive(Eq)]
pub struct PlannedShift {
    /// The region whose callers' traffic moves.
    pub from: RegionId,
    /// The region that the traffic moves to.
    pub to: RegionId,
    /// Share of the traffic to move in the end, in millionths.
    pub goal: u32,
    /// Share of the traffic moved so far, in millionths.
    pub now: u32,
    /// Number of steps made so far.
    pub step: u64,
}

/// The planned shifts of one service.
#[apply(record!)]
#[derive(Eq, Default)]
pub struct ShiftPlan {
    /// The shifts, at most one for each pair of regions. The shares of all shifts from one region
    /// add up to at most all of its traffic.
    pub moves: Vec<PlannedShift>,
}

/// A change of a plan that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The share is not a number from 0 to 1.
    #[error("share {0} is not between 0 and 1")]
    InvalidShare(String),
    /// The shift is from a region to itself.
    #[error("a shift from {0} to itself is not possible")]
    SameRegion(RegionId),
    /// The shares of all shifts from the region would exceed 1.
    #[error("the shares shifted from {0} would add up to more than 1")]
    SharesExceedOne(RegionId),
}

impl ShiftPlan {
    /// Sets the share of the traffic of `from` that is shifted to `to` in the end.
    ///
    /// # Errors
    /// Fails if the share or the pair of regions is not allowed. The plan is then unchanged.
    pub fn set_goal(
        &mut self,
        from: &RegionId,
        to: &RegionId,
        share: f64,
    ) -> Result<(), PlanError> {
        if !(0.0..=1.0).contains(&share) {
            return Err(PlanError::InvalidShare(share.to_string()));
        }
        if from == to {
            return Err(PlanError::SameRegion(from.clone()));
        }
        let goal = (share * f64::from(FULL_SHARE_PPM)) as u32;
        let others: u32 = self
            .moves
            .iter()
            .filter(|m| &m.from == from && &m.to != to)
            .map(PlannedShift::max_share)
            .sum();
        if others + goal > FULL_SHARE_PPM {
            return Err(PlanError::SharesExceedOne(from.clone()));
        }
        match self.moves.iter_mut().find(|m| &m.from == from && &m.to == to) {
            Some(found) => found.goal = goal,
            None => {
                let (from, to) = (from.clone(), to.clone());
                self.moves.push(PlannedShift { from, to, goal, now: 0, step: 0 });
            }
        }
        Ok(())
    }

    /// Makes the next step, in which at most the cap of `shift` moves for each source region, and
    /// removes shifts that have ended at 0. Returns false if no share has changed.
    pub fn advance(&mut self, shift: &ShiftLimits) -> bool {
        let cap = (shift.cap * f64::from(FULL_SHARE_PPM)) as u32;
        let mut moved: Vec<(RegionId, u32)> = Vec::new();
        let mut changed = false;
        for m in &mut self.moves {
            let used = moved.iter().filter(|(r, _)| r == &m.from).map(|(_, n)| n).sum::<u32>();
            let allowed = cap.saturating_sub(used);
            let next = match m.goal >= m.now {
                true => m.goal.min(m.now.saturating_add(allowed)),
                false => m.goal.max(m.now.saturating_sub(allowed)),
            };
            if next != m.now {
                moved.push((m.from.clone(), next.abs_diff(m.now)));
                m.now = next;
                m.step += 1;
                changed = true;
            }
        }
        self.moves.retain(|m| m.goal != 0 || m.now != 0);
        changed
    }

    /// True if a shift has not reached its goal.
    pub fn is_pending(&self) -> bool {
        self.moves.iter().any(|m| m.goal != m.now)
    }

    /// The region that a request from `from` is shifted to, if any. `draw` is uniform in [0, 1).
    pub fn region(&self, from: &RegionId, draw: f64) -> Option<&RegionId> {
        let mut remaining = (draw * f64::from(FULL_SHARE_PPM)) as u32;
        for m in self.moves.iter().filter(|m| &m.from == from) {
            if remaining < m.now {
                return Some(&m.to);
            }
            remaining -= m.now;
        }
        None
    }

    /// Total number of steps made by all shifts.
    pub fn steps(&self) -> u64 {
        self.moves.iter().map(|m| m.step).sum()
    }
}

impl PlannedShift {
    /// The larger of its present and its final share.
    fn max_share(&self) -> u32 {
        self.goal.max(self.now)
    }
}

/// Decides when an entry VM may propose the next step: one interval after it first saw the current
/// version of the plan.
#[derive(Clone, Debug)]
pub struct StepTimer {
    /// The version of the plan that was last seen.
    version: u64,
    /// Time at which that version was first seen.
    seen: Instant,
}

impl StepTimer {
    /// A timer that has seen no version yet.
    pub fn new(now: Instant) -> Self {
        Self { version: 0, seen: now }
    }

    /// True if `version` was first seen at least `interval` ago. An entry VM that has just started
    /// waits a full interval, too, since it doesn't know when the last step was made.
    pub fn is_due(&mut self, now: Instant, version: u64, interval: Duration) -> bool {
        if version != self.version {
            self.version = version;
            self.seen = now;
        }
        now >= self.seen + interval
    }
}
