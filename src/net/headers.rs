//! Helpers for HTTP headers: text values and hop-by-hop headers.

use http::header::{AsHeaderName, CONNECTION};
use http::{HeaderMap, HeaderName};

/// Headers that are never forwarded; the `connection` header can name more.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the value of a header if it is present and visible ASCII.
pub(crate) fn header_text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the options in the `connection` header in lower case: names of hop-by-hop headers, or
/// `close`.
pub(crate) fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect()
}

/// Returns true if a header must not be forwarded. `options` are those of the `connection` header.
pub(crate) fn is_hop_by_hop(name: &HeaderName, options: &[String]) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name.as_str()) || options.iter().any(|o| o == name.as_str())
}
