//! State charts in files: the code interprets the transitions that a chart lists.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One transition.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition<S, E> {
    from: Vec<S>,
    on: E,
    to: S,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File<S, E> {
    initial: S,
    transitions: Vec<Transition<S, E>>,
}

/// A chart with states `S` and events `E`. An event without a transition changes nothing.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    initial: S,
    /// At most one transition for a state and an event.
    next: BTreeMap<(S, E), S>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Ord + DeserializeOwned + std::fmt::Debug,
    E: Copy + Ord + DeserializeOwned + std::fmt::Debug,
{
    /// Reads a chart.
    ///
    /// # Errors
    /// Fails if the text is no chart or lists two transitions for one state and event.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let file: File<S, E> = toml::from_str(text)?;
        let mut next = BTreeMap::new();
        for transition in file.transitions {
            for from in transition.from {
                let key = (from, transition.on);
                let twice = next.insert(key, transition.to).is_some();
                anyhow::ensure!(!twice, "two transitions for {key:?}");
            }
        }
        Ok(Self { initial: file.initial, next })
    }

    /// The first state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state after `event` in `state`.
    pub fn next(&self, state: S, event: E) -> S {
        self.next.get(&(state, event)).copied().unwrap_or(state)
    }
}
