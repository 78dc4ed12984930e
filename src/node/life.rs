//! The life cycle of the daemon, as `charts/daemon.toml` states it.

use std::sync::{Mutex, OnceLock};

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::chart::StateChart;
use crate::common::plain;

/// A state of the daemon.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DaemonState {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// Look-ups no longer name it; it still serves.
    Leaving,
    /// It takes no new connections.
    Draining,
    /// It ends.
    Stopped,
}

/// What happens to the daemon.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DaemonEvent {
    /// It has a configuration.
    Configured,
    /// A stop is asked for.
    Stop,
    /// Every look-up that names it has run out.
    NoticeOver,
    /// No request is in flight.
    Idle,
}

/// The state of this daemon.
#[derive(Debug)]
pub(crate) struct Life(Mutex<DaemonState>);

impl Default for Life {
    fn default() -> Self {
        Self(Mutex::new(chart().initial()))
    }
}

impl Life {
    pub(crate) fn state(&self) -> DaemonState {
        *self.0.lock().expect("life lock")
    }

    /// True once there is a configuration.
    pub(crate) fn is_configured(&self) -> bool {
        self.state() != DaemonState::Starting
    }

    /// True once a stop was asked for.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state() >= DaemonState::Leaving
    }

    /// Applies an event and returns the new state.
    pub(crate) fn apply(&self, event: DaemonEvent) -> DaemonState {
        let mut state = self.0.lock().expect("life lock");
        let next = chart().next(*state, event);
        if next != *state {
            log::info!("daemon: State is {next:?}.");
            *state = next;
        }
        next
    }
}

fn chart() -> &'static StateChart<DaemonState, DaemonEvent> {
    static CHART: OnceLock<StateChart<DaemonState, DaemonEvent>> = OnceLock::new();
    let text = include_str!("../charts/daemon.toml");
    CHART.get_or_init(|| StateChart::parse(text).expect("the chart is part of the program"))
}
