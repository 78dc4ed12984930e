//! The budgets of the bytes that a VM holds.

use shallotstall::net::{ByteBudget, HoldKind};

const KB: usize = 1 << 10;

/// Guards against bytes that stay held for good, and against responses that take the room of requests.
#[test]
fn bytes_are_held_by_kind_until_they_are_dropped() {
    let budget = ByteBudget::for_memory(64 << 20);
    let mut request = budget.hold(HoldKind::Request);
    let mut response = budget.hold(HoldKind::Response);
    let mut other = budget.hold(HoldKind::Response);
    let mut ahead = budget.hold(HoldKind::Ahead);
    // What is asked for by each, in KB, whether there is room, and what is then held of each kind.
    let steps = [
        (&mut response, 8 << 10, true, [0, 0, 8 << 10]),
        (&mut other, 1, false, [0, 0, 8 << 10]),
        (&mut ahead, 4 << 10, true, [4 << 10, 0, 8 << 10]),
        (&mut request, 16 << 10, true, [4 << 10, 16 << 10, 8 << 10]),
    ];
    for (held, wanted, fits, expected) in steps {
        assert_eq!(held.try_set(wanted * KB), fits, "{wanted} KB");
        let now = HoldKind::ALL.map(|kind| budget.held(kind) / KB);
        assert_eq!(now, expected, "{wanted} KB");
    }
    assert!(!request.try_set((16 << 10) * KB + 1));
    assert_eq!(budget.refused().get(), 2);
    assert!(response.try_set(KB), "less always fits");
    assert!(other.try_set(KB));
    drop((ahead, request, response));
    assert_eq!(HoldKind::ALL.map(|kind| budget.held(kind)), [0, 0, KB]);
}
