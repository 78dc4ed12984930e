//! The steps of planned shifts.
//!
//! A shift goes on only by a conditional update of the plan in the store. Any entry VM may propose
//! the next step; the store takes one. With the store out, the last step stays in force.

use std::time::{Duration, Instant};

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{RegionId, Shift};

/// Parts of a whole, for shares of traffic.
const WHOLE: u32 = 1_000_000;

/// A shift of one region's traffic to another.
#[apply(record!)]
#[derive(Eq)]
pub struct Move {
    /// The region whose callers' traffic moves.
    pub from: RegionId,
    /// The region that takes it.
    pub to: RegionId,
    /// Share to be moved in the end, in millionths.
    pub goal: u32,
    /// Share moved now, in millionths.
    pub now: u32,
    /// Steps made so far.
    pub step: u64,
}

/// The planned shifts of one service.
#[apply(record!)]
#[derive(Eq, Default)]
pub struct ShiftPlan {
    /// The shifts; at most one for a pair of regions. The shares out of a region are at most a
    /// whole together.
    pub moves: Vec<Move>,
}

/// A plan that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// A share is not from 0 to 1.
    #[error("share {0} is not from 0 to 1")]
    Share(String),
    /// Both ends are the same region.
    #[error("from and to are both {0}")]
    SameRegion(RegionId),
    /// More than all traffic of a region would move.
    #[error("more than all traffic of {0} would move")]
    TooMuch(RegionId),
}

impl ShiftPlan {
    /// Orders that `share` of the traffic of `from` goes to `to` in the end.
    ///
    /// # Errors
    /// Fails if the share or the regions are not allowed; the plan is then unchanged.
    pub fn set_goal(
        &mut self,
        from: &RegionId,
        to: &RegionId,
        share: f64,
    ) -> Result<(), PlanError> {
        if !(0.0..=1.0).contains(&share) {
            return Err(PlanError::Share(share.to_string()));
        }
        if from == to {
            return Err(PlanError::SameRegion(from.clone()));
        }
        let goal = (share * f64::from(WHOLE)) as u32;
        let others: u32 =
            self.moves.iter().filter(|m| &m.from == from && &m.to != to).map(Move::largest).sum();
        if others + goal > WHOLE {
            return Err(PlanError::TooMuch(from.clone()));
        }
        match self.moves.iter_mut().find(|m| &m.from == from && &m.to == to) {
            Some(found) => found.goal = goal,
            None => {
                let (from, to) = (from.clone(), to.clone());
                self.moves.push(Move { from, to, goal, now: 0, step: 0 });
            }
        }
        Ok(())
    }

    /// Makes the next step: in each region at most the cap of `shift` moves. Returns false if all
    /// shifts are at their goals.
    pub fn advance(&mut self, shift: &Shift) -> bool {
        let cap = (shift.cap * f64::from(WHOLE)) as u32;
        let mut spent: Vec<(RegionId, u32)> = Vec::new();
        let mut stepped = false;
        for m in &mut self.moves {
            let used = spent.iter().filter(|(r, _)| r == &m.from).map(|(_, n)| n).sum::<u32>();
            let room = cap.saturating_sub(used);
            let next = match m.goal >= m.now {
                true => m.goal.min(m.now.saturating_add(room)),
                false => m.goal.max(m.now.saturating_sub(room)),
            };
            if next != m.now {
                spent.push((m.from.clone(), next.abs_diff(m.now)));
                m.now = next;
                m.step += 1;
                stepped = true;
            }
        }
        self.moves.retain(|m| m.goal != 0 || m.now != 0);
        stepped
    }

    /// True if a step is still to be made.
    pub fn is_pending(&self) -> bool {
        self.moves.iter().any(|m| m.goal != m.now)
    }

    /// The region that takes a request from `from`; `draw` is uniform from 0 to 1.
    pub fn region(&self, from: &RegionId, draw: f64) -> Option<&RegionId> {
        let mut left = (draw * f64::from(WHOLE)) as u32;
        for m in self.moves.iter().filter(|m| &m.from == from) {
            if left < m.now {
                return Some(&m.to);
            }
            left -= m.now;
        }
        None
    }

    /// Steps made over all shifts.
    pub fn steps(&self) -> u64 {
        self.moves.iter().map(|m| m.step).sum()
    }
}

impl Move {
    fn largest(&self) -> u32 {
        self.goal.max(self.now)
    }
}

/// Says when the next step may be proposed: an interval after the last one was seen.
#[derive(Clone, Debug)]
pub struct StepTimer {
    /// The version of the plan that was seen last.
    version: u64,
    seen: Instant,
}

impl StepTimer {
    /// Has seen nothing yet.
    pub fn new(now: Instant) -> Self {
        Self { version: 0, seen: now }
    }

    /// True if `version` of the plan has been seen for the whole interval. A starting entry VM
    /// waits a whole interval too, since it can't know when the last step was made.
    pub fn is_due(&mut self, now: Instant, version: u64, interval: Duration) -> bool {
        if version != self.version {
            self.version = version;
            self.seen = now;
        }
        now >= self.seen + interval
    }
}
