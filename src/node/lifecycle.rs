//! The life cycle of the daemon. Its transitions are in `charts/daemon.toml`.

use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::chart::StateChart;
use crate::clock;
use crate::common::plain;

use super::stop_schedule::DaemonStop;

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
pub(crate) struct Lifecycle {
    state: Mutex<DaemonState>,
    /// Set when a graceful stop has begun.
    schedule: OnceLock<DaemonStop>,
    /// True once requests in progress must get a response, since the daemon is about to exit.
    requests_end: watch::Sender<bool>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            state: Mutex::new(chart().initial()),
            schedule: OnceLock::new(),
            requests_end: watch::Sender::new(false),
        }
    }
}

impl Lifecycle {
    pub(crate) fn state(&self) -> DaemonState {
        *self.state.lock().expect("lifecycle lock")
    }

    /// True once the daemon has a configuration or has been told to stop.
    pub(crate) fn is_configured(&self) -> bool {
        self.state() != DaemonState::Starting
    }

    /// True if lookups, readiness and heartbeats may name this VM to callers.
    pub(crate) fn names_vm(&self) -> bool {
        self.schedule.get().is_none_or(|s| s.names_vm(clock::now()))
    }

    /// True if this VM may hold pools of rates, and take targets and rates from the roster.
    pub(crate) fn holds_leases(&self) -> bool {
        self.schedule.get().is_none_or(|s| s.holds_leases(clock::now()))
    }

    /// Begins a graceful stop; further ones change nothing.
    pub(crate) fn stop(&self, schedule: DaemonStop) {
        let _ = self.schedule.set(schedule);
        self.apply(DaemonEvent::Stop);
    }

    /// True if a request with so much time `left` may be sent to a target; a stopping daemon refuses
    /// those that it may not finish.
    pub(crate) fn accepts(&self, left: Duration) -> bool {
        let now = clock::now();
        self.schedule.get().is_none_or(|s| s.accepts(now, now.saturating_add(left)))
    }

    /// True if a request with so much time `left` may be sent to another target.
    pub(crate) fn may_retry(&self, left: Duration) -> bool {
        let now = clock::now();
        self.schedule.get().is_none_or(|s| s.may_retry(now, now.saturating_add(left)))
    }

    /// Ends the requests of callers that are still in progress.
    pub(crate) fn end_requests(&self) {
        self.requests_end.send_replace(true);
    }

    /// Returns when requests in progress must end with an error.
    pub(crate) async fn requests_end(&self) {
        // Does not fail: the sender is here.
        let _ = self.requests_end.subscribe().wait_for(|end| *end).await;
    }

    /// Applies an event and returns the new state.
    pub(crate) fn apply(&self, event: DaemonEvent) -> DaemonState {
        let mut state = self.state.lock().expect("lifecycle lock");
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
