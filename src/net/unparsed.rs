//! Request heads that `hyper` can't parse. It answers them itself, so they never become requests.

use macro_rules_attribute::apply;

use crate::common::plain;

/// Why a request's head could not be parsed.
#[apply(plain!)]
pub enum UnparsedCause {
    /// The head, or the URI in it, exceeds the server's limit.
    TooLarge,
    /// It is not a head of HTTP/1.
    Malformed,
}

impl UnparsedCause {
    /// The cause if `error` ended a connection because of a head; none if it ended for another reason,
    /// such as a timeout or a client that left.
    pub(super) fn of(error: &hyper::Error) -> Option<Self> {
        match (error.is_parse_too_large(), error.is_parse()) {
            (true, _) => Some(Self::TooLarge),
            (false, true) => Some(Self::Malformed),
            (false, false) => None,
        }
    }

    /// Its word in the log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::Malformed => "malformed",
        }
    }
}
