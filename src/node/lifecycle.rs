//! The life cycle of the daemon. Its transitions are in `charts/daemon.toml`.

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
    /// It serves requests, and look-ups name it.
    Ready,
    /// Look-ups no longer name it; it still serves requests.
    Leaving,
    /// It accepts no new connections and finishes the requests in flight.
    Draining,
    /// It no longer serves, and its process is about to exit.
    Stopped,
}

/// An event that changes the state of the daemon.
#[apply(plain!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DaemonEvent {
    /// It has received a configuration.
    Configured,
    /// It has been told to stop.
    Stop,
    /// Every look-up that names it has expired.
    NoticeOver,
    /// It has finished or aborted its requests and, where possible, transferred what it owned.
    Idle,
}

/// The state of this daemon.
#[derive(Debug)]
pub(crate) struct Lifecycle(Mutex<DaemonState>);

impl Default for Lifecycle {
    fn default() -> Self {
        Self(Mutex::new(chart().initial()))
    }
}

impl Lifecycle {
    pub(crate) fn state(&self) -> DaemonState {
        *self.0.lock().expect("lifecycle lock")
    }

    /// True once the daemon has a configuration or has been told to stop.
    pub(crate) fn is_configured(&self) -> bool {
        self.state() != DaemonState::Starting
    }

    /// True once the daemon has been told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.state() >= DaemonState::Leaving
    }

    /// Applies an event and returns the new state.
    pub(crate) fn apply(&self, event: DaemonEvent) -> DaemonState {
        let mut state = self.0.lock().expect("lifecycle lock");
        let next = chart().next(*state, event);
        if next != *state {
            log::info!("daemon: State is now {next:?}.");
            *state = next;
        }
        next
    }
}

fn chart() -> &'static StateChart<DaemonState, DaemonEvent> {
    static CHART: OnceLock<StateChart<DaemonState, DaemonEvent>> = OnceLock::new();
    let text = include_str!("../charts/daemon.toml");
    CHART.get_or_init(|| StateChart::parse(text).expect("charts/daemon.toml is valid"))
}
