//! What an account's state machine is given, and what it asks of its caller.

use std::time::{Duration, Instant};

use crate::model::{Account, VmId, ZoneId};
use crate::peer::ask::Note;

/// Durations and ratios of the rate limiting protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a loan is valid.
    pub loan_ttl: Duration,
    /// Time for which granted tokens are valid; shorter than `loan_ttl`.
    pub grant_ttl: Duration,
    /// Time between renewals of a loan; at most a quarter of `loan_ttl`.
    pub renew_interval: Duration,
    /// Time after which an unanswered request for a grant is sent again.
    pub request_timeout: Duration,
    /// Fraction of the pool's remaining tokens that one member may be granted ahead of demand.
    pub prefetch_ratio: f64,
    /// Largest difference between the speeds of two clocks, as a fraction.
    pub drift_ratio: f64,
    /// The pool home moves to a zone whose demand is more than this many times that of its own zone.
    pub move_ratio: f64,
    /// Time for which the other zone's demand must stay above `move_ratio` before the home moves.
    pub move_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loan_ttl: Duration::from_secs(2),
            grant_ttl: Duration::from_secs(1),
            renew_interval: Duration::from_millis(500),
            request_timeout: Duration::from_millis(300),
            prefetch_ratio: 0.25,
            drift_ratio: 0.01,
            move_ratio: 1.5,
            move_delay: Duration::from_secs(2),
        }
    }
}

/// The rate limit of an account, or one member's quota of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens that can be taken at once.
    pub burst: f64,
}

impl RateLimit {
    /// A limit that admits nothing.
    pub const ZERO: RateLimit = RateLimit { rate: 0.0, burst: 0.0 };
}

/// A member, and whether this member can reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The entry VM.
    pub vm: VmId,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// True if it responds to heartbeats and is not leaving.
    pub live: bool,
}

/// A request for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifies the request in actions.
    pub id: u64,
    /// Time at which the request is refused if it has no token by then.
    pub deadline: Instant,
}

/// The immediate answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A token was taken.
    Admitted,
    /// The request is queued; [`Action::Admit`] or [`Action::Refuse`] follows.
    Waiting,
}

/// What the caller of the state machine must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a member. Delivery is not required.
    Send {
        /// The receiving member.
        to: VmId,
        /// The account that the message is about.
        account: Account,
        /// The message.
        note: Note,
    },
    /// Admit the queued request with this id.
    Admit(u64),
    /// Refuse a queued request, which can't get a token before its deadline.
    Refuse {
        /// The request's id.
        id: u64,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Send [`Escrow::homes`](super::Escrow::homes) to all members: the pool home has moved.
    AnnounceHome,
}
