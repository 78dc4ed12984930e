//! Planned shifts: no step exceeds the cap, and steps are an interval apart, whichever entry VM
//! proposes them and however old its copy of the plan is.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::model::ShiftLimits;
use shallotstall::plan::{PlanError, ShiftPlan, StepTimer};

const CAP: u32 = 100_000;
const INTERVAL: Duration = Duration::from_secs(10);

fn shift() -> ShiftLimits {
    ShiftLimits { cap: 0.1, interval_ms: 10_000 }
}

/// An entry VM that proposes steps: the plan that it last read with its version, and its timer.
struct Proposer {
    seen: (u64, ShiftPlan),
    timer: StepTimer,
}

#[derive(Clone, Debug)]
enum Op {
    SetGoal { from: u8, to: u8, percent: u8 },
    Read { proposer: usize },
    Propose { proposer: usize },
    Advance { ms: u64 },
    Restart { proposer: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        1 => (0u8..3, 0u8..3, 0u8..101).prop_map(|(from, to, percent)| Op::SetGoal { from, to, percent }),
        6 => (0usize..4).prop_map(|proposer| Op::Read { proposer }),
        6 => (0usize..4).prop_map(|proposer| Op::Propose { proposer }),
        4 => (1u64..6_000).prop_map(|ms| Op::Advance { ms }),
        1 => (0usize..4).prop_map(|proposer| Op::Restart { proposer }),
    ]
}

/// The shares of a region's traffic that are shifted now, by destination.
fn shares(plan: &ShiftPlan, from: &str) -> Vec<(String, u32)> {
    let of = |m: &&shallotstall::plan::PlannedShift| m.from.as_str() == from;
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
    fn concurrent_proposers_stay_under_the_cap(ops in prop::collection::vec(op(), 1..150)) {
        let start = Instant::now();
        let mut now = start;
        // The plan in the store with its version. A write succeeds only if the version is still the
        // one that was read.
        let mut stored = (1u64, ShiftPlan::default());
        let mut last_step: Option<Instant> = None;
        let mut proposers: Vec<Proposer> = (0..4)
            .map(|_| Proposer { seen: stored.clone(), timer: StepTimer::new(now) })
            .collect();
        for op in &ops {
            match op {
                Op::SetGoal { from, to, percent } => {
                    let region = |n: &u8| format!("r{n}").as_str().into();
                    let share = f64::from(*percent) / 100.0;
                    let mut plan = stored.1.clone();
                    if plan.set_goal(&region(from), &region(to), share).is_ok() {
                        stored = (stored.0 + 1, plan);
                    }
                }
                Op::Read { proposer } => proposers[*proposer].seen = stored.clone(),
                Op::Propose { proposer } => {
                    let p = &mut proposers[*proposer];
                    let (version, mut plan) = p.seen.clone();
                    if !p.timer.is_due(now, version, INTERVAL) || version != stored.0 {
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
                        let total: u32 = new.iter().map(|(_, n)| *n).sum();
                        prop_assert!(total <= 1_000_000, "shares of {from} add up to {total}");
                    }
                    if let Some(last) = last_step {
                        prop_assert!(now >= last + INTERVAL, "a step only {:?} after the last", now - last);
                    }
                    last_step = Some(now);
                    stored = (stored.0 + 1, plan);
                }
                Op::Advance { ms } => now += Duration::from_millis(*ms),
                Op::Restart { proposer } => {
                    proposers[*proposer] = Proposer { seen: stored.clone(), timer: StepTimer::new(now) };
                }
            }
        }
    }
}

/// A goal that is not allowed is refused and leaves the plan unchanged.
#[test]
fn an_invalid_goal_is_refused() {
    let mut plan = ShiftPlan::default();
    plan.set_goal(&"a".into(), &"b".into(), 0.7).expect("a valid goal");
    let before = plan.clone();
    let cases = [
        ("more than all", "a", "c", 0.4, PlanError::SharesExceedOne("a".into())),
        ("to itself", "a", "a", 0.1, PlanError::SameRegion("a".into())),
        ("negative", "a", "b", -0.1, PlanError::InvalidShare("-0.1".into())),
        ("not a number", "a", "b", f64::NAN, PlanError::InvalidShare("NaN".into())),
    ];
    for (name, from, to, share, error) in cases {
        assert_eq!(plan.set_goal(&from.into(), &to.into(), share), Err(error), "{name}");
        assert_eq!(plan, before, "{name}");
    }
}
