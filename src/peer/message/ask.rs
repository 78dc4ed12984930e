//! The messages of the rate limiting protocol, which [`crate::escrow`] implements. All are
//! notifications, which may be lost, duplicated, delayed or reordered.

use prost::{Message, Oneof};

/// A message about one account.
#[derive(Clone, PartialEq, Oneof)]
pub enum Note {
    /// The pool home asks a member for a loan of its quota, or for its renewal.
    #[prost(message, tag = "3")]
    LoanRequest(LoanRequest),
    /// A member lends its quota, or renews the loan.
    #[prost(message, tag = "4")]
    Loan(Loan),
    /// The pool home returns a loan.
    #[prost(message, tag = "5")]
    LoanReturn(LoanReturn),
    /// A member asks the pool home for tokens.
    #[prost(message, tag = "6")]
    GrantRequest(GrantRequest),
    /// The pool home grants tokens to a member.
    #[prost(message, tag = "7")]
    Grant(Grant),
}

/// Asks for a loan or its renewal.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// Time of sending on the borrower's clock, in microseconds; copied to the loan.
    #[prost(uint64, tag = "1")]
    pub stamp: u64,
    /// Id of the loan that the borrower has, or 0.
    #[prost(uint64, tag = "2")]
    pub held: u64,
    /// The borrower's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// A loan of a quota, or its renewal.
#[derive(Clone, PartialEq, Message)]
pub struct Loan {
    /// The stamp of the loan request.
    #[prost(uint64, tag = "1")]
    pub stamp: u64,
    /// Id of the loan; higher than the ids of the lender's earlier loans.
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// Increases with each renewal.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Refill lent, in tokens per second.
    #[prost(double, tag = "4")]
    pub rate: f64,
    /// Capacity lent, in tokens.
    #[prost(double, tag = "5")]
    pub capacity: f64,
    /// Tokens of the quota's bucket that are lent with a new loan; 0 in a renewal.
    #[prost(double, tag = "6")]
    pub tokens: f64,
    /// TTL of the loan from the borrower's stamp, in microseconds.
    #[prost(uint64, tag = "7")]
    pub lease_us: u64,
}

/// Returns a loan before it expires, or declines it.
#[derive(Clone, PartialEq, Message)]
pub struct LoanReturn {
    /// Id of the loan.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Tokens returned.
    #[prost(double, tag = "2")]
    pub tokens: f64,
}

/// Asks for tokens.
#[derive(Clone, PartialEq, Message)]
pub struct GrantRequest {
    /// Increases with each request of the sender, which ignores grants for earlier ones.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Tokens wanted for waiting requests.
    #[prost(double, tag = "2")]
    pub want: f64,
    /// More tokens wanted, for expected requests.
    #[prost(double, tag = "3")]
    pub ahead: f64,
    /// Tokens that the sender was granted and still has.
    #[prost(double, tag = "4")]
    pub holding: f64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Grants tokens.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// The sequence number of the grant request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Tokens granted.
    #[prost(double, tag = "2")]
    pub tokens: f64,
    /// TTL of all tokens that the member then has, from the sending of the request, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub lease_us: u64,
    /// Time until the pool can grant another token, in microseconds.
    #[prost(uint64, tag = "4")]
    pub wait_us: u64,
}
