//! The egress VM's state of the targets that it owns: life cycle, health, slots, the queue for
//! slots, and quarantine of requests that crash targets.

mod crashes;
mod dispatcher;
mod life;
mod notices;
mod outage;
mod queue;
mod tracked;

pub use crashes::{CrashReport, CrashTracker, Quarantine};
pub use dispatcher::{AssignedSlot, DispatchLimits, Dispatcher, SlotDecision};
pub use life::{TargetEvent, TargetState, target_chart};
pub use notices::{NoticeInForce, NoticeReport};
pub use outage::{ClosedTargets, Outage};
pub use queue::{Queue, QueuedRequest, Shed};
pub use tracked::{AttemptResult, OwnedTarget};
