//! Headers that concern one connection.

use http::HeaderMap;
use http::header::CONNECTION;

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
