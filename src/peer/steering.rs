//! Messages between fronts: news of the store, and draws from the pool of rates.

use bytes::Bytes;
use prost::Message;
use std::time::Duration;

use crate::model::{CustomerId, VmId, ZoneId};
use crate::steer::{Delta, Feed, Grant, Heard, Item, Want};

/// Asks for news.
#[derive(Clone, PartialEq, Message)]
pub struct SyncRequest {
    /// For each feed, in the order of their numbers, the revision that the sender knows.
    #[prost(uint64, repeated, tag = "1")]
    pub marks: Vec<u64>,
    /// The sender's address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// True if the sender takes callers.
    #[prost(bool, tag = "3")]
    pub serving: bool,
}

/// News.
#[derive(Clone, PartialEq, Message)]
pub struct SyncResponse {
    /// What has changed in each feed that the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub feeds: Vec<FeedUpdate>,
    /// Entry VMs that the sender has heard of.
    #[prost(message, repeated, tag = "2")]
    pub live: Vec<WireLiveness>,
    /// True if the sender will stop soon; others are to be asked.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// True if the store does not answer the sender; others are to be asked.
    #[prost(bool, tag = "4")]
    pub store_unreachable: bool,
}

/// News of one feed.
#[derive(Clone, PartialEq, Message)]
pub struct FeedUpdate {
    /// The feed's number.
    #[prost(uint32, tag = "1")]
    pub feed: u32,
    /// Age of the sender's copy, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The revision up to which the sender knows the feed.
    #[prost(uint64, tag = "3")]
    pub mark: u64,
    /// True if all objects are listed.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// What has changed.
    #[prost(message, repeated, tag = "5")]
    pub items: Vec<WireItem>,
}

/// An object.
#[derive(Clone, PartialEq, Message)]
pub struct WireItem {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The store's revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its content; absent if it is gone.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub body: Option<Bytes>,
}

/// An entry VM that was heard of.
#[derive(Clone, PartialEq, Message)]
pub struct WireLiveness {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its address for callers.
    #[prost(string, tag = "3")]
    pub callers: String,
    /// True if it takes callers.
    #[prost(bool, tag = "4")]
    pub serving: bool,
    /// How long ago it said so, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Lends a part of every customer's rate, and asks for tokens.
#[derive(Clone, PartialEq, Message)]
pub struct DrawRequest {
    /// Part of every sum that is lent; 0 if none is.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// The pool's own time that the lender had last from it, in microseconds.
    #[prost(uint64, tag = "2")]
    pub stamp_us: u64,
    /// What is wanted.
    #[prost(message, repeated, tag = "3")]
    pub wants: Vec<WireTokenRequest>,
    /// The pool's life to which the stamp belongs.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// True if the receiver is asked as the head of the sender's zone, not as the pool.
    #[prost(bool, tag = "5")]
    pub zone: bool,
    /// Deaths of targets that the sender has seen.
    #[prost(message, repeated, tag = "6")]
    pub deaths: Vec<TargetCrash>,
}

/// A request that ended with the death of its target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCrash {
    /// Fingerprint of the request.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// The event, so that one death is counted once.
    #[prost(string, tag = "2")]
    pub event: String,
}

/// Tokens of one customer.
#[derive(Clone, PartialEq, Message)]
pub struct WireTokenRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Tokens wanted.
    #[prost(float, tag = "2")]
    pub tokens: f32,
    /// Tokens held.
    #[prost(float, tag = "3")]
    pub held: f32,
}

/// A pool's answer.
#[derive(Clone, PartialEq, Message)]
pub struct DrawResponse {
    /// The pool's own time.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// Tokens granted.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<WireTokenGrant>,
    /// The pool's life.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Deaths of targets that the pool has heard of.
    #[prost(message, repeated, tag = "4")]
    pub deaths: Vec<TargetCrash>,
    /// True if the sender will stop soon and uses no loan any more.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// True if the pool uses a loan of the asker, or of an earlier life of it.
    #[prost(bool, tag = "6")]
    pub lent: bool,
}

/// Tokens granted for one customer.
#[derive(Clone, PartialEq, Message)]
pub struct WireTokenGrant {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The tokens.
    #[prost(float, tag = "2")]
    pub tokens: f32,
}

impl FeedUpdate {
    /// News of `feed`, which is `age` old.
    pub fn new(feed: Feed, age: Duration, delta: Delta) -> Self {
        let wire = |i: Item| WireItem { name: i.name, revision: i.revision, body: i.body };
        Self {
            feed: feed.number(),
            age_ms: age.as_millis() as u64,
            mark: delta.mark,
            full: delta.full,
            items: delta.items.into_iter().map(wire).collect(),
        }
    }

    /// The feed, its age and its changes; none if the feed has no number known here.
    pub fn into_delta(self) -> Option<(Feed, Duration, Delta)> {
        let item = |i: WireItem| Item { name: i.name, revision: i.revision, body: i.body };
        let items = self.items.into_iter().map(item).collect();
        let delta = Delta { full: self.full, mark: self.mark, items };
        Some((Feed::from_number(self.feed)?, Duration::from_millis(self.age_ms), delta))
    }
}

impl From<Heard> for WireLiveness {
    fn from(heard: Heard) -> Self {
        Self {
            vm: heard.vm.to_string(),
            zone: heard.zone.to_string(),
            callers: heard.callers.to_string(),
            serving: heard.serving,
            age_ms: heard.age.as_millis() as u64,
        }
    }
}

impl WireLiveness {
    /// The entry VM, if its address can be read.
    pub fn to_liveness(&self) -> Option<Heard> {
        Some(Heard {
            vm: VmId::new(&self.vm),
            zone: ZoneId::new(&self.zone),
            callers: self.callers.parse().ok()?,
            serving: self.serving,
            age: Duration::from_millis(self.age_ms),
        })
    }
}

impl From<&Want> for WireTokenRequest {
    fn from(want: &Want) -> Self {
        let (tokens, held) = (want.tokens as f32, want.held as f32);
        Self { customer: want.customer.to_string(), tokens, held }
    }
}

impl WireTokenRequest {
    /// The want; figures that are no amounts count as nothing.
    pub fn to_token_request(&self) -> Want {
        Want {
            customer: CustomerId::new(&self.customer),
            tokens: amount(self.tokens),
            held: amount(self.held),
        }
    }
}

impl From<&Grant> for WireTokenGrant {
    fn from(grant: &Grant) -> Self {
        Self { customer: grant.customer.to_string(), tokens: grant.tokens as f32 }
    }
}

impl WireTokenGrant {
    /// The grant; a figure that is no amount counts as nothing.
    pub fn to_token_grant(&self) -> Grant {
        Grant { customer: CustomerId::new(&self.customer), tokens: amount(self.tokens) }
    }
}

/// A figure as an amount; one that is none counts as nothing.
fn amount(figure: f32) -> f64 {
    if figure.is_finite() { f64::from(figure).max(0.0) } else { 0.0 }
}
