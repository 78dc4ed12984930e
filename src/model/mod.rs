//! The data that is stored and distributed: identifiers, service documents, customers' keys, the
//! platform's VM list, drains and versioned objects; and whether a copy of them is recent enough.

mod document;
mod drain;
mod ids;
mod key;
mod object;
mod recency;
mod vms;

pub use document::{
    Customer, CutOff, Document, DocumentError, KeyPolicy, Limits, Link, PoolPlace, Route,
    ShiftLimits, parse_document,
};
pub use drain::{DrainSubject, Drains};
pub use ids::{
    Account, CustomerId, Incarnation, Place, RegionId, ServiceId, TargetId, VmId, ZoneId,
};
pub use key::{KeyDigest, KeyEntry, KeySet, KeyState, new_key};
pub use object::{Object, ObjectId, ObjectKind, Operation};
pub use recency::{NotRecent, check_recent};
pub use vms::{ListedVm, Target, VmList, VmState};
