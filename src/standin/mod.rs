//! Stand-ins for what is outside the system: the platform's store, targets, and the links between
//! machines. Each has a port of its own on which faults are set. The demo, the tests and the load
//! tool use the same ones.

mod link;
mod store;
mod target;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::net::text_response;

pub use link::{Cut, LinkFaults, LinkStandin, PortForward};
pub use store::{StoreCounts, StoreFaults, StoreMode, StoreStandin};
pub use target::{ExecutedRequest, TargetFaults, TargetStandin};

/// Reads the JSON that was sent to a fault port; the error is the answer to give.
fn read_json<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, Box<Response<Bytes>>> {
    serde_json::from_slice(request.body())
        .map_err(|e| Box::new(text_response(StatusCode::BAD_REQUEST, &e.to_string())))
}
