//! What a routing table of some age is good for, and which requests wait for a newer proof of it.

use std::time::Duration;

use shallotstall::steer::{AgeBounds, Conclusion, PROOF_TIMEOUT, ProofContext};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a final rejection, or a valid key, by a table that is too old for it.
#[test]
fn each_conclusion_has_its_own_limit_of_the_tables_age() {
    let strict = AgeBounds { config_apply: ms(4_000), revoke: ms(5_000), fail_closed: true };
    let lenient = AgeBounds { fail_closed: false, ..strict };
    let short = AgeBounds { config_apply: ms(2_500), revoke: ms(1_000), ..strict };
    let never = Duration::MAX;
    let cases = [
        (strict, Conclusion::Reject, ms(0), true),
        (strict, Conclusion::Reject, ms(2_699), true),
        (strict, Conclusion::Reject, ms(2_700), false),
        (strict, Conclusion::Reject, never, false),
        (lenient, Conclusion::Reject, ms(2_700), false),
        (short, Conclusion::Reject, ms(1_249), true),
        (short, Conclusion::Reject, ms(1_250), false),
        (strict, Conclusion::AcceptKey, ms(3_700), true),
        (strict, Conclusion::AcceptKey, ms(3_701), false),
        (strict, Conclusion::AcceptKey, never, false),
        (lenient, Conclusion::AcceptKey, never, true),
        (short, Conclusion::AcceptKey, ms(0), false),
        (strict, Conclusion::ServeOpen, never, true),
    ];
    for (bounds, conclusion, age, allowed) in cases {
        assert_eq!(bounds.allow(conclusion, age), allowed, "{bounds:?} {conclusion:?} {age:?}");
    }
}

/// Guards against requests that wait in vain.
#[test]
fn a_request_waits_only_if_a_newer_proof_may_come_in_time() {
    let now = ms(10_000);
    let cases = [
        (false, now + PROOF_TIMEOUT + ms(1), true),
        (false, now + PROOF_TIMEOUT, false),
        (false, now - ms(1), false),
        (true, Duration::MAX, false),
        (false, Duration::MAX, true),
    ];
    for (store_unreachable, deadline, waits) in cases {
        let context = ProofContext { store_unreachable, deadline };
        assert_eq!(context.may_wait(now), waits, "{context:?}");
    }
}
