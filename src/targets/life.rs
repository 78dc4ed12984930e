//! The life cycle of a target; its transitions are in `charts/target.toml`.

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
    /// No probe has succeeded since it was added, its process ended, or it returned from leaving or
    /// from a pause.
    Unproved,
    /// It serves with a fraction of its slots, since its caches are cold.
    Warming,
    /// It serves with all its slots.
    Serving,
    /// It failed several times in a row and gets no requests until a probe succeeds.
    Ejected,
    /// It has asked for a pause and gets neither requests nor probes until that is over.
    Paused,
    /// It gets no new requests; running ones may finish.
    Leaving,
}

/// An event that may change the state of a target.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetEvent {
    /// A probe succeeded.
    ProbeOk,
    /// The warm-up time is over.
    Warm,
    /// Several requests or probes in a row failed.
    Failing,
    /// Its process has ended or was replaced.
    Died,
    /// It has asked for a pause.
    Pause,
    /// The pause is over.
    Resume,
    /// It is drained, no longer owned, will be stopped by the platform soon, or has said that it
    /// leaves.
    Leave,
    /// The reason to leave no longer holds.
    Return,
}

/// The state chart of targets.
pub fn target_chart() -> &'static StateChart<TargetState, TargetEvent> {
    static CHART: OnceLock<StateChart<TargetState, TargetEvent>> = OnceLock::new();
    let text = include_str!("../charts/target.toml");
    CHART.get_or_init(|| StateChart::parse(text).expect("the chart is part of the program"))
}
