//! Bodies, simple responses, and what a status promises.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Creates a response with the given content type.
pub fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: &str) -> Response<Bytes> {
    bytes_response(status, "text/plain", Bytes::from(text.to_owned()))
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).unwrap_or_else(|e| e.to_string().into_bytes());
    bytes_response(status, "application/json", Bytes::from(body))
}

/// Returns true if HTTP defines no class for this status (RFC 9110, section 15). No caller may get it.
pub(crate) fn is_undefined(status: StatusCode) -> bool {
    status.as_u16() > 599
}

/// True if a response with this status promises that its request has not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
