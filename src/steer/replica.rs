//! A copy of what the store holds of one kind, with its age, that can be handed on as changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use crate::common::plain;
use macro_rules_attribute::apply;

/// Most removals remembered; who is further behind gets everything.
const GONE_MAX: usize = 512;

/// The kinds that entry VMs follow.
#[apply(plain!)]
pub enum Feed {
    /// The configuration.
    Table,
    /// The targets.
    Targets,
    /// Zones that are to get no work.
    Evacuations,
    /// The entry VMs.
    Vms,
}

impl Feed {
    /// All feeds.
    pub const ALL: [Feed; 4] = [Feed::Table, Feed::Targets, Feed::Evacuations, Feed::Vms];

    /// The feed with number `number`.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(number as usize).copied()
    }

    /// The feed's number.
    pub fn number(self) -> u32 {
        self as u32
    }
}

/// One object, as the product writes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its name.
    pub name: String,
    /// The store's revision of its last change.
    pub revision: u64,
    /// Its content as JSON; none if it is gone or can't be read.
    pub body: Option<Bytes>,
}

/// Changes of a feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// True if it lists everything, so that what is missing is gone.
    pub full: bool,
    /// The store's revision up to which the changes are known.
    pub mark: u64,
    /// What changed.
    pub items: Vec<Item>,
}

/// A copy of one feed.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    items: BTreeMap<String, (u64, Bytes)>,
    /// Removals, the oldest first.
    gone: VecDeque<(u64, String)>,
    /// Removals after this revision are all remembered.
    since: u64,
    mark: u64,
    /// When the copy was surely true; none before the first.
    fresh: Option<Duration>,
}

impl Replica {
    /// The revision up to which changes are known; 0 before the first.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// The copy's age.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh.map(|f| now.saturating_sub(f))
    }

    /// The content of one object, if it is held.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.items.get(name).map(|(_, body)| body)
    }

    /// The objects held.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.items.iter().map(|(name, (_, body))| (name.as_str(), body))
    }

    /// Takes in changes that were true at `fresh`, and returns the names of those that were news.
    pub fn apply(&mut self, delta: Delta, fresh: Duration) -> Vec<String> {
        let behind = delta.mark < self.mark;
        if delta.full && behind {
            return Vec::new();
        }
        let mut news = Vec::new();
        if delta.full {
            let kept: std::collections::HashSet<&str> =
                delta.items.iter().map(|i| i.name.as_str()).collect();
            let lost: Vec<String> =
                self.items.keys().filter(|n| !kept.contains(n.as_str())).cloned().collect();
            for name in lost {
                self.remove(&name, delta.mark, &mut news);
            }
        }
        for item in delta.items {
            match item.body {
                Some(body) => self.put(item.name, item.revision, body, &mut news),
                None => self.remove(&item.name, item.revision, &mut news),
            }
        }
        if !behind {
            if delta.full && self.mark == 0 {
                self.since = delta.mark;
            }
            self.mark = delta.mark;
            self.fresh = Some(self.fresh.map_or(fresh, |f| f.max(fresh)));
        }
        news
    }

    /// What has changed after `mark`.
    pub fn delta(&self, mark: u64) -> Delta {
        let full = mark == 0 || mark < self.since;
        let changed = self.items.iter().filter(|(_, (rev, _))| full || *rev > mark);
        let mut items: Vec<Item> = changed
            .map(|(name, (rev, body))| Item {
                name: name.clone(),
                revision: *rev,
                body: Some(body.clone()),
            })
            .collect();
        if !full {
            let gone = self
                .gone
                .iter()
                .filter(|(rev, name)| *rev > mark && !self.items.contains_key(name));
            items.extend(gone.map(|(rev, name)| Item {
                name: name.clone(),
                revision: *rev,
                body: None,
            }));
        }
        Delta { full, mark: self.mark, items }
    }

    fn put(&mut self, name: String, revision: u64, body: Bytes, news: &mut Vec<String>) {
        let known = self.items.get(&name).map(|(rev, _)| *rev);
        let removed = self.gone.iter().rev().find(|(_, n)| *n == name).map(|(rev, _)| *rev);
        if known.max(removed).is_some_and(|rev| revision <= rev) {
            return;
        }
        self.items.insert(name.clone(), (revision, body));
        news.push(name);
    }

    fn remove(&mut self, name: &str, revision: u64, news: &mut Vec<String>) {
        if self.items.get(name).is_none_or(|(rev, _)| *rev > revision) {
            return;
        }
        self.items.remove(name);
        self.gone.push_back((revision, name.to_owned()));
        if self.gone.len() > GONE_MAX
            && let Some((revision, _)) = self.gone.pop_front()
        {
            self.since = self.since.max(revision);
        }
        news.push(name.to_owned());
    }
}
