//! The choice of the entry VM that sends a request to one of its targets (the egress VM).
//!
//! The ingress VM makes the choice for each attempt, from the load that the other entry VMs report.

use rand::Rng;

use crate::model::{Place, RegionId, VmId};

/// An entry VM that owns targets of the service, and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The entry VM.
    pub vm: VmId,
    /// Its place.
    pub place: Place,
    /// Slots of its targets that may be used.
    pub slots: u32,
    /// Slots in use, as last reported, plus the requests sent to it since.
    pub busy: u32,
    /// Requests that wait there for a slot.
    pub queued: u32,
}

/// How far away a candidate is, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    OtherRegion,
}

/// Where a request came in, and the constraints on where it may go.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin<'a> {
    /// The place of the ingress VM.
    pub place: &'a Place,
    /// The region to which a planned shift of traffic sends the request, if any.
    pub shift_region: Option<&'a RegionId>,
    /// Fraction of each candidate's slots that requests from other regions never take.
    pub headroom: f64,
    /// Regions whose link has no bandwidth left.
    pub full_regions: &'a [RegionId],
}

impl Origin<'_> {
    /// How far `place` is from the ingress VM.
    pub fn locality(&self, place: &Place) -> Locality {
        if place.zone == self.place.zone {
            Locality::Zone
        } else if place.region == self.place.region {
            Locality::Region
        } else {
            Locality::OtherRegion
        }
    }

    fn allows(&self, c: &Candidate) -> bool {
        self.locality(&c.place) != Locality::OtherRegion
            || !self.full_regions.contains(&c.place.region)
    }

    /// True if the candidate has no queue and a free slot that the request may take: requests from
    /// other regions leave the headroom free.
    fn has_free_slot(&self, c: &Candidate) -> bool {
        let fraction = if self.locality(&c.place) == Locality::OtherRegion {
            1.0 - self.headroom
        } else {
            1.0
        };
        c.queued == 0 && f64::from(c.busy + 1) <= f64::from(c.slots) * fraction
    }
}

/// Chooses a candidate with a free slot: in the region of the planned shift, else in the nearest
/// locality. Within a group, it takes the less loaded of two random candidates. If none has a free
/// slot, the request goes to the nearest and least loaded candidate and waits there.
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
    let pick_free = |group: &[&'a Candidate], locality: Option<Locality>, rng: &mut _| {
        let fits = |c: &&&Candidate| {
            origin.has_free_slot(c) && locality.is_none_or(|l| origin.locality(&c.place) == l)
        };
        let group: Vec<&Candidate> = group.iter().filter(fits).copied().collect();
        less_loaded(&group, rng)
    };
    pick_free(&planned, None, rng)
        .or_else(|| pick_free(&other, Some(Locality::Zone), rng))
        .or_else(|| pick_free(&other, Some(Locality::Region), rng))
        .or_else(|| pick_free(&other, Some(Locality::OtherRegion), rng))
        .or_else(|| nearest(origin, &open))
}

/// The less loaded of two random candidates.
fn less_loaded<'a>(group: &[&'a Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    if group.is_empty() {
        return None;
    }
    let a = group[rng.random_range(0..group.len())];
    let b = group[rng.random_range(0..group.len())];
    Some(if utilization(b) < utilization(a) { b } else { a })
}

/// Running and waiting requests per slot.
fn utilization(c: &Candidate) -> f64 {
    f64::from(c.busy + c.queued) / f64::from(c.slots.max(1))
}

/// The least loaded candidate of the nearest locality.
fn nearest<'a>(origin: &Origin<'_>, open: &[&'a Candidate]) -> Option<&'a Candidate> {
    let key = |c: &Candidate| (origin.locality(&c.place), utilization(c));
    let order = |a: &&&Candidate, b: &&&Candidate| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    };
    open.iter().min_by(order).copied()
}
