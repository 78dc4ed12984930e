//! Reading headers: those of one connection, and those that are text.

use http::header::{AsHeaderName, CONNECTION};
use http::{HeaderMap, HeaderName};

/// Headers that concern one connection only, besides those that `connection` names.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The value of a header, if it is there and is text.
pub(crate) fn header_text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// The words of the `connection` header in lower case: headers that end at this hop, or `close`.
pub(crate) fn connection_listed(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect()
}

/// True if a header ends at this hop; `listed` are the words of the `connection` header.
pub(crate) fn ends_at_hop(name: &HeaderName, listed: &[String]) -> bool {
    HOP_HEADERS.contains(&name.as_str()) || listed.iter().any(|l| l == name.as_str())
}
