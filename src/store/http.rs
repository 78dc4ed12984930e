//! A client of the platform's store over HTTP: `GET` and conditional `PUT` on `/v1/objects/`, and
//! long polls of `/v1/watch`.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};

use super::{Changes, Precondition, Revision, Store, StoreError, StoreErrorKind, Stored};
use crate::net::{HttpClient, HttpError, header_text};

/// Time limit of a read or write.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that the response to a watch may take beyond the wait that it asks for.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// [`Store`] over the HTTP interface of the platform.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: HttpClient,
    addr: String,
}

impl HttpStore {
    /// Creates a client of the store at `addr` (`host:port`).
    pub fn new(client: HttpClient, addr: impl Into<String>) -> Self {
        Self { client, addr: addr.into() }
    }

    async fn call(
        &self,
        step: &'static str,
        path: &str,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = request
            .body(body)
            .map_err(|e| self.error(step, path, StoreErrorKind::Invalid, e.to_string()))?;
        let response = self.client.send(request, timeout).await;
        response.map_err(|e| self.error(step, path, classify(&e), e.to_string()))
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}/v1/objects/{path}", self.addr))
    }

    fn error(
        &self,
        step: &'static str,
        path: &str,
        kind: StoreErrorKind,
        cause: impl Into<String>,
    ) -> StoreError {
        let (path, peer, cause) = (path.to_owned(), self.addr.clone(), cause.into());
        StoreError { step, path, peer, kind, cause }
    }

    fn unexpected_status(&self, step: &'static str, path: &str, status: StatusCode) -> StoreError {
        // A 5xx status can follow a write that was already applied.
        let kind = match status.is_server_error() {
            true => StoreErrorKind::Unknown,
            false => StoreErrorKind::Invalid,
        };
        self.error(step, path, kind, format!("status {status}"))
    }

    fn parse_revision(
        &self,
        step: &'static str,
        path: &str,
        response: &Response<Bytes>,
    ) -> Result<Revision, StoreError> {
        header_text(response.headers(), ETAG)
            .and_then(|v| v.trim_matches('"').parse().ok())
            .ok_or_else(|| {
                self.error(step, path, StoreErrorKind::Unknown, "the response has no valid ETag")
            })
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError> {
        let request = self.request(Method::GET, path);
        let response = self.call("read", path, request, Bytes::new(), CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {
                let revision = self.parse_revision("read", path, &response)?;
                Ok(Some(Stored { value: response.into_body(), revision }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.unexpected_status("read", path, status)),
        }
    }

    async fn write(
        &self,
        path: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<Revision, StoreError> {
        let request = self.request(Method::PUT, path);
        let request = match precondition {
            Precondition::Absent => request.header(IF_NONE_MATCH, "*"),
            Precondition::Revision(revision) => request.header(IF_MATCH, format!("\"{revision}\"")),
        };
        let response = self.call("write", path, request, value, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => self.parse_revision("write", path, &response),
            StatusCode::PRECONDITION_FAILED => Err(self.error(
                "write",
                path,
                StoreErrorKind::Conflict,
                "precondition failed: another writer changed the value",
            )),
            status => Err(self.unexpected_status("write", path, status)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let wait_ms = wait.as_millis();
        let query = format!("prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let uri = format!("http://{}/v1/watch?{query}", self.addr);
        let request = Request::builder().method(Method::GET).uri(uri);
        let response =
            self.call("watch", prefix, request, Bytes::new(), wait + WATCH_TIMEOUT_MARGIN).await?;
        if response.status() != StatusCode::OK {
            return Err(self.unexpected_status("watch", prefix, response.status()));
        }
        serde_json::from_slice(response.body())
            .map_err(|e| self.error("watch", prefix, StoreErrorKind::Invalid, e.to_string()))
    }
}

fn classify(error: &HttpError) -> StoreErrorKind {
    match error.maybe_sent {
        true => StoreErrorKind::Unknown,
        false => StoreErrorKind::Unreachable,
    }
}
