//! Stand-ins for what is outside the system: the platform's store, targets, and the links between
//! machines. Each listens on a second port, its fault port, through which faults are injected. They
//! are used by the demo, the tests and load runs.

mod link;
mod store;
mod target;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::net::text_response;

pub use link::{LinkFault, LinkFaults, LinkStandin, PortForward};
pub use store::{StoreCounts, StoreFaults, StoreMode, StoreStandin};
pub use target::{ExecutedRequest, TargetFaults, TargetStandin};

/// Parses the JSON body of a request to a fault port; the error is the response to send.
fn read_json<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, Box<Response<Bytes>>> {
    serde_json::from_slice(request.body())
        .map_err(|e| Box::new(text_response(StatusCode::BAD_REQUEST, &e.to_string())))
}
