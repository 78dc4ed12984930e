//! The messages between entry VMs. Written by hand with `prost`'s derive, so that the build needs
//! no generator. Field numbers are never used again.

use prost::{Enumeration, Message, Oneof};

use super::steering::{DrawRequest, DrawResponse, SyncRequest, SyncResponse, TargetCrash};

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The call that this frame opens or answers; never used twice in a session.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// True in an answer.
    #[prost(bool, tag = "2")]
    pub reply: bool,
    /// The message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

/// The messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Nothing to say.
    #[prost(message, tag = "3")]
    Empty(Empty),
    /// Liveness and state.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// Newer objects.
    #[prost(message, tag = "5")]
    Objects(Objects),
    /// The versions that the sender holds.
    #[prost(message, tag = "6")]
    Versions(VersionList),
    /// Transfers of rate.
    #[prost(message, tag = "7")]
    Escrow(EscrowNote),
    /// A request for a target of the receiver's zone.
    #[prost(message, tag = "8")]
    Forward(Forward),
    /// What became of a forwarded request.
    #[prost(message, tag = "9")]
    Answer(Answer),
    /// The caller gave the call up.
    #[prost(message, tag = "10")]
    Cancel(Cancel),
    /// A request ended with the death of its target.
    #[prost(message, tag = "11")]
    TargetCrash(TargetCrash),
    /// Asks for the record of a request.
    #[prost(message, tag = "12")]
    ExplainRequest(ExplainRequest),
    /// The record of a request.
    #[prost(message, tag = "13")]
    ExplainResponse(ExplainResponse),
    /// A front asks for news.
    #[prost(message, tag = "14")]
    SyncRequest(SyncRequest),
    /// News for a front.
    #[prost(message, tag = "15")]
    SyncResponse(SyncResponse),
    /// A front lends rate and draws tokens.
    #[prost(message, tag = "16")]
    DrawRequest(DrawRequest),
    /// Tokens for a front.
    #[prost(message, tag = "17")]
    DrawResponse(DrawResponse),
}

/// Nothing.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// Liveness and state of an entry VM.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Digest over the versions of all objects held.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// Age of the sender's knowledge of the store, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// True if the sender takes no new callers.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Free capacity by service.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<ServiceLoad>,
    /// Homes of accounts that have moved.
    #[prost(message, repeated, tag = "5")]
    pub homes: Vec<PoolHome>,
}

/// Capacity of one service at an egress VM.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Slots of the targets that the sender serves and trusts.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Slots in use.
    #[prost(uint32, tag = "3")]
    pub busy: u32,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
}

/// Where the pool of an account is.
#[derive(Clone, PartialEq, Message)]
pub struct PoolHome {
    /// The service of the account.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The customer of the account.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Rises with each move.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The entry VM that holds the pool.
    #[prost(string, tag = "4")]
    pub vm: String,
}

/// Objects that the receiver may not have.
#[derive(Clone, PartialEq, Message)]
pub struct Objects {
    /// The objects.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<WireObject>,
}

/// A versioned object.
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

/// Versions by object.
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

/// One transfer message of an account.
#[derive(Clone, PartialEq, Message)]
pub struct EscrowNote {
    /// The service of the account.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The customer of the account.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// What is asked or given.
    #[prost(oneof = "ask::Note", tags = "3, 4, 5, 6, 7")]
    pub note: Option<ask::Note>,
}

/// Transfers of one account.
pub mod ask {
    use prost::{Message, Oneof};

    /// The transfer messages.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Note {
        /// A pool asks for a loan or its renewal.
        #[prost(message, tag = "3")]
        LoanRequest(LoanRequest),
        /// A floor is lent.
        #[prost(message, tag = "4")]
        Loan(Loan),
        /// A loan is given back.
        #[prost(message, tag = "5")]
        LoanReturn(LoanReturn),
        /// A member asks its pool for tokens.
        #[prost(message, tag = "6")]
        GrantRequest(GrantRequest),
        /// Tokens for a member.
        #[prost(message, tag = "7")]
        Grant(Grant),
    }

    /// Asks for a loan.
    #[derive(Clone, PartialEq, Message)]
    pub struct LoanRequest {
        /// The borrower's own time of sending, in microseconds; echoed in the loan.
        #[prost(uint64, tag = "1")]
        pub stamp: u64,
        /// The loan that the borrower already holds, or 0.
        #[prost(uint64, tag = "2")]
        pub held: u64,
        /// The borrower's life.
        #[prost(uint64, tag = "3")]
        pub incarnation: u64,
    }

    /// A loan of a floor.
    #[derive(Clone, PartialEq, Message)]
    pub struct Loan {
        /// The stamp of the request.
        #[prost(uint64, tag = "1")]
        pub stamp: u64,
        /// The loan; higher for a later one of the same lender.
        #[prost(uint64, tag = "2")]
        pub id: u64,
        /// Rises with each renewal.
        #[prost(uint64, tag = "3")]
        pub seq: u64,
        /// Refill lent, in tokens a second.
        #[prost(double, tag = "4")]
        pub rate: f64,
        /// Capacity lent, in tokens.
        #[prost(double, tag = "5")]
        pub capacity: f64,
        /// Tokens handed over with the first answer of a loan.
        #[prost(double, tag = "6")]
        pub tokens: f64,
        /// Length of the loan from the borrower's stamp, in microseconds.
        #[prost(uint64, tag = "7")]
        pub lease_us: u64,
    }

    /// Gives a loan back before its end.
    #[derive(Clone, PartialEq, Message)]
    pub struct LoanReturn {
        /// The loan.
        #[prost(uint64, tag = "1")]
        pub id: u64,
        /// Tokens given back.
        #[prost(double, tag = "2")]
        pub tokens: f64,
    }

    /// Asks for tokens.
    #[derive(Clone, PartialEq, Message)]
    pub struct GrantRequest {
        /// Rises with each ask of the sender; an answer to an older one is dropped.
        #[prost(uint64, tag = "1")]
        pub seq: u64,
        /// Tokens wanted at once.
        #[prost(double, tag = "2")]
        pub want: f64,
        /// Tokens wanted ahead of demand.
        #[prost(double, tag = "3")]
        pub ahead: f64,
        /// Tokens that the sender still holds.
        #[prost(double, tag = "4")]
        pub holding: f64,
        /// The sender's life.
        #[prost(uint64, tag = "5")]
        pub incarnation: u64,
    }

    /// Grants tokens.
    #[derive(Clone, PartialEq, Message)]
    pub struct Grant {
        /// The ask.
        #[prost(uint64, tag = "1")]
        pub seq: u64,
        /// Tokens granted.
        #[prost(double, tag = "2")]
        pub tokens: f64,
        /// Time for which all tokens held may be spent, from the sending of the ask, in
        /// microseconds.
        #[prost(uint64, tag = "3")]
        pub lease_us: u64,
        /// Time until the pool can next give a token, in microseconds.
        #[prost(uint64, tag = "4")]
        pub wait_us: u64,
    }
}

/// A request on its way to a target.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// The request's id, for traces and records.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The customer, from the key.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query below the service.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Headers for the target; never a key.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// Body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Time left, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub left_ms: u64,
    /// True if the request may be run more than once.
    #[prost(bool, tag = "9")]
    pub idempotent: bool,
    /// Region of the ingress VM.
    #[prost(string, tag = "10")]
    pub region: String,
    /// Parent span.
    #[prost(string, tag = "11")]
    pub traceparent: String,
    /// Targets that already failed this request.
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

/// What became of a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    /// HTTP status of the target, if it answered.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the target's answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// The whole body of the target's answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// The target.
    #[prost(string, tag = "5")]
    pub target: String,
    /// The cause of a failure, with its step.
    #[prost(string, tag = "6")]
    pub cause: String,
}

/// How a forwarded request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Not stated.
    Unset = 0,
    /// The target answered in full.
    Answered = 1,
    /// No byte reached a target: no slot was free in time.
    Busy = 2,
    /// No byte reached a target: none could be reached.
    NotReached = 3,
    /// The request may have run.
    Unknown = 4,
    /// The target died while it ran the request.
    Died = 5,
}

/// Reads an outcome from the wire; what is unknown may have run.
pub fn decode_outcome(answer: &Answer) -> Outcome {
    match Outcome::try_from(answer.outcome) {
        Ok(Outcome::Unset) | Err(_) => Outcome::Unknown,
        Ok(outcome) => outcome,
    }
}

/// Gives a call up.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// Asks for the record of a request.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainRequest {
    /// The request's id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// The record of a request.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainResponse {
    /// The record as JSON; empty if there is none.
    #[prost(string, tag = "1")]
    pub record: String,
}
