//! HTTP client and server on top of `gotham`, `hyper` and `hyper-util`, used by the daemons, the
//! stand-ins and the command line.

mod byte_budget;
mod client;
mod connection;
mod head_scan;
mod headers;
mod linger;
mod metered;
mod port;
mod progress;
mod read_ahead;
mod respond;
mod response;
mod response_budget;
mod serve;
mod tls;
mod tracked;
mod unparsed;

pub(crate) use byte_budget::UNCOUNTED_BYTES;
pub use byte_budget::{ByteBudget, HeldBytes, HoldKind};
pub(crate) use client::ConnectionUse;
pub use client::{HttpClient, HttpError, ResponseTimeouts};
pub use connection::ConnectionLimits;
pub use head_scan::HeadScan;
pub(crate) use headers::{connection_options, header_text, is_hop_by_hop};
pub(crate) use metered::{MeteredBody, MeteredStream, READ_BUFFER_MAX, ReadMeter};
pub use port::{PortState, check_port};
pub use read_ahead::{
    Admission, AheadBudget, LaterRequests, OverlapKind, RequestHead, StartDecision, Step, Tracker,
    TrackerEvent,
};
pub use respond::{Arrival, Respond};
pub use response::{bytes_response, full_body, json_response, text_response};
pub(crate) use response::{is_undefined, promises_not_run};
pub use response_budget::{OverBudget, ResponseBudget};
pub use serve::Server;
pub use tls::tls_acceptor;
pub(crate) use tracked::hold_until_sent;
pub use unparsed::UnparsedCause;
