//! Planned shifts of traffic between regions, in steps that stay under the document's cap.

mod shift;

pub use shift::{Move, PlanError, ShiftPlan, StepTimer};
