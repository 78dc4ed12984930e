//! What targets say of themselves in the heads of their responses.

/// Header with which a target says that it leaves.
pub(crate) const LEAVING_HEADER: &str = "x-shallot-leaving";
