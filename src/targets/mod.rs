//! Targets as their egress VM sees them: life cycle, slots, health, queue, and requests that kill.

mod book;
mod life;
mod poison;
mod queue;

pub use book::{
    AssignedSlot, AttemptResult, DispatchLimits, Dispatcher, OwnedTarget, SlotDecision,
};
pub use life::{TargetEvent, TargetState, target_chart};
pub use poison::{CrashTracker, Quarantine};
pub use queue::{Queue, QueuedRequest, Shed};
