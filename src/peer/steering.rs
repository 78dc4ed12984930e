//! Messages between fronts: updates of the feeds that they read from the store, and tokens from the
//! fleet's pool of rates.

use bytes::Bytes;
use prost::Message;
use std::time::Duration;

use super::FRAME_BYTES_MAX;
use super::compression::decompress;
use super::observation::WireObservation;
use crate::model::{CustomerId, VmId, ZoneId};
use crate::steer::{
    CLASSES, Delta, Feed, Item, Liveness, Mark, RankClass, TokenGrant, TokenRequest,
};
use crate::targets::CrashReport;

/// Asks for the updates of all feeds.
#[derive(Clone, PartialEq, Message)]
pub struct SyncRequest {
    /// The revision of each feed that the sender has, in the order of the feeds' numbers.
    #[prost(uint64, repeated, tag = "1")]
    pub marks: Vec<u64>,
    /// The sender's address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// True if the sender accepts callers.
    #[prost(bool, tag = "3")]
    pub serving: bool,
    /// True if only the updates of the entry VMs' records are wanted.
    #[prost(bool, tag = "4")]
    pub vms_only: bool,
    /// What the sender has seen of targets, for the VMs of its zone.
    #[prost(message, repeated, tag = "5")]
    pub observations: Vec<WireObservation>,
    /// True if the sender reads compressed contents.
    #[prost(bool, tag = "6")]
    pub deflate: bool,
    /// The store's era of each revision in `marks`.
    #[prost(uint64, repeated, tag = "7")]
    pub eras: Vec<u64>,
}

impl SyncRequest {
    /// The mark of a feed that the sender has.
    pub fn mark(&self, feed: Feed) -> Mark {
        let get = |values: &[u64]| values.get(feed as usize).copied().unwrap_or_default();
        Mark { era: get(&self.eras), revision: get(&self.marks) }
    }
}

/// The updates of all feeds.
#[derive(Clone, PartialEq, Message)]
pub struct SyncResponse {
    /// The changes of each feed that the sender has read.
    #[prost(message, repeated, tag = "1")]
    pub feeds: Vec<FeedUpdate>,
    /// The entry VMs that the sender knows to be live.
    #[prost(message, repeated, tag = "2")]
    pub live: Vec<WireLiveness>,
    /// True if the sender will stop soon. The receiver should sync with another VM.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// True if the sender can't read the store. The receiver should sync with another VM.
    #[prost(bool, tag = "4")]
    pub store_unreachable: bool,
    /// What the VMs of the zone have seen of targets.
    #[prost(message, repeated, tag = "5")]
    pub observations: Vec<WireObservation>,
}

/// The changes of one feed.
#[derive(Clone, PartialEq, Message)]
pub struct FeedUpdate {
    /// The feed's number.
    #[prost(uint32, tag = "1")]
    pub feed: u32,
    /// Age of the sender's copy, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The revision that the sender has of the feed.
    #[prost(uint64, tag = "3")]
    pub mark: u64,
    /// True if `items` lists all objects of the feed, not only the changed ones.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// The changed objects.
    #[prost(message, repeated, tag = "5")]
    pub items: Vec<WireItem>,
    /// The store's era of all revisions in this update.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// A changed object of a feed.
#[derive(Clone, PartialEq, Message)]
pub struct WireItem {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The store's revision of the object's last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its content; absent if the object was deleted or `deflated` is set.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub body: Option<Bytes>,
    /// Its content, compressed with DEFLATE.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub deflated: Option<Bytes>,
}

impl WireItem {
    /// The converted message; none if its content can't be decompressed into `room` bytes, from which its
    /// length is taken.
    fn to_item(&self, room: &mut usize) -> Option<Item> {
        let body = match &self.deflated {
            Some(bytes) => Some(decompress(bytes, room)?),
            None => self.body.clone(),
        };
        Some(Item { name: self.name.clone(), revision: self.revision, body })
    }
}

/// What was last received about an entry VM, directly or from other VMs.
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
    /// True if it accepts callers.
    #[prost(bool, tag = "4")]
    pub serving: bool,
    /// Time since it sent this, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Lends the sender's share of every customer's rate to the pool, and asks for tokens.
#[derive(Clone, PartialEq, Message)]
pub struct DrawRequest {
    /// The share that is lent, as a fraction of every customer's rate; 0 if none is lent.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// The `stamp_us` of the last response that the sender received from the pool.
    #[prost(uint64, tag = "2")]
    pub stamp_us: u64,
    /// The tokens wanted.
    #[prost(message, repeated, tag = "3")]
    pub wants: Vec<WireTokenRequest>,
    /// The incarnation of the pool's VM that `stamp_us` is from.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// True if the receiver is asked as the leader of the sender's zone, not as the pool's VM.
    #[prost(bool, tag = "5")]
    pub zone: bool,
    /// Crashes of targets that the sender has seen.
    #[prost(message, repeated, tag = "6")]
    pub deaths: Vec<TargetCrash>,
}

/// A crash of a target while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCrash {
    /// Fingerprint of the request.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// Id of the crash, so that it is counted once although several messages report it.
    #[prost(string, tag = "2")]
    pub event: String,
    /// The target.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// True if a target has run the request to its end since.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

impl TargetCrash {
    /// The report in this message.
    pub fn as_report(&self) -> CrashReport<'_> {
        CrashReport {
            fingerprint: &self.fingerprint,
            target: &self.target,
            event: &self.event,
            age: Duration::from_millis(self.age_ms),
            cleared: self.cleared,
        }
    }
}

impl From<CrashReport<'_>> for TargetCrash {
    fn from(report: CrashReport<'_>) -> Self {
        Self {
            fingerprint: report.fingerprint.to_owned(),
            event: report.event.to_owned(),
            target: report.target.to_owned(),
            age_ms: report.age.as_millis() as u64,
            cleared: report.cleared,
        }
    }
}

/// A request for tokens of one customer.
#[derive(Clone, PartialEq, Message)]
pub struct WireTokenRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Tokens wanted.
    #[prost(float, tag = "2")]
    pub tokens: f32,
    /// Tokens that the sender has.
    #[prost(float, tag = "3")]
    pub held: f32,
    /// Number of the class of requests that they are for; 0 is the highest.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
}

/// The response of the pool, or of a zone leader.
#[derive(Clone, PartialEq, Message)]
pub struct DrawResponse {
    /// The time on the pool's clock, in microseconds.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// Tokens granted.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<WireTokenGrant>,
    /// The sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Crashes of targets that have been reported to the sender.
    #[prost(message, repeated, tag = "4")]
    pub deaths: Vec<TargetCrash>,
    /// True if the sender will stop soon and no longer uses any loan.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// True if the pool uses a loan of the receiver, or of an earlier incarnation of it.
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
    /// Number of the class of requests that they are for; 0 is the highest, [`CLASSES`] stands for all.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
}

impl FeedUpdate {
    /// The update of `feed` with the changes `delta`. `age` is the age of the sender's copy.
    pub fn new(feed: Feed, age: Duration, delta: Delta) -> Self {
        let to_wire =
            |i: Item| WireItem { name: i.name, revision: i.revision, body: i.body, deflated: None };
        Self {
            feed: feed.number(),
            age_ms: age.as_millis() as u64,
            mark: delta.mark.revision,
            full: delta.full,
            items: delta.items.into_iter().map(to_wire).collect(),
            era: delta.mark.era,
        }
    }

    /// The feed, the age of the sender's copy and the changes; none if the feed's number is unknown or a
    /// content can't be decompressed. All contents together may be as long as a frame.
    pub fn to_delta(&self) -> Option<(Feed, Duration, Delta)> {
        let mut room = FRAME_BYTES_MAX;
        let items = self.items.iter().map(|i| i.to_item(&mut room)).collect::<Option<_>>()?;
        let mark = Mark { era: self.era, revision: self.mark };
        let delta = Delta { full: self.full, mark, items };
        Some((Feed::from_number(self.feed)?, Duration::from_millis(self.age_ms), delta))
    }
}

impl From<Liveness> for WireLiveness {
    fn from(liveness: Liveness) -> Self {
        Self {
            vm: liveness.vm.to_string(),
            zone: liveness.zone.to_string(),
            callers: liveness.callers.to_string(),
            serving: liveness.serving,
            age_ms: liveness.age.as_millis() as u64,
        }
    }
}

impl WireLiveness {
    /// The converted message; none if the address is invalid.
    pub fn to_liveness(&self) -> Option<Liveness> {
        Some(Liveness {
            vm: VmId::new(&self.vm),
            zone: ZoneId::new(&self.zone),
            callers: self.callers.parse().ok()?,
            serving: self.serving,
            age: Duration::from_millis(self.age_ms),
        })
    }
}

impl From<&TokenRequest> for WireTokenRequest {
    fn from(request: &TokenRequest) -> Self {
        let (tokens, held) = (request.tokens as f32, request.held as f32);
        let (customer, rank) = (request.customer.to_string(), request.rank.number());
        Self { customer, tokens, held, rank }
    }
}

impl WireTokenRequest {
    /// The converted message. Numbers that are negative or not finite count as 0.
    pub fn to_token_request(&self) -> TokenRequest {
        TokenRequest {
            customer: CustomerId::new(&self.customer),
            tokens: amount(self.tokens),
            held: amount(self.held),
            rank: RankClass::from_number(self.rank),
        }
    }
}

impl From<&TokenGrant> for WireTokenGrant {
    fn from(grant: &TokenGrant) -> Self {
        let rank = grant.rank.map_or(CLASSES as u32, RankClass::number);
        let customer = grant.customer.to_string();
        Self { customer, tokens: grant.tokens as f32, rank }
    }
}

impl WireTokenGrant {
    /// The converted message. A number that is negative or not finite counts as 0.
    pub fn to_token_grant(&self) -> TokenGrant {
        TokenGrant {
            customer: CustomerId::new(&self.customer),
            tokens: amount(self.tokens),
            rank: (self.rank < CLASSES as u32).then(|| RankClass::from_number(self.rank)),
        }
    }
}

/// A received number of tokens: 0 if `number` is negative or not finite.
fn amount(number: f32) -> f64 {
    if number.is_finite() { f64::from(number).max(0.0) } else { 0.0 }
}
