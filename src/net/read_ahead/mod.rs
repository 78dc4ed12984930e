//! Reads the requests of a connection ahead of `hyper`, so that pipelined requests which may overlap run
//! concurrently. `hyper` still parses, orders and encodes; docs/design/pipelining.md has the rules.

mod admission;
mod boundary;
mod budget;
mod buffer;
mod later;
mod session;
mod stream;

pub use admission::{Admission, OverlapKind, StartDecision};
pub use boundary::{RequestHead, Step, Tracker, TrackerEvent};
pub use budget::AheadBudget;
pub use later::LaterRequests;
pub(super) use session::{HandlerContext, RequestTurn, Session};
pub(super) use stream::{ReadAheadStream, ReadState};
