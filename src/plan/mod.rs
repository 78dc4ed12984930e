//! Planned shifts of traffic between regions, made in steps that don't exceed the cap in the service
//! document. Operators set the goals; the node's planner proposes the steps.

mod shift;

pub use shift::{PlanError, PlannedShift, ShiftPlan, StepTimer};
