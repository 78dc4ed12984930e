//! The first three targets of a request, and the choice among them.

use std::time::Duration;

use super::load::TargetLoad;

/// Targets that are considered for an affinity key.
pub(super) const CANDIDATES_MAX: usize = 3;
/// Random numbers from -1 to 1 that shift the estimates of the first targets.
pub(super) type Noise = [f64; CANDIDATES_MAX];

/// An affinity key's later target is used only if its estimated requests per slot are lower by more
/// than this. The object is cold there, which costs about two runs of a warm one, and displaces
/// another object.
const SPILL_MARGIN: f64 = 1.5;
/// Requests waiting per slot at which a target counts as full: one more run and it would reject.
const FULL_QUEUE: f64 = 3.0;

/// A usable target and its place in the order of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ranked<'a, K> {
    /// What the caller of [`choose`] identifies the target by.
    pub(super) key: K,
    pub(super) load: &'a TargetLoad,
    /// False if the target keeps failing requests; it then comes after all others.
    pub(super) accepts: bool,
    /// Rendezvous score for the request's affinity key.
    pub(super) score: f64,
}

impl<K> Ranked<'_, K> {
    fn precedes(&self, other: &Self) -> bool {
        (self.accepts, self.score) > (other.accepts, other.score)
    }
}

/// The result of [`choose`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Choice<K> {
    /// The target, and its place in the key's order, from 1.
    Target(K, u8),
    /// None of the first targets can serve the request. By how many seconds the earliest response
    /// would be late; 0 if only its window is full.
    Busy(f64),
}

/// One of the first targets, as it is compared with the others.
#[derive(Clone, Copy)]
struct Candidate {
    /// True if a slot is probably free.
    free: bool,
    /// True if a request would wait for long, time out or exceed the window.
    full: bool,
    has_window: bool,
    /// By how many seconds the response would miss the deadline; 0 if it would be in time.
    late: f64,
    /// Estimated requests per slot, scaled by the pace and shifted at random within the uncertainty.
    wait: f64,
    /// The same with [`SPILL_MARGIN`] more.
    wait_with_margin: f64,
}

impl Candidate {
    fn new(now: Duration, load: &TargetLoad, time_left: f64, noise: f64) -> Self {
        let late = (load.expected_latency(now).unwrap_or_default() - time_left).max(0.0);
        let has_window = load.has_window();
        let requests = (load.requests(now) + load.deviation(now) * noise).max(0.0);
        let time_per_request = load.pace_factor(now) / load.slots();
        Self {
            free: load.has_free_slot(now),
            full: !has_window || late > 0.0 || load.queue_ahead(now) >= FULL_QUEUE,
            has_window,
            late,
            wait: requests * time_per_request,
            wait_with_margin: requests * time_per_request + SPILL_MARGIN,
        }
    }

    fn can_serve(&self) -> bool {
        self.has_window && self.late == 0.0
    }
}

/// Chooses among the usable targets: the first in the order, or a later one if the first is overloaded.
/// `None` if there is no usable target.
pub(super) fn choose<'a, K: Copy>(
    now: Duration,
    time_left: Duration,
    noise: Noise,
    usable: impl Iterator<Item = Ranked<'a, K>>,
) -> Option<Choice<K>> {
    let ranked = first_targets(usable);
    let accepts = ranked[0]?.accepts;
    let time_left = time_left.as_secs_f64();
    let candidates = std::array::from_fn(|i| {
        // Targets that keep failing requests are used only if all do.
        let target = ranked[i].filter(|target| target.accepts == accepts)?;
        Some(Candidate::new(now, target.load, time_left, noise[i]))
    });
    let chosen = [preferred(&candidates), 0, 1, 2]
        .into_iter()
        .find(|i| candidates[*i].is_some_and(|c| c.can_serve()));
    match chosen.and_then(|i| Some((ranked[i]?, i as u8 + 1))) {
        Some((target, order)) => Some(Choice::Target(target.key, order)),
        None => Some(Choice::Busy(least_late(&candidates))),
    }
}

/// The first targets in the order.
fn first_targets<'a, K: Copy>(
    usable: impl Iterator<Item = Ranked<'a, K>>,
) -> [Option<Ranked<'a, K>>; CANDIDATES_MAX] {
    let mut ranked = [None; CANDIDATES_MAX];
    for target in usable {
        let precedes =
            |place: &Option<Ranked<'a, K>>| place.is_none_or(|other| target.precedes(&other));
        if let Some(place) = ranked.iter().position(precedes) {
            ranked[place..].rotate_right(1);
            ranked[place] = Some(target);
        }
    }
    ranked
}

/// The target to prefer by the estimated waits, whether it can serve the request or not.
fn preferred(candidates: &[Option<Candidate>; CANDIDATES_MAX]) -> usize {
    let [Some(first), Some(second), third] = candidates else { return 0 };
    if first.free && first.has_window {
        return 0;
    }
    let (best, index) = if spills(first, second) { (second, 1) } else { (first, 0) };
    match third {
        Some(third) if first.full && second.full && spills(best, third) => 2,
        _ => index,
    }
}

/// True if a key's later target is to be used in place of the earlier one.
fn spills(earlier: &Candidate, later: &Candidate) -> bool {
    if !earlier.has_window {
        return later.has_window;
    }
    let useful = later.free || (earlier.full && !later.full);
    useful && later.wait_with_margin < earlier.wait
}

/// By how many seconds the earliest response would be late.
fn least_late(candidates: &[Option<Candidate>; CANDIDATES_MAX]) -> f64 {
    let late = candidates.iter().flatten().map(|c| c.late);
    late.min_by(f64::total_cmp).unwrap_or_default()
}
