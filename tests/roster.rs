//! Property tests of the roster: after any sequence of changes no part or slice has two owners, and a
//! leaving member gets nothing.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::model::{Place, VmId};
use shallotstall::zone::{Member, PART_COUNT, Roster, SLICE_COUNT};

fn member(number: u8, incarnation: u64) -> Member {
    let addr = "127.0.0.1:1".parse().expect("an address");
    Member {
        vm: VmId::new(format!("vm{number}")),
        place: Place { region: "r".into(), zone: format!("z{}", number % 3).as_str().into() },
        incarnation,
        peers: addr,
        callers: addr,
        parts: 0,
        slices: Vec::new(),
        leaving: false,
    }
}

#[derive(Clone, Debug)]
enum Op {
    Join(u8),
    TransferExcess(u8),
    TakeUnowned(u8),
    StartLeaving(u8),
    Remove(u8),
}

fn op() -> impl Strategy<Value = Op> {
    (0u8..9, 0u8..5).prop_map(|(n, kind)| match kind {
        0 => Op::Join(n),
        1 => Op::TransferExcess(n),
        2 => Op::TakeUnowned(n),
        3 => Op::StartLeaving(n),
        _ => Op::Remove(n),
    })
}

fn apply(roster: &mut Roster, op: &Op, clock: u64) {
    let incarnation = |r: &Roster, n: u8| r.member(&member(n, 0).vm).map_or(0, |m| m.incarnation);
    // Changes by members that are not listed fail without effect.
    let _ = match op {
        Op::Join(n) => roster.join(&member(*n, clock)),
        Op::TransferExcess(n) => {
            let vm = member(*n, 0).vm;
            match roster.retained(&vm) {
                Some((parts, slices)) => {
                    let incarnation = incarnation(roster, *n);
                    roster.transfer_excess(&vm, incarnation, parts, &slices)
                }
                None => Ok(()),
            }
        }
        Op::TakeUnowned(n) => {
            roster.take_unowned(&member(*n, 0).vm);
            Ok(())
        }
        Op::StartLeaving(n) => {
            let incarnation = incarnation(roster, *n);
            roster.start_leaving(&member(*n, 0).vm, incarnation)
        }
        Op::Remove(n) => {
            let incarnation = incarnation(roster, *n);
            roster.remove(&member(*n, 0).vm, incarnation)
        }
    };
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_owned_twice(ops in prop::collection::vec(op(), 1..80)) {
        let mut roster = Roster::default();
        for (clock, op) in ops.iter().enumerate() {
            let before = roster.clone();
            apply(&mut roster, op, clock as u64 + 1);
            prop_assert!(roster.is_valid(), "after {op:?}: {roster:?}");
            for m in roster.members.iter().filter(|m| m.leaving) {
                let old = before.member(&m.vm);
                prop_assert!(old.is_none_or(|o| m.parts <= o.parts), "{op:?} gave parts to a leaving member");
                prop_assert!(m.slices.is_empty(), "{op:?} gave slices to a leaving member");
            }
        }
    }

    /// Without further joins and leaves, transfers end in a state that they no longer change, in
    /// which almost all parts have an owner.
    #[test]
    fn transfers_reach_a_stable_state(ops in prop::collection::vec(op(), 1..40)) {
        let mut roster = Roster::default();
        for (clock, op) in ops.iter().enumerate() {
            apply(&mut roster, op, clock as u64 + 1);
        }
        for _ in 0..20 {
            for n in 0..9 {
                apply(&mut roster, &Op::TransferExcess(n), 0);
                apply(&mut roster, &Op::TakeUnowned(n), 0);
            }
        }
        let stable = roster.clone();
        for n in 0..9 {
            apply(&mut roster, &Op::TransferExcess(n), 0);
            apply(&mut roster, &Op::TakeUnowned(n), 0);
        }
        prop_assert_eq!(&stable, &roster);
        let staying = roster.members.iter().filter(|m| !m.leaving).count();
        if staying > 0 {
            let parts: u32 = roster.members.iter().map(|m| m.parts).sum();
            prop_assert!(parts >= PART_COUNT - 16, "only {parts} parts are owned");
        }
    }
}

/// Three members of one zone: slices are divided evenly, and a leaving member's go to the others.
#[test]
fn a_target_gets_a_new_owner_when_its_owner_leaves() {
    let mut roster = Roster::default();
    for n in [0, 3, 6] {
        roster.join(&member(n, 1)).expect("no newer incarnation is listed");
        for m in [0, 3, 6] {
            apply(&mut roster, &Op::TransferExcess(m), 0);
        }
    }
    let zone = "z0".into();
    let owners = |r: &Roster| r.zone(&zone).map(|m| m.slices.len()).collect::<Vec<_>>();
    assert!(owners(&roster).iter().all(|n| (80..=90).contains(n)), "{:?}", owners(&roster));
    let before = roster.owner(&zone, "target-1").expect("an owner").vm.clone();
    roster.start_leaving(&before, 1).expect("it is listed");
    let after = roster.owner(&zone, "target-1").expect("an owner").vm.clone();
    assert_ne!(before, after);
    assert_eq!(owners(&roster).iter().sum::<usize>(), usize::from(SLICE_COUNT));
    let old = Member { incarnation: 0, ..member(0, 0) };
    assert!(roster.join(&old).is_err(), "an earlier incarnation can't join again");
}
