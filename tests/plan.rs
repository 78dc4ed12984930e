//! Planned shifts: steps under the cap, whoever proposes them and whatever they have seen.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::model::Shift;
use shallotstall::plan::{PlanError, ShiftPlan, StepTimer};

const CAP: u32 = 100_000;
const INTERVAL: Duration = Duration::from_secs(10);

fn shift() -> Shift {
    Shift { cap: 0.1, interval_ms: 10_000 }
}

/// An entry VM that proposes steps: what it last saw, and its pace.
struct Proposer {
    seen: (u64, ShiftPlan),
    pace: StepTimer,
}

#[derive(Clone, Debug)]
enum Op {
    Order { from: u8, to: u8, percent: u8 },
    Look { proposer: usize },
    Propose { proposer: usize },
    Advance { ms: u64 },
    Restart { proposer: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        1 => (0u8..3, 0u8..3, 0u8..101).prop_map(|(from, to, percent)| Op::Order { from, to, percent }),
        6 => (0usize..4).prop_map(|proposer| Op::Look { proposer }),
        6 => (0usize..4).prop_map(|proposer| Op::Propose { proposer }),
        4 => (1u64..6_000).prop_map(|ms| Op::Advance { ms }),
        1 => (0usize..4).prop_map(|proposer| Op::Restart { proposer }),
    ]
}

/// The share of a region's traffic that goes elsewhere, by destination.
fn shares(plan: &ShiftPlan, from: &str) -> Vec<(String, u32)> {
    let of = |m: &&shallotstall::plan::Move| m.from.as_str() == from;
    plan.moves.iter().filter(of).map(|m| (m.to.to_string(), m.now)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn racing_proposers_stay_under_the_cap(ops in prop::collection::vec(op(), 1..150)) {
        let start = Instant::now();
        let mut now = start;
        // The store's plan; a write takes effect only if the version is the one that was read.
        let mut stored = (1u64, ShiftPlan::default());
        let mut last_step: Option<Instant> = None;
        let mut proposers: Vec<Proposer> = (0..4)
            .map(|_| Proposer { seen: stored.clone(), pace: StepTimer::new(now) })
            .collect();
        for op in &ops {
            match op {
                Op::Order { from, to, percent } => {
                    let region = |n: &u8| format!("r{n}").as_str().into();
                    let share = f64::from(*percent) / 100.0;
                    let mut plan = stored.1.clone();
                    if plan.set_goal(&region(from), &region(to), share).is_ok() {
                        stored = (stored.0 + 1, plan);
                    }
                }
                Op::Look { proposer } => proposers[*proposer].seen = stored.clone(),
                Op::Propose { proposer } => {
                    let p = &mut proposers[*proposer];
                    let (version, mut plan) = p.seen.clone();
                    if !p.pace.is_due(now, version, INTERVAL) || version != stored.0 {
                        continue;
                    }
                    let before = stored.1.clone();
                    if !plan.advance(&shift()) {
                        continue;
                    }
                    for from in ["r0", "r1", "r2"] {
                        let old = shares(&before, from);
                        let new = shares(&plan, from);
                        let was = |to: &str| {
                            old.iter().find(|(t, _)| t == to).map_or(0, |(_, n)| *n)
                        };
                        let moved: u32 = new.iter().map(|(t, n)| n.abs_diff(was(t))).sum();
                        prop_assert!(moved <= CAP, "{moved} of {from} moved in one step");
                        let whole: u32 = new.iter().map(|(_, n)| *n).sum();
                        prop_assert!(whole <= 1_000_000, "{whole} of {from} is elsewhere");
                    }
                    if let Some(last) = last_step {
                        prop_assert!(now >= last + INTERVAL, "a step after {:?}", now - last);
                    }
                    last_step = Some(now);
                    stored = (stored.0 + 1, plan);
                }
                Op::Advance { ms } => now += Duration::from_millis(*ms),
                Op::Restart { proposer } => {
                    proposers[*proposer] = Proposer { seen: stored.clone(), pace: StepTimer::new(now) };
                }
            }
        }
    }
}

/// Orders that are not allowed change nothing.
#[test]
fn an_order_that_is_not_allowed_is_refused() {
    let mut plan = ShiftPlan::default();
    plan.set_goal(&"a".into(), &"b".into(), 0.7).expect("a first order");
    let before = plan.clone();
    let cases = [
        ("more than all", "a", "c", 0.4, PlanError::TooMuch("a".into())),
        ("to itself", "a", "a", 0.1, PlanError::SameRegion("a".into())),
        ("negative", "a", "b", -0.1, PlanError::Share("-0.1".into())),
        ("not a number", "a", "b", f64::NAN, PlanError::Share("NaN".into())),
    ];
    for (name, from, to, share, error) in cases {
        assert_eq!(plan.set_goal(&from.into(), &to.into(), share), Err(error), "{name}");
        assert_eq!(plan, before, "{name}");
    }
}
