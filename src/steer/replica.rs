//! A copy of one feed of the store, with its age.
//!
//! A replica is updated from the store or from another entry VM's replica, and can give the changes
//! since any revision to the next VM. It never goes back to an older state.
//!
//! A store that is restored from a backup gives out revisions again. Each restore starts a new era, and
//! only revisions of one era can be compared: of another era, a replica takes a full state only.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use bytes::Bytes;

use crate::common::plain;
use macro_rules_attribute::apply;

/// Most removals kept. A peer whose revision is older than the oldest of them gets the full state.
const REMOVALS_MAX: usize = 512;

/// The kinds of objects in the store that entry VMs follow.
#[apply(plain!)]
pub enum Feed {
    /// The routing table; one object.
    Table,
    /// The records of the targets.
    Targets,
    /// The zones that get no requests.
    Evacuations,
    /// The records of the entry VMs.
    Vms,
}

impl Feed {
    /// All feeds.
    pub const ALL: [Feed; 4] = [Feed::Table, Feed::Targets, Feed::Evacuations, Feed::Vms];

    /// The feed with this number, if there is one.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(number as usize).copied()
    }

    /// The feed's number in messages.
    pub fn number(self) -> u32 {
        self as u32
    }
}

/// A state of the store. Of two eras, the higher one is later whatever the revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// Rises with each restore of the store; 0 if the store names none.
    pub era: u64,
    /// The store's revision; 0 before the first read.
    pub revision: u64,
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// One object of a feed, in the product's own JSON form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its name.
    pub name: String,
    /// The store's revision of its last change, in the era of the update or replica that holds it.
    pub revision: u64,
    /// Its content as JSON; `None` if it was removed or can't be read.
    pub body: Option<Bytes>,
}

/// Changes of a feed, or its full state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// True if `items` is the full state, so that every other object was removed.
    pub full: bool,
    /// High-water mark: the store's state up to which the changes are complete.
    pub mark: Mark,
    /// The changed objects.
    pub items: Vec<Item>,
}

/// A copy of one feed of the store.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Revision and content of each object, by name.
    items: BTreeMap<String, (u64, Bytes)>,
    /// Revision and name of the last removals, the oldest first.
    removals: VecDeque<(u64, String)>,
    /// All removals after this revision are in `removals`.
    removals_since: u64,
    mark: Mark,
    /// When the copy was last known to match the store; `None` before the first update.
    fresh_at: Option<Duration>,
}

impl Replica {
    /// The store's state up to which the copy is complete.
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// True if the store was restored between this copy and `delta`.
    pub fn is_restored_by(&self, delta: &Delta) -> bool {
        self.fresh_at.is_some() && delta.mark.era > self.mark.era
    }

    /// Time since the copy was last known to match the store; `None` before the first update.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh_at.map(|f| now.saturating_sub(f))
    }

    /// The content of one object, if it is held.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.items.get(name).map(|(_, body)| body)
    }

    /// The objects held.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.items.iter().map(|(name, (_, body))| (name.as_str(), body))
    }

    /// Applies changes that matched the store at `fresh_at`, and returns the names of the objects
    /// that changed here. A full state older than the copy is ignored, and so is any update of an
    /// earlier era, and changes of a later one.
    pub fn apply(&mut self, delta: Delta, fresh_at: Duration) -> Vec<String> {
        if delta.mark.era != self.mark.era {
            let replaces = delta.full && delta.mark.era > self.mark.era;
            return if replaces { self.replace(delta, fresh_at) } else { Vec::new() };
        }
        let behind = delta.mark < self.mark;
        if delta.full && behind {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if delta.full {
            let kept: std::collections::HashSet<&str> =
                delta.items.iter().map(|i| i.name.as_str()).collect();
            let removed: Vec<String> =
                self.items.keys().filter(|n| !kept.contains(n.as_str())).cloned().collect();
            for name in removed {
                self.remove(&name, delta.mark.revision, &mut changed);
            }
        }
        for item in delta.items {
            match item.body {
                Some(body) => self.put(item.name, item.revision, body, &mut changed),
                None => self.remove(&item.name, item.revision, &mut changed),
            }
        }
        if !behind {
            if delta.full && self.mark.revision == 0 {
                self.removals_since = delta.mark.revision;
            }
            self.set_mark(delta.mark, fresh_at);
        }
        changed
    }

    /// Replaces the copy by the full state of a later era, and returns the names of the objects whose
    /// contents differ.
    fn replace(&mut self, delta: Delta, fresh_at: Duration) -> Vec<String> {
        let mut old = std::mem::take(&mut self.items);
        let mut changed = Vec::new();
        for Item { name, revision, body } in delta.items {
            let Some(body) = body else { continue };
            if old.remove(&name).is_none_or(|(_, held)| held != body) {
                changed.push(name.clone());
            }
            self.items.insert(name, (revision, body));
        }
        changed.extend(old.into_keys());
        self.removals.clear();
        self.removals_since = delta.mark.revision;
        self.set_mark(delta.mark, fresh_at);
        changed
    }

    fn set_mark(&mut self, mark: Mark, fresh_at: Duration) {
        self.mark = mark;
        self.fresh_at = Some(self.fresh_at.map_or(fresh_at, |f| f.max(fresh_at)));
    }

    /// The changes after `mark`, or the full state if not all removals since then are kept.
    pub fn delta(&self, mark: Mark) -> Delta {
        let Mark { era, revision: mark } = mark;
        let full = mark == 0 || era != self.mark.era || mark < self.removals_since;
        let changed = self.items.iter().filter(|(_, (rev, _))| full || *rev > mark);
        let mut items: Vec<Item> = changed
            .map(|(name, (rev, body))| Item {
                name: name.clone(),
                revision: *rev,
                body: Some(body.clone()),
            })
            .collect();
        if !full {
            let removed = self
                .removals
                .iter()
                .filter(|(rev, name)| *rev > mark && !self.items.contains_key(name));
            items.extend(removed.map(|(rev, name)| Item {
                name: name.clone(),
                revision: *rev,
                body: None,
            }));
        }
        Delta { full, mark: self.mark, items }
    }

    fn put(&mut self, name: String, revision: u64, body: Bytes, changed: &mut Vec<String>) {
        let known = self.items.get(&name).map(|(rev, _)| *rev);
        let removed = self.removals.iter().rev().find(|(_, n)| *n == name).map(|(rev, _)| *rev);
        if known.max(removed).is_some_and(|rev| revision <= rev) {
            return;
        }
        self.items.insert(name.clone(), (revision, body));
        changed.push(name);
    }

    fn remove(&mut self, name: &str, revision: u64, changed: &mut Vec<String>) {
        if self.items.get(name).is_none_or(|(rev, _)| *rev > revision) {
            return;
        }
        self.items.remove(name);
        self.removals.push_back((revision, name.to_owned()));
        if self.removals.len() > REMOVALS_MAX
            && let Some((revision, _)) = self.removals.pop_front()
        {
            self.removals_since = self.removals_since.max(revision);
        }
        changed.push(name.to_owned());
    }
}
