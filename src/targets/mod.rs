//! The egress VM's state of the targets that it owns: life cycle, health, slots, the queue for
//! slots, and quarantine of requests that crash targets.

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
