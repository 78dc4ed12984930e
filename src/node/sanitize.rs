//! What of a request goes on to a target, and what of its answer goes back.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use memchr::memmem;
use percent_encoding::percent_decode;

use crate::net::{connection_options, is_hop_by_hop};
use crate::peer::Field;

use super::refusal::{Reason, Refusal};

/// The header in which keys are sent, besides `authorization`.
const KEY_HEADER: &str = "x-api-key";
/// Every issued key starts so.
const KEY_PREFIX: &str = "ssk_";

/// Headers that the sessions between entry VMs carry in another form, or that end here.
const LEFT_OUT: [&str; 4] = ["content-length", "host", "expect", "http2-settings"];

/// Headers that only this system sets.
const OWN_HEADERS: [&str; 6] = [
    "authorization",
    "proxy-authorization",
    KEY_HEADER,
    "x-request-id",
    "traceparent",
    "tracestate",
];

/// Prefixes of headers that claim an identity; callers can't set them.
const IDENTITY_PREFIXES: [&str; 4] = ["x-shallot-", "x-customer", "x-forwarded-", "forwarded"];

/// The key that a request carries.
///
/// # Errors
/// Refuses a request with no key or more than one.
pub(crate) fn key_of(headers: &HeaderMap) -> Result<String, Refusal> {
    let mut found = Vec::new();
    for value in headers.get_all(http::header::AUTHORIZATION) {
        let text = value.to_str().map_err(|_| bad("authorization is not text"))?;
        let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(Refusal::not_run(Reason::NoKey, "authorization must be a bearer key"));
        }
        found.push(key.trim().to_owned());
    }
    for value in headers.get_all(KEY_HEADER) {
        let text = value.to_str().map_err(|_| bad("x-api-key is not text"))?;
        found.push(text.trim().to_owned());
    }
    match found.len() {
        0 => Err(Refusal::not_run(Reason::NoKey, "send the key as a bearer key or in x-api-key")),
        1 => Ok(found.remove(0)),
        n => Err(Refusal::not_run(Reason::NoKey, format!("{n} keys; send exactly one"))),
    }
}

/// Refuses a request whose key stands where a target would see it.
///
/// # Errors
/// Refuses a key in the path, the query or the body.
pub(crate) fn check_leaks(uri: &Uri, body: &[u8], key: &str) -> Result<(), Refusal> {
    let target = uri.path_and_query().map_or("", |p| p.as_str());
    if holds_key(target.as_bytes(), key) {
        return Err(bad("a key stands in the path or query; send it in a header only"));
    }
    if contains(body, key.as_bytes()) {
        return Err(bad("the key stands in the body; send it in a header only"));
    }
    Ok(())
}

/// The headers for the target.
pub(crate) fn for_target(headers: &HeaderMap, key: &str) -> Vec<Field> {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &listed) && !is_own(name))
        .filter(|(name, value)| {
            !holds_key(value.as_bytes(), key) && !holds_key(name.as_str().as_bytes(), key)
        })
        .map(|(name, value)| field(name, value))
        .collect()
}

/// The headers of the target's answer for the caller.
pub(crate) fn for_caller(headers: &HeaderMap) -> Vec<Field> {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &listed))
        .filter(|(name, _)| !name.as_str().starts_with("x-shallot-"))
        .map(|(name, value)| field(name, value))
        .collect()
}

/// Fields as a header map; what is not a header is left out.
pub(crate) fn to_headers(fields: &[Field]) -> HeaderMap {
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

fn field(name: &HeaderName, value: &HeaderValue) -> Field {
    Field { name: name.as_str().to_owned(), value: Bytes::copy_from_slice(value.as_bytes()) }
}

fn is_own(name: &HeaderName) -> bool {
    let name = name.as_str();
    OWN_HEADERS.contains(&name) || IDENTITY_PREFIXES.iter().any(|p| name.starts_with(p))
}

fn is_end_to_end(name: &HeaderName, listed: &[String]) -> bool {
    !is_hop_by_hop(name, listed) && !LEFT_OUT.contains(&name.as_str())
}

/// True if `text` holds this key or anything that looks like an issued one, also when it is
/// percent-encoded once or twice.
fn holds_key(text: &[u8], key: &str) -> bool {
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
