//! Reads the key and the service of a request, and filters headers in both directions: those that a
//! target gets and those of its response that the caller gets. A key never reaches a target.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use memchr::memmem;
use percent_encoding::{percent_decode, percent_decode_str};

use crate::model::ServiceId;
use crate::net::{connection_options, is_hop_by_hop};
use crate::peer::HeaderField;

use super::refusal::{Reason, Refusal};

/// The header in which keys are sent, besides `authorization`.
const KEY_HEADER: &str = "x-api-key";
/// Prefix of every issued key.
const KEY_PREFIX: &str = "ssk_";

/// Headers that are not forwarded: each connection sets its own, or they concern only the caller's
/// connection.
const DROPPED_HEADERS: [&str; 4] = ["content-length", "host", "expect", "http2-settings"];

/// Headers that only this system sets; those of callers are dropped.
const RESERVED_HEADERS: [&str; 6] = [
    "authorization",
    "proxy-authorization",
    KEY_HEADER,
    "x-request-id",
    "traceparent",
    "tracestate",
];

/// Prefixes of headers that state who the caller is; those of callers are dropped.
const IDENTITY_PREFIXES: [&str; 4] = ["x-shallot-", "x-customer", "x-forwarded-", "forwarded"];

/// The key that a request carries.
///
/// # Errors
/// Refuses a request with no key or more than one.
pub(crate) fn api_key(headers: &HeaderMap) -> Result<String, Refusal> {
    let mut found = Vec::new();
    for value in headers.get_all(http::header::AUTHORIZATION) {
        let text = value.to_str().map_err(|_| bad("authorization is not visible ASCII"))?;
        let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(Refusal::not_run(Reason::NoKey, "authorization must be `Bearer KEY`"));
        }
        found.push(key.trim().to_owned());
    }
    for value in headers.get_all(KEY_HEADER) {
        let text = value.to_str().map_err(|_| bad("x-api-key is not visible ASCII"))?;
        found.push(text.trim().to_owned());
    }
    match found.len() {
        0 => Err(Refusal::not_run(
            Reason::NoKey,
            "the request has no key; send one in authorization or x-api-key",
        )),
        1 => Ok(found.remove(0)),
        n => Err(Refusal::not_run(
            Reason::NoKey,
            format!("the request has {n} keys; send exactly one"),
        )),
    }
}

/// Splits `/service/rest` into the service and `/rest` with its query. Refuses a path that a target
/// could normalize to another path, since the route checked here would then not be the one served.
///
/// # Errors
/// Refuses such a path.
pub(crate) fn split_path(uri: &Uri) -> Result<(ServiceId, String), Refusal> {
    let path = uri.path();
    let decoded = percent_decode_str(path).decode_utf8_lossy().into_owned();
    let unsafe_segment = |s: &str| s == "." || s == ".." || s.contains('\\') || s.contains('\0');
    if decoded.split('/').any(unsafe_segment) || path.to_ascii_lowercase().contains("%2f") {
        return Err(bad("the path has dot segments, backslashes or encoded slashes"));
    }
    if path.contains("//") {
        return Err(bad("the path has empty segments"));
    }
    let rest = path.strip_prefix('/').ok_or_else(|| bad("the path must start with '/'"))?;
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((ServiceId::new(service), format!("/{rest}{query}")))
}

/// Refuses a request that has a key where a target would see it.
///
/// # Errors
/// Refuses any key in the path or the query, and the request's own key in the body.
pub(crate) fn reject_leaked_key(uri: &Uri, body: &[u8], key: &str) -> Result<(), Refusal> {
    let path_and_query = uri.path_and_query().map_or("", |p| p.as_str());
    if contains_key(path_and_query.as_bytes(), key) {
        return Err(bad("the path or query contains a key; send it in a header only"));
    }
    if contains(body, key.as_bytes()) {
        return Err(bad("the body contains the key; send it in a header only"));
    }
    Ok(())
}

/// The headers of a request for its target, without any that contains a key.
pub(crate) fn target_headers(headers: &HeaderMap, key: &str) -> Vec<HeaderField> {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &listed) && !is_reserved(name))
        .filter(|(name, value)| {
            !contains_key(value.as_bytes(), key) && !contains_key(name.as_str().as_bytes(), key)
        })
        .map(|(name, value)| field(name, value))
        .collect()
}

/// The headers of a target's response for the caller.
pub(crate) fn caller_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &listed))
        .filter(|(name, _)| !name.as_str().starts_with("x-shallot-"))
        .map(|(name, value)| field(name, value))
        .collect()
}

/// Fields as a header map; invalid names and values are left out.
pub(crate) fn to_headers(fields: &[HeaderField]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(field.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn field(name: &HeaderName, value: &HeaderValue) -> HeaderField {
    HeaderField { name: name.as_str().to_owned(), value: Bytes::copy_from_slice(value.as_bytes()) }
}

fn is_reserved(name: &HeaderName) -> bool {
    let name = name.as_str();
    RESERVED_HEADERS.contains(&name) || IDENTITY_PREFIXES.iter().any(|p| name.starts_with(p))
}

fn is_end_to_end(name: &HeaderName, listed: &[String]) -> bool {
    !is_hop_by_hop(name, listed) && !DROPPED_HEADERS.contains(&name.as_str())
}

/// True if `text` contains this key or the prefix of any issued key, also percent-encoded once or
/// twice.
fn contains_key(text: &[u8], key: &str) -> bool {
    let once: Vec<u8> = percent_decode(text).collect();
    let twice: Vec<u8> = percent_decode(&once).collect();
    [text, &once, &twice]
        .iter()
        .any(|t| contains(t, key.as_bytes()) || contains(t, KEY_PREFIX.as_bytes()))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && memmem::find(text, part).is_some()
}

fn bad(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
