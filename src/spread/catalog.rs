//! The objects that an entry VM holds.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Object, ObjectId};

/// A name and the version held.
#[apply(record!)]
#[derive(Eq)]
pub struct ObjectVersion {
    /// The object.
    pub id: ObjectId,
    /// Its version.
    pub version: u64,
}

/// What came of an offered object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer than what was held, and is now held.
    Accepted,
    /// It was held already.
    Unchanged,
    /// A newer version is held.
    Stale,
}

/// The objects held. The version of an object never falls.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    objects: BTreeMap<ObjectId, Object>,
}

impl Catalog {
    /// Offers an object.
    pub fn offer(&mut self, object: Object) -> OfferOutcome {
        let held = self.version(&object.id);
        if object.version > held {
            self.objects.insert(object.id.clone(), object);
            OfferOutcome::Accepted
        } else if object.version == held {
            OfferOutcome::Unchanged
        } else {
            OfferOutcome::Stale
        }
    }

    /// The object held, deleted or not.
    pub fn get(&self, id: &ObjectId) -> Option<&Object> {
        self.objects.get(id)
    }

    /// The version held, or 0.
    pub fn version(&self, id: &ObjectId) -> u64 {
        self.objects.get(id).map_or(0, |o| o.version)
    }

    /// All objects.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The versions of all objects.
    pub fn versions(&self) -> Vec<ObjectVersion> {
        let version = |o: &Object| ObjectVersion { id: o.id.clone(), version: o.version };
        self.objects.values().map(version).collect()
    }

    /// The objects that a holder of `theirs` lacks.
    pub fn newer_than(&self, theirs: &[ObjectVersion]) -> Vec<Object> {
        let known: BTreeMap<&ObjectId, u64> = theirs.iter().map(|v| (&v.id, v.version)).collect();
        let lacks = |o: &&Object| known.get(&o.id).copied().unwrap_or(0) < o.version;
        self.objects.values().filter(lacks).cloned().collect()
    }

    /// A digest over all versions; equal catalogs have equal digests.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for object in self.objects.values() {
            (&object.id, object.version).hash(&mut hasher);
        }
        hasher.finish()
    }
}
