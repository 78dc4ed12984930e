//! The messages between entry VMs, except those of [`steering`](super::steering). They are declared
//! with `prost`'s derive instead of a `.proto` file, so that the build needs no code generator. Tags
//! of removed fields must not be reused.

pub mod ask;

use std::time::Duration;

use prost::{Enumeration, Message, Oneof};

use super::steering::{DrawRequest, DrawResponse, SyncRequest, SyncResponse, TargetCrash};

/// The content of one frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The id of the call that this frame makes or responds to, unique in its session; 0 in a
    /// notification.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// True in a response.
    #[prost(bool, tag = "2")]
    pub reply: bool,
    /// The message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

/// The message in a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// An empty response.
    #[prost(message, tag = "3")]
    Empty(Empty),
    /// Liveness and state.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// Configuration objects that may be new to the receiver.
    #[prost(message, tag = "5")]
    Objects(Objects),
    /// The versions of all configuration objects in the sender's catalog.
    #[prost(message, tag = "6")]
    Versions(VersionList),
    /// A message of the rate limiting protocol (`crate::escrow`).
    #[prost(message, tag = "7")]
    Escrow(EscrowNote),
    /// A caller's request, to be sent to a target in the receiver's zone.
    #[prost(message, tag = "8")]
    Forward(Forward),
    /// The response to `Forward`.
    #[prost(message, tag = "9")]
    Answer(Answer),
    /// Cancels a call.
    #[prost(message, tag = "10")]
    Cancel(Cancel),
    /// A target crashed while it ran a request.
    #[prost(message, tag = "11")]
    TargetCrash(TargetCrash),
    /// Asks for the record of one request.
    #[prost(message, tag = "12")]
    ExplainRequest(ExplainRequest),
    /// The response to `ExplainRequest`.
    #[prost(message, tag = "13")]
    ExplainResponse(ExplainResponse),
    /// A front asks for updates of its feeds.
    #[prost(message, tag = "14")]
    SyncRequest(SyncRequest),
    /// The response to `SyncRequest`.
    #[prost(message, tag = "15")]
    SyncResponse(SyncResponse),
    /// A front lends its share of the rates and asks for tokens.
    #[prost(message, tag = "16")]
    DrawRequest(DrawRequest),
    /// The response to `DrawRequest`.
    #[prost(message, tag = "17")]
    DrawResponse(DrawResponse),
}

/// A message without content.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// Sent by every entry VM to all others at an interval, and as the response to theirs.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Digest of the versions of all objects in the sender's catalog.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// Time since the sender's catalog was last in sync with the store, in milliseconds;
    /// [`Self::AGE_MS_UNKNOWN`] if it never was.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// True if the sender accepts no new callers, since it will stop.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// The load of each service's targets at the sender.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<ServiceLoad>,
    /// The pool homes of accounts whose home has moved.
    #[prost(message, repeated, tag = "5")]
    pub homes: Vec<PoolHome>,
}

impl Heartbeat {
    /// [`Self::age_ms`] of a catalog that was never in sync with the store.
    pub const AGE_MS_UNKNOWN: u64 = u64::MAX;

    /// [`Self::age_ms`] of a catalog that was in sync with the store so long ago. Rounded up: what is
    /// passed on from VM to VM must not get younger.
    pub fn age_ms_of(age: Option<Duration>) -> u64 {
        let round_up = |age: Duration| age.as_nanos().div_ceil(1_000_000) as u64;
        age.map_or(Self::AGE_MS_UNKNOWN, round_up)
    }

    /// Time since the sender's catalog was last in sync with the store, if it ever was.
    pub fn age(&self) -> Option<Duration> {
        let known = self.age_ms != Self::AGE_MS_UNKNOWN;
        known.then(|| Duration::from_millis(self.age_ms))
    }
}

/// Capacity and load of one service's targets at an egress VM.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Slots of the targets that the sender owns and considers healthy.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Slots in use.
    #[prost(uint32, tag = "3")]
    pub busy: u32,
    /// Number of requests that wait for a slot.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Targets that have said that they leave, but for those that leave by the platform's list.
    #[prost(uint32, tag = "5")]
    pub leaving: u32,
    /// Targets that have asked for a pause that is not over.
    #[prost(uint32, tag = "6")]
    pub paused: u32,
    /// Time until the first of these pauses is over, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub pause_left_ms: u64,
}

/// The pool home of an account.
#[derive(Clone, PartialEq, Message)]
pub struct PoolHome {
    /// The service of the account.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The customer of the account.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Increases with each move of the pool; the highest term is valid.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The entry VM that holds the pool.
    #[prost(string, tag = "4")]
    pub vm: String,
}

/// Configuration objects.
#[derive(Clone, PartialEq, Message)]
pub struct Objects {
    /// The objects.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<WireObject>,
}

/// One version of a configuration object.
#[derive(Clone, PartialEq, Message)]
pub struct WireObject {
    /// Its kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Its name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// True if this version deletes it.
    #[prost(bool, tag = "5")]
    pub deleted: bool,
    /// Its content.
    #[prost(string, tag = "6")]
    pub body: String,
}

/// The versions of configuration objects.
#[derive(Clone, PartialEq, Message)]
pub struct VersionList {
    /// The versions.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<WireVersion>,
}

/// The version of one object.
#[derive(Clone, PartialEq, Message)]
pub struct WireVersion {
    /// Its kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Its name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A message of the rate limiting protocol about one account.
#[derive(Clone, PartialEq, Message)]
pub struct EscrowNote {
    /// The service of the account.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The customer of the account.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// The message.
    #[prost(oneof = "ask::Note", tags = "3, 4, 5, 6, 7")]
    pub note: Option<ask::Note>,
}

/// A caller's request, forwarded by the ingress VM to an egress VM.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// The request's id, for traces and records.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The customer that the caller's key belongs to.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query, without the service's prefix.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Headers for the target. The caller's key is not among them.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// The body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Time that the receiver has for the request, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub left_ms: u64,
    /// True if the request may run more than once.
    #[prost(bool, tag = "9")]
    pub idempotent: bool,
    /// Region of the ingress VM.
    #[prost(string, tag = "10")]
    pub region: String,
    /// The parent span, as in the header `traceparent`.
    #[prost(string, tag = "11")]
    pub traceparent: String,
    /// Names of targets that this request has failed at, to be avoided.
    #[prost(string, repeated, tag = "12")]
    pub avoid: Vec<String>,
}

/// A header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Its name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// The result of a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    /// HTTP status of the target's response, if there is one.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the target's response.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// The complete body of the target's response.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// Name of the target; empty if none was chosen.
    #[prost(string, tag = "5")]
    pub target: String,
    /// The step and cause of a failure.
    #[prost(string, tag = "6")]
    pub cause: String,
    /// The targets that got no requests by their own word, and since when.
    #[prost(string, tag = "7")]
    pub passed_over: String,
}

/// How a forwarded request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The field is missing.
    Unset = 0,
    /// The target sent a complete response.
    Answered = 1,
    /// No byte was sent to a target, since no capacity became free in time.
    Busy = 2,
    /// No byte was sent to a target, since none could be reached.
    NotReached = 3,
    /// The request may have run.
    Unknown = 4,
    /// The target crashed while it ran the request.
    Died = 5,
}

/// The outcome in `answer`. A missing or unknown value counts as [`Outcome::Unknown`], since the
/// request may have run.
pub fn decode_outcome(answer: &Answer) -> Outcome {
    match Outcome::try_from(answer.outcome) {
        Ok(Outcome::Unset) | Err(_) => Outcome::Unknown,
        Ok(outcome) => outcome,
    }
}

/// Cancels a call, whose response is then not needed.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The id of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// Asks for the record of one request.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainRequest {
    /// The request's id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// The record of one request.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainResponse {
    /// The record as JSON; empty if the sender has none.
    #[prost(string, tag = "1")]
    pub record: String,
}
