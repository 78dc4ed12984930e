//! The roster: whatever members do, nothing is owned twice, and nothing goes to a leaving member.

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
    Give(u8),
    TakeFree(u8),
    StartLeaving(u8),
    Remove(u8),
}

fn op() -> impl Strategy<Value = Op> {
    (0u8..9, 0u8..5).prop_map(|(n, kind)| match kind {
        0 => Op::Join(n),
        1 => Op::Give(n),
        2 => Op::TakeFree(n),
        3 => Op::StartLeaving(n),
        _ => Op::Remove(n),
    })
}

fn apply(roster: &mut Roster, op: &Op, clock: u64) {
    let life = |r: &Roster, n: u8| r.member(&member(n, 0).vm).map_or(0, |m| m.incarnation);
    // Members that are not listed are refused, and change nothing.
    let _ = match op {
        Op::Join(n) => roster.join(&member(*n, clock)),
        Op::Give(n) => {
            let vm = member(*n, 0).vm;
            match roster.retained(&vm) {
                Some((parts, slices)) => {
                    let life = life(roster, *n);
                    roster.transfer_excess(&vm, life, parts, &slices)
                }
                None => Ok(()),
            }
        }
        Op::TakeFree(n) => {
            roster.take_unowned(&member(*n, 0).vm);
            Ok(())
        }
        Op::StartLeaving(n) => {
            let life = life(roster, *n);
            roster.start_leaving(&member(*n, 0).vm, life)
        }
        Op::Remove(n) => {
            let life = life(roster, *n);
            roster.remove(&member(*n, 0).vm, life)
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
            prop_assert!(roster.is_sound(), "after {op:?}: {roster:?}");
            for m in roster.members.iter().filter(|m| m.leaving) {
                let old = before.member(&m.vm);
                prop_assert!(old.is_none_or(|o| m.parts <= o.parts), "{op:?} gave to a leaver");
                prop_assert!(m.slices.is_empty(), "{op:?} gave slices to a leaver");
            }
        }
    }

    /// Left alone, members come to fair shares and then change nothing more.
    #[test]
    fn giving_comes_to_rest(ops in prop::collection::vec(op(), 1..40)) {
        let mut roster = Roster::default();
        for (clock, op) in ops.iter().enumerate() {
            apply(&mut roster, op, clock as u64 + 1);
        }
        for _ in 0..20 {
            for n in 0..9 {
                apply(&mut roster, &Op::Give(n), 0);
                apply(&mut roster, &Op::TakeFree(n), 0);
            }
        }
        let rest = roster.clone();
        for n in 0..9 {
            apply(&mut roster, &Op::Give(n), 0);
            apply(&mut roster, &Op::TakeFree(n), 0);
        }
        prop_assert_eq!(&rest, &roster);
        let staying = roster.members.iter().filter(|m| !m.leaving).count();
        if staying > 0 {
            let parts: u32 = roster.members.iter().map(|m| m.parts).sum();
            prop_assert!(parts >= PART_COUNT - 16, "{parts} of all parts are owned");
        }
    }
}

/// The example of the daemons: three members of one zone.
#[test]
fn a_target_has_one_owner_and_a_new_one_when_that_leaves() {
    let mut roster = Roster::default();
    for n in [0, 3, 6] {
        roster.join(&member(n, 1)).expect("nobody is newer");
        for m in [0, 3, 6] {
            apply(&mut roster, &Op::Give(m), 0);
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
    assert!(roster.join(&old).is_err(), "an earlier life can't come back");
}
