//! HTTP client and server on top of `gotham`, `hyper` and `hyper-util`, used by the daemons, the
//! stand-ins and the command line.

mod client;
mod headers;
mod port;
mod serve;
mod tls;

pub use client::{HttpClient, HttpError};
pub(crate) use headers::{connection_options, header_text, is_hop_by_hop};
pub use port::{PortState, check_port};
pub use serve::{
    ConnectionLimits, Respond, Server, bytes_response, full_body, json_response, text_response,
};
pub use tls::tls_acceptor;
