//! Versioned objects: what the platform's store keeps and the entry VMs spread.

use macro_rules_attribute::apply;

use crate::common::record;

/// The kinds of object of this system.
#[apply(record!)]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A service document.
    Service,
    /// The keys of one customer.
    Keys,
    /// The slice owners of one zone.
    Roster,
    /// The planned shifts of one service.
    Plan,
    /// Drained targets, VMs and zones.
    Drains,
    /// The platform's list of VMs; written by the platform only.
    Vms,
}

impl ObjectKind {
    /// All kinds, in the order in which a starting VM reads them.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Vms,
        ObjectKind::Roster,
        ObjectKind::Service,
        ObjectKind::Keys,
        ObjectKind::Drains,
        ObjectKind::Plan,
    ];

    /// The path segment of this kind.
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

    /// Reads a path segment.
    pub fn parse(text: &str) -> Option<ObjectKind> {
        ObjectKind::ALL.into_iter().find(|k| k.as_str() == text)
    }
}

/// The name of an object.
#[apply(record!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId {
    /// What it is.
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

/// An operation that wrote a version.
#[apply(record!)]
#[derive(Eq)]
pub struct Operation {
    /// Its name, never used again.
    pub name: String,
    /// The version that it wrote.
    pub version: u64,
}

/// A versioned object.
#[apply(record!)]
pub struct Object {
    /// Its name.
    pub id: ObjectId,
    /// Rises by one with every accepted write, also across deletion. Two objects with the same
    /// name and version have the same body: each version is the outcome of one conditional update.
    pub version: u64,
    /// The latest operations, oldest first; settle writes whose answers were lost. Empty in objects
    /// that come from a peer.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// True if this version deletes the object.
    pub deleted: bool,
    /// The content: TOML for documents, JSON for all other kinds.
    pub body: String,
}
