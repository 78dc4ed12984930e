//! Versioned objects, which the platform's store keeps and the entry VMs distribute.

use macro_rules_attribute::apply;

use crate::common::record;

/// The kinds of objects.
#[apply(record!)]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A service document.
    Service,
    /// The keys of one customer.
    Keys,
    /// What each entry VM owns: its share of the rates and its slices of the targets. One object.
    Roster,
    /// The planned shifts of traffic of one service.
    Plan,
    /// Drained targets, VMs and zones.
    Drains,
    /// The platform's list of VMs; only the platform writes it.
    Vms,
}

impl ObjectKind {
    /// All kinds, in the order in which a starting entry VM reads them.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Vms,
        ObjectKind::Roster,
        ObjectKind::Service,
        ObjectKind::Keys,
        ObjectKind::Drains,
        ObjectKind::Plan,
    ];

    /// The path segment of this kind in the store.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Service => "service",
            ObjectKind::Keys => "keys",
            ObjectKind::Roster => "roster",
            ObjectKind::Plan => "plan",
            ObjectKind::Drains => "drains",
            ObjectKind::Vms => "vms",
        }
    }

    /// Parses a path segment.
    pub fn parse(text: &str) -> Option<ObjectKind> {
        ObjectKind::ALL.into_iter().find(|k| k.as_str() == text)
    }
}

/// The identity of an object.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name within the kind.
    pub name: String,
}

impl ObjectId {
    /// The object `name` of `kind`.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl std::fmt::Display for ObjectId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// A write operation that created a version.
#[apply(record!)]
#[derive(Eq)]
pub struct Operation {
    /// Its unique name.
    pub name: String,
    /// The version that it created.
    pub version: u64,
}

/// A versioned object.
#[apply(record!)]
pub struct Object {
    /// Its identity.
    pub id: ObjectId,
    /// Rises by one with every write, also across deletion. Two objects with the same identity and
    /// version have the same body, since each version is created by one conditional update.
    pub version: u64,
    /// The latest operations, oldest first. They tell whether a write whose response was lost has
    /// succeeded. Empty in objects received from a peer.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// True if this version deletes the object.
    pub deleted: bool,
    /// The content: TOML for documents, JSON for all other kinds.
    pub body: String,
}
