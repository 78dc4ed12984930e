//! HTTP client and server on top of `gotham`, `hyper` and `hyper-util`, used by the daemons, the
//! stand-ins and the command line.

mod client;
mod headers;
mod serve;
mod tls;

pub use client::{HttpClient, HttpError};
pub(crate) use headers::{connection_listed, ends_at_hop, header_text};
pub use serve::{
    Respond, ServeBounds, Server, bytes_response, json_response, text_response, whole_body,
};
pub use tls::acceptor;
