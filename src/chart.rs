//! State machines whose states and transitions are listed in TOML files (`src/charts`).

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One transition, from any of several states.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition<S, E> {
    from: Vec<S>,
    on: E,
    to: S,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile<S, E> {
    initial: S,
    transitions: Vec<Transition<S, E>>,
}

/// A state chart with states `S` and events `E`. An event without a transition from the current
/// state leaves the state as it is.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    initial: S,
    /// The next state by current state and event.
    transitions: BTreeMap<(S, E), S>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Ord + DeserializeOwned + std::fmt::Debug,
    E: Copy + Ord + DeserializeOwned + std::fmt::Debug,
{
    /// Parses a chart in TOML.
    ///
    /// # Errors
    /// Fails if `text` isn't a chart, or lists two transitions for the same state and event.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let file: ChartFile<S, E> = toml::from_str(text)?;
        let mut transitions = BTreeMap::new();
        for transition in file.transitions {
            for from in transition.from {
                let key = (from, transition.on);
                let duplicate = transitions.insert(key, transition.to).is_some();
                anyhow::ensure!(!duplicate, "two transitions for state and event {key:?}");
            }
        }
        Ok(Self { initial: file.initial, transitions })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that follows `state` on `event`.
    pub fn next(&self, state: S, event: E) -> S {
        self.transitions.get(&(state, event)).copied().unwrap_or(state)
    }
}
