//! What a stopping daemon decides by time.

use std::time::Duration;

use proptest::prelude::*;
use shallotstall::node::{DaemonStop, RequestsInProgress};

const START: Duration = Duration::from_secs(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

proptest! {
    /// Guards against requests that are accepted, sent or retried although the stop ends before them, and
    /// against refusals of those that end in time.
    #[test]
    fn no_accepted_request_outlives_the_exit(
        notice in 0u64..10_000,
        drain in 0u64..120_000,
        elapsed in 0u64..200_000,
        timeout in 0u64..200_000,
    ) {
        let stop = DaemonStop::new(START, ms(notice), ms(drain));
        let now = START + ms(elapsed);
        let deadline = now + ms(timeout);
        if stop.accepts(now, deadline) || stop.may_retry(now, deadline) {
            prop_assert!(deadline < stop.exit_at());
            prop_assert!(deadline <= stop.fail_at(), "it gets its own response");
        }
        if timeout > 0 && elapsed + timeout + 100 <= notice + drain {
            prop_assert!(stop.accepts(now, deadline), "it ends in time");
        }
        prop_assert_eq!(stop.close_at(), START + ms(notice));
        prop_assert_eq!(stop.exit_at(), START + ms(notice + drain));
        prop_assert!(!stop.names_vm(now) && !stop.holds_leases(now));
    }

    /// Guards against targets that are given away, and sessions that end, while one of the targets
    /// runs a forwarded request: whatever the settings and the moment, also long after the exit.
    #[test]
    fn targets_with_forwarded_requests_are_kept(
        notice in 0u64..10_000,
        drain in 0u64..120_000,
        elapsed in 0u64..2_000_000,
        callers in 0u64..3,
        forwarded in 1u64..5,
    ) {
        let stop = DaemonStop::new(START, ms(notice), ms(drain));
        let at_targets = callers + forwarded;
        let requests = RequestsInProgress { callers, forwarded, at_targets, claims: 0 };
        prop_assert!(!stop.may_transfer(START + ms(elapsed), requests));
    }

    /// Guards against a stop that hangs: with callers' requests, or claims that the store doesn't take,
    /// and against one that begins its end while callers may still be served in time.
    #[test]
    fn callers_are_waited_for_until_the_exit_and_not_much_longer(
        notice in 0u64..10_000,
        drain in 0u64..120_000,
        pause in 0u64..300_000,
        elapsed in 0u64..500_000,
        callers in 0u64..3,
        claims in 0u64..3,
    ) {
        let stop = DaemonStop::new(START, ms(notice), ms(drain));
        let closed_at = stop.close_at() + ms(pause);
        let now = closed_at + ms(elapsed);
        let requests = RequestsInProgress { callers, claims, ..RequestsInProgress::default() };
        let closes = stop.closes_targets(now, closed_at, requests);
        let idle = callers == 0 && claims == 0;
        if !idle {
            let late = now >= stop.exit_at() && now >= closed_at + ms(3_000);
            prop_assert_eq!(closes, late);
        } else {
            prop_assert!(closes && stop.may_transfer(now, requests));
        }
    }
}

/// Guards against steps of the handover without a bound: the store may be unreachable.
#[test]
fn every_step_of_the_handover_has_a_bound() {
    let stop = DaemonStop::new(START, ms(5_000), ms(60_000));
    for began_at in [START, stop.exit_at(), stop.exit_at() + ms(90_000)] {
        let ends = [
            stop.roster_by(began_at),
            stop.settle_by(began_at),
            stop.sessions_by(began_at),
            stop.operators_by(began_at),
        ];
        for until in ends {
            assert!(until > began_at && until <= began_at + ms(5_000));
        }
    }
    assert!(stop.names_vm(START - ms(1)) && stop.holds_leases(START - ms(1)));
}
