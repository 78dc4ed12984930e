//! The configuration objects that an entry VM has received.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use macro_rules_attribute::apply;

use crate::common::record;
use crate::model::{Object, ObjectId};

/// An object's name and one of its versions.
#[apply(record!)]
#[derive(Eq)]
pub struct ObjectVersion {
    /// The object.
    pub id: ObjectId,
    /// Its version.
    pub version: u64,
}

/// The result of [`Catalog::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The object was newer than the one in the catalog and has replaced it.
    Accepted,
    /// The catalog has this version already.
    Unchanged,
    /// The catalog has a newer version.
    Stale,
}

/// The newest received version of each object, deleted objects included. The version of an object
/// never decreases.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    objects: BTreeMap<ObjectId, Object>,
}

impl Catalog {
    /// Stores `object` if it is newer than the version in the catalog.
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

    /// The object with this id, which may be a deleted one.
    pub fn get(&self, id: &ObjectId) -> Option<&Object> {
        self.objects.get(id)
    }

    /// The version of the object with this id, or 0 if there is none.
    pub fn version(&self, id: &ObjectId) -> u64 {
        self.objects.get(id).map_or(0, |o| o.version)
    }

    /// All objects, deleted ones included.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The versions of all objects.
    pub fn versions(&self) -> Vec<ObjectVersion> {
        let version = |o: &Object| ObjectVersion { id: o.id.clone(), version: o.version };
        self.objects.values().map(version).collect()
    }

    /// The objects that are newer here than in a catalog with the versions `theirs`.
    pub fn newer_than(&self, theirs: &[ObjectVersion]) -> Vec<Object> {
        let known: BTreeMap<&ObjectId, u64> = theirs.iter().map(|v| (&v.id, v.version)).collect();
        let is_newer = |o: &&Object| known.get(&o.id).copied().unwrap_or(0) < o.version;
        self.objects.values().filter(is_newer).cloned().collect()
    }

    /// A digest of the ids and versions of all objects. Catalogs with equal versions have equal
    /// digests, so that VMs can compare them without sending all versions.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for object in self.objects.values() {
            (&object.id, object.version).hash(&mut hasher);
        }
        hasher.finish()
    }
}
