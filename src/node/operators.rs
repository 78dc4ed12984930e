//! The operators' port: routes HTTP requests to documents, keys, drains, shifts, status, metrics
//! and the records of requests. All paths except those of liveness, readiness and metrics need the
//! operators' token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::model::VmId;
use crate::net::{Respond, bytes_response, header_text, json_response, text_response};
use crate::peer::{Body, ExplainRequest};

use super::changes::{self, ChangeReport, OperatorError};
use super::{Node, records, status};

/// Longest wait for the record of a request from another VM.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers requests on the operators' port.
pub(crate) struct OperatorHandler {
    node: Arc<Node>,
    /// SHA-256 of the operators' token.
    token_digest: [u8; 32],
}

impl OperatorHandler {
    pub(crate) fn new(node: Arc<Node>, token: String) -> Self {
        Self { node, token_digest: Sha256::digest(token.as_bytes()).into() }
    }

    fn is_allowed(&self, request: &Request<Bytes>) -> bool {
        let text = header_text(request.headers(), http::header::AUTHORIZATION).unwrap_or_default();
        let given = Sha256::digest(text.strip_prefix("Bearer ").unwrap_or_default().as_bytes());
        self.token_digest.as_slice().ct_eq(given.as_slice()).into()
    }

    async fn route(&self, request: &Request<Bytes>) -> Result<Response<Bytes>, OperatorError> {
        let node = &self.node;
        let query = Query::of(request);
        let path: Vec<&str> = request.uri().path().trim_matches('/').split('/').collect();
        match (request.method().as_str(), path.as_slice()) {
            ("GET", ["v1", "status"]) => Ok(json_response(StatusCode::OK, &status::status(node))),
            ("GET", ["v1", "services"]) => {
                Ok(json_response(StatusCode::OK, &status::services(node)))
            }
            ("GET", ["v1", "services", name]) => {
                let document = changes::get_document(node, name, query.number("version")?).await?;
                Ok(json_response(StatusCode::OK, &document))
            }
            ("PUT", ["v1", "services", name]) => {
                let text = document_text(request)?;
                change_response(
                    changes::apply_document(node, name, text, query.number("expect")?).await,
                )
            }
            ("DELETE", ["v1", "services", name]) => {
                change_response(changes::remove_document(node, name, query.number("expect")?).await)
            }
            ("POST", ["v1", "services", name, "shift"]) => {
                change_response(changes::request_shift(node, name, &parse(request)?).await)
            }
            ("POST", ["v1", "keys", customer]) => {
                change_response(changes::issue_key(node, customer).await)
            }
            ("GET", ["v1", "keys", customer]) => {
                Ok(json_response(StatusCode::OK, &changes::list_keys(node, customer).await?))
            }
            ("DELETE", ["v1", "keys", customer, digest]) => {
                change_response(changes::withdraw_key(node, customer, digest).await)
            }
            ("POST", ["v1", "drains"]) => {
                change_response(changes::set_drain(node, &parse(request)?, true).await)
            }
            ("DELETE", ["v1", "drains"]) => {
                change_response(changes::set_drain(node, &parse(request)?, false).await)
            }
            ("GET", ["v1", "requests", id]) => explain(node, id).await,
            _ => Err(OperatorError::NotFound(
                "no such method and path; see docs/INTERFACES.md".to_owned(),
            )),
        }
    }
}

#[async_trait]
impl Respond for OperatorHandler {
    async fn respond(&self, request: Request<Bytes>, _: SocketAddr) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => text_response(StatusCode::OK, "live"),
            (&Method::GET, "/ready") => return status::ready(&self.node),
            (&Method::GET, "/metrics") => {
                text_response(StatusCode::OK, &status::metrics(&self.node))
            }
            _ if !self.is_allowed(&request) => error_response(
                StatusCode::UNAUTHORIZED,
                "send the operators' token in `authorization: Bearer TOKEN`",
            ),
            _ => match self.route(&request).await {
                Ok(response) => response,
                Err(e) => error_response(e.status(), &e.to_string()),
            },
        }
    }
}

/// Finds the record of a request here or at the VM that received it, which its id names.
async fn explain(node: &Node, id: &str) -> Result<Response<Bytes>, OperatorError> {
    let decoded = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
    let missing = || OperatorError::NotFound(format!("request {decoded} has no record"));
    if let Some(record) = node.records.find(&decoded) {
        return Ok(json_response(StatusCode::OK, &record));
    }
    let vm = records::vm_of(&decoded).map(VmId::new).ok_or_else(missing)?;
    let peer = node.mesh.peer(&vm).ok_or_else(missing)?;
    let body = Body::ExplainRequest(ExplainRequest { request: decoded.to_string() });
    match peer.client.call(body, EXPLAIN_TIMEOUT).await {
        Ok(Body::ExplainResponse(e)) if !e.record.is_empty() => {
            Ok(bytes_response(StatusCode::OK, "application/json", Bytes::from(e.record)))
        }
        _ => Err(missing()),
    }
}

struct Query(BTreeMap<String, String>);

impl Query {
    fn of(request: &Request<Bytes>) -> Self {
        let query = request.uri().query().unwrap_or_default();
        Self(url::form_urlencoded::parse(query.as_bytes()).into_owned().collect())
    }

    fn number(&self, name: &str) -> Result<Option<u64>, OperatorError> {
        let bad = |v: &String| OperatorError::Invalid(format!("{name}: {v:?} is not a number"));
        self.0.get(name).map(|v| v.parse().map_err(|_| bad(v))).transpose()
    }
}

fn change_response(
    outcome: Result<ChangeReport, OperatorError>,
) -> Result<Response<Bytes>, OperatorError> {
    outcome.map(|changed| json_response(StatusCode::OK, &changed))
}

fn document_text(request: &Request<Bytes>) -> Result<String, OperatorError> {
    String::from_utf8(request.body().to_vec())
        .map_err(|_| OperatorError::Invalid("the document is not UTF-8".to_owned()))
}

fn parse<T: serde::de::DeserializeOwned>(request: &Request<Bytes>) -> Result<T, OperatorError> {
    serde_json::from_slice(request.body())
        .map_err(|e| OperatorError::Invalid(format!("parse the request body: {e}")))
}

fn error_response(status: StatusCode, detail: &str) -> Response<Bytes> {
    json_response(status, &BTreeMap::from([("error", detail)]))
}
