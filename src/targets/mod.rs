//! Targets as their egress VM sees them: life cycle, slots, health, queue, and requests that kill.

mod book;
mod life;
mod poison;
mod queue;

pub use book::{Book, Ended, Known, Rules, Slot, Step};
pub use life::{TargetEvent, TargetState, target_chart};
pub use poison::{Poison, Quarantine};
pub use queue::{Queue, Shed, Work};
