//! What the front reads from the head of a caller's request.

use std::time::Duration;

use http::header::{AUTHORIZATION, CONTENT_LENGTH, COOKIE};
use http::{HeaderMap, StatusCode};

use crate::net::header_text;
use crate::steer::TableIndex;

use super::Front;
use super::request::RequestError;

/// The API key in a request's `Authorization` header.
pub(crate) fn api_key<'a>(front: &Front, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = header_text(headers, AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(&front.headers.key_scheme).then_some(key.trim())
}

/// Rejects a request whose headers or announced body exceed the limits of the routing table.
pub(crate) fn check_size(headers: &HeaderMap, index: &TableIndex) -> Result<(), RequestError> {
    let bounds = index.table().bounds;
    let length = header_text(headers, CONTENT_LENGTH).and_then(|v| v.parse::<u64>().ok());
    if length.is_some_and(|l| l > bounds.body_bytes) {
        return Err(RequestError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "long-body",
            "the body is longer than the limit",
        ));
    }
    let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    if size as u64 > bounds.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(RequestError::new(
            status,
            "long-head",
            "the headers are longer than the limit",
        ));
    }
    Ok(())
}

/// The caller's timeout from the deadline header; effectively unlimited without one.
pub(crate) fn caller_timeout(front: &Front, headers: &HeaderMap) -> Duration {
    let value = header_text(headers, &front.headers.deadline).and_then(|v| v.parse().ok());
    value.map_or(Duration::MAX / 4, Duration::from_millis)
}

/// The affinity key from a request's cookie.
pub(crate) fn affinity_key<'a>(front: &Front, headers: &'a HeaderMap) -> Option<&'a str> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|p| p.trim().split_once('='));
    pairs.find(|(name, _)| *name == front.headers.affinity_cookie).map(|(_, key)| key)
}
