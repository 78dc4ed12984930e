//! The first and second target of a request, and the choice between them.

use std::time::Duration;

use super::load::TargetLoad;
use crate::model::TargetId;

/// An affinity key's second target is used only if, with this many more requests, it would still
/// have fewer requests per slot than the first.
const SPILL_MARGIN: f64 = 1.0;

/// A usable target and its rank for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ranked<'a> {
    pub(super) id: &'a TargetId,
    pub(super) load: &'a TargetLoad,
    /// False if the target keeps failing requests; it then ranks after all others.
    pub(super) accepts: bool,
    /// Rendezvous score for the request's affinity key.
    pub(super) score: f64,
}

impl Ranked<'_> {
    fn precedes(&self, other: &Ranked<'_>) -> bool {
        (self.accepts, self.score) > (other.accepts, other.score)
    }
}

/// Chooses among the usable targets: the first in rank, or the second if the first is too loaded.
pub(super) fn choose<'a>(
    now: Duration,
    usable: impl Iterator<Item = Ranked<'a>>,
) -> Option<Ranked<'a>> {
    let (first, second) = first_two(usable);
    let spilled = first
        .zip(second)
        .filter(|(first, second)| second.accepts && spills(now, first.load, second.load));
    spilled.map(|(_, second)| second).or(first)
}

fn first_two<'a>(
    usable: impl Iterator<Item = Ranked<'a>>,
) -> (Option<Ranked<'a>>, Option<Ranked<'a>>) {
    let (mut first, mut second): (Option<Ranked<'a>>, Option<Ranked<'a>>) = (None, None);
    for target in usable {
        if first.is_none_or(|best| target.precedes(&best)) {
            (first, second) = (Some(target), first);
        } else if second.is_none_or(|best| target.precedes(&best)) {
            second = Some(target);
        }
    }
    (first, second)
}

/// True if an affinity key's second target is to be used in place of the first.
fn spills(now: Duration, first: &TargetLoad, second: &TargetLoad) -> bool {
    if !first.has_window() {
        return second.has_window();
    }
    !first.has_free_slot(now)
        && second.requests_per_slot(now, SPILL_MARGIN) < first.requests_per_slot(now, 0.0)
}
