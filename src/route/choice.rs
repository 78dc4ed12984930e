//! The choice of the entry VM whose targets serve a request.

use rand::Rng;

use crate::model::{Place, RegionId, VmId};

/// An entry VM that owns targets of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The entry VM.
    pub vm: VmId,
    /// Its place.
    pub place: Place,
    /// Slots that it may use.
    pub slots: u32,
    /// Slots in use, by its own last word and by what was sent since.
    pub busy: u32,
    /// Requests that wait there.
    pub queued: u32,
}

/// How far away a candidate is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Abroad,
}

/// Where the request came in and where planned shifts send it.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin<'a> {
    /// The place of the ingress VM.
    pub place: &'a Place,
    /// The region to which a planned shift sends the request.
    pub shift_region: Option<&'a RegionId>,
    /// Part of the slots that requests of other regions never take.
    pub headroom: f64,
    /// Regions whose links have no room left.
    pub full_regions: &'a [RegionId],
}

impl Origin<'_> {
    /// How far `place` is from here.
    pub fn tier(&self, place: &Place) -> Tier {
        if place.zone == self.place.zone {
            Tier::Zone
        } else if place.region == self.place.region {
            Tier::Region
        } else {
            Tier::Abroad
        }
    }

    fn allows(&self, c: &Candidate) -> bool {
        self.tier(&c.place) != Tier::Abroad || !self.full_regions.contains(&c.place.region)
    }

    /// True if the candidate can start one more request at once.
    fn has_room(&self, c: &Candidate) -> bool {
        let part = if self.tier(&c.place) == Tier::Abroad { 1.0 - self.headroom } else { 1.0 };
        c.queued == 0 && f64::from(c.busy + 1) <= f64::from(c.slots) * part
    }
}

/// Chooses among `candidates`: the planned region first, then the nearest with room, by the less
/// loaded of two. With no room anywhere, the request waits where it is nearest.
pub fn choose_vm<'a>(
    origin: &Origin<'_>,
    candidates: &'a [Candidate],
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let open: Vec<&Candidate> =
        candidates.iter().filter(|c| c.slots > 0 && origin.allows(c)).collect();
    let (planned, other): (Vec<&Candidate>, Vec<&Candidate>) = match origin.shift_region {
        Some(region) => open.iter().partition(|c| &c.place.region == region),
        None => (Vec::new(), open.clone()),
    };
    let roomy = |group: &[&'a Candidate], tier: Option<Tier>, rng: &mut _| {
        let fits =
            |c: &&&Candidate| origin.has_room(c) && tier.is_none_or(|t| origin.tier(&c.place) == t);
        let group: Vec<&Candidate> = group.iter().filter(fits).copied().collect();
        lighter(&group, rng)
    };
    roomy(&planned, None, rng)
        .or_else(|| roomy(&other, Some(Tier::Zone), rng))
        .or_else(|| roomy(&other, Some(Tier::Region), rng))
        .or_else(|| roomy(&other, Some(Tier::Abroad), rng))
        .or_else(|| nearest(origin, &open))
}

fn lighter<'a>(group: &[&'a Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    if group.is_empty() {
        return None;
    }
    let a = group[rng.random_range(0..group.len())];
    let b = group[rng.random_range(0..group.len())];
    Some(if fill(b) < fill(a) { b } else { a })
}

fn fill(c: &Candidate) -> f64 {
    f64::from(c.busy + c.queued) / f64::from(c.slots.max(1))
}

/// Where to wait: the least filled candidate of the nearest tier.
fn nearest<'a>(origin: &Origin<'_>, open: &[&'a Candidate]) -> Option<&'a Candidate> {
    let rank = |c: &Candidate| (origin.tier(&c.place), fill(c));
    let order = |a: &&&Candidate, b: &&&Candidate| {
        let (a, b) = (rank(a), rank(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    };
    open.iter().min_by(order).copied()
}
