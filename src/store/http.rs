//! The store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};

use super::{Changes, Expect, Revision, Store, StoreError, StoreFault, Stored};
use crate::net::{HttpClient, HttpError, header_text};

/// Longest wait for an answer other than a watch's.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// What a watch's answer may take beyond its own wait.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);

/// A client of the store's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: HttpClient,
    addr: String,
}

impl HttpStore {
    /// A client of the store at `addr` (`host:port`).
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
            .map_err(|e| self.error(step, path, StoreFault::Invalid, e.to_string()))?;
        let answer = self.client.send(request, timeout).await;
        answer.map_err(|e| self.error(step, path, fault_of(&e), e.to_string()))
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}/v1/objects/{path}", self.addr))
    }

    fn error(
        &self,
        step: &'static str,
        path: &str,
        fault: StoreFault,
        cause: impl Into<String>,
    ) -> StoreError {
        let (path, peer, cause) = (path.to_owned(), self.addr.clone(), cause.into());
        StoreError { step, path, peer, fault, cause }
    }

    fn unexpected(&self, step: &'static str, path: &str, status: StatusCode) -> StoreError {
        // A server error may come after the effect.
        let fault = match status.is_server_error() {
            true => StoreFault::Unknown,
            false => StoreFault::Invalid,
        };
        self.error(step, path, fault, format!("status {status}"))
    }

    fn revision(
        &self,
        step: &'static str,
        path: &str,
        answer: &Response<Bytes>,
    ) -> Result<Revision, StoreError> {
        header_text(answer.headers(), ETAG)
            .and_then(|v| v.trim_matches('"').parse().ok())
            .ok_or_else(|| self.error(step, path, StoreFault::Unknown, "no revision in the answer"))
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn read(&self, path: &str) -> Result<Option<Stored>, StoreError> {
        let request = self.request(Method::GET, path);
        let answer = self.call("read", path, request, Bytes::new(), CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => {
                let revision = self.revision("read", path, &answer)?;
                Ok(Some(Stored { value: answer.into_body(), revision }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.unexpected("read", path, status)),
        }
    }

    async fn write(
        &self,
        path: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, StoreError> {
        let request = self.request(Method::PUT, path);
        let request = match expect {
            Expect::Absent => request.header(IF_NONE_MATCH, "*"),
            Expect::Revision(revision) => request.header(IF_MATCH, format!("\"{revision}\"")),
        };
        let answer = self.call("write", path, request, value, CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => self.revision("write", path, &answer),
            StatusCode::PRECONDITION_FAILED => {
                Err(self.error("write", path, StoreFault::Conflict, "another write came first"))
            }
            status => Err(self.unexpected("write", path, status)),
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
        let answer = self.call("watch", prefix, request, Bytes::new(), wait + WATCH_SLACK).await?;
        if answer.status() != StatusCode::OK {
            return Err(self.unexpected("watch", prefix, answer.status()));
        }
        serde_json::from_slice(answer.body())
            .map_err(|e| self.error("watch", prefix, StoreFault::Invalid, e.to_string()))
    }
}

fn fault_of(error: &HttpError) -> StoreFault {
    match error.sent {
        true => StoreFault::Unknown,
        false => StoreFault::Unreachable,
    }
}
