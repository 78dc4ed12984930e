//! The life cycle of a target, as `charts/target.toml` states it.

use std::sync::OnceLock;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::chart::StateChart;
use crate::common::plain;

/// A state of a target.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// No probe has succeeded yet.
    Unproved,
    /// It serves with a part of its slots, since its caches are cold.
    Warming,
    /// It serves with all its slots.
    Serving,
    /// It failed too often and gets no work until a probe succeeds.
    Ejected,
    /// It gets no new work; what runs may finish.
    Leaving,
}

/// What happens to a target.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetEvent {
    /// A probe was answered.
    ProbeOk,
    /// The warm-up time is over.
    Warm,
    /// Several requests in a row failed.
    Failing,
    /// Its process has ended.
    Died,
    /// It is drained, or the platform stops it soon.
    Leave,
    /// The drain was taken back.
    Return,
}

/// The chart of targets.
pub fn target_chart() -> &'static StateChart<TargetState, TargetEvent> {
    static CHART: OnceLock<StateChart<TargetState, TargetEvent>> = OnceLock::new();
    let text = include_str!("../charts/target.toml");
    CHART.get_or_init(|| StateChart::parse(text).expect("the chart is part of the program"))
}
