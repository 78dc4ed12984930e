//! What a stopping entry VM accepts.

use std::time::Duration;

use proptest::prelude::*;
use shallotstall::steer::{LoopTicks, SignalWindow, StopSchedule};

const START: Duration = Duration::from_secs(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn early_requests_are_accepted_whatever_their_timeout() {
    let stop = StopSchedule::within_grace(SignalWindow::exact(START), ms(6_000));
    assert!(stop.accepts(START, START + ms(60_000)));
    assert!(stop.accepts(START + ms(2_000), START + ms(8_000)));
}

/// Guards against requests that are sent to a target although the process exits before they end.
#[test]
fn late_requests_are_accepted_only_if_they_time_out_before_the_exit() {
    let stop = StopSchedule::within_grace(SignalWindow::exact(START), ms(6_000));
    assert!(!stop.accepts(START + ms(3_000), START + ms(6_000)));
    assert!(stop.accepts(START + ms(3_000), START + ms(4_500)));
    assert!(!stop.accepts(START + ms(4_300), START + ms(4_400)), "the stop is nearly over");
}

proptest! {
    /// Requests that the platform doesn't excuse are those sent later than 3 s after the signal.
    #[test]
    fn no_request_accepted_after_three_seconds_outlives_the_process(
        grace in 500u64..60_000,
        elapsed in 3_000u64..60_000,
        timeout in 0u64..120_000,
    ) {
        let stop = StopSchedule::within_grace(SignalWindow::exact(START), ms(grace));
        let now = START + ms(elapsed);
        if stop.accepts(now, now + ms(timeout)) {
            prop_assert!(now + ms(timeout) < stop.exit_at());
        }
        prop_assert!(stop.close_at() < stop.exit_at());
        prop_assert!(stop.exit_at() < START + ms(grace));
    }
}

/// Guards against the tick that is found together with a signal after a pause, and counts as a proof
/// that the loop ran before it.
#[test]
fn a_signal_may_have_been_sent_during_the_whole_pause_before_it_was_handled() {
    let mut ticks = LoopTicks::new(START);
    for now in [100, 200, 300] {
        ticks.record(START + ms(now));
    }
    let paused = ticks;
    ticks.record(START + ms(1_100));
    let window = ticks.signal_window(START + ms(1_101));
    let stop = StopSchedule::within_grace(window, ms(6_000));
    assert!(stop.exit_at() < START + ms(300) + ms(6_000), "sent at the start of the pause");

    // The signal is handled before the tick.
    let window = paused.signal_window(START + ms(1_100));
    let stop = StopSchedule::within_grace(window, ms(6_000));
    assert!(stop.exit_at() < START + ms(300) + ms(6_000), "sent at the start of the pause");
}

#[test]
fn a_loop_that_has_not_ticked_yet_has_run_since_its_start() {
    let stop =
        StopSchedule::within_grace(LoopTicks::new(START).signal_window(START + ms(70)), ms(6_000));
    assert!(stop.exit_at() < START + ms(6_000));
}

proptest! {
    /// Whenever in its window the signal was sent: the process exits before it is killed, and accepts
    /// late requests only if they end before.
    #[test]
    fn a_late_handling_of_the_signal_is_no_excuse(
        grace in 500u64..60_000,
        pause in 0u64..5_000,
        sent in 0u64..5_000,
        elapsed in 0u64..60_000,
        timeout in 0u64..120_000,
    ) {
        let mut ticks = LoopTicks::new(START);
        ticks.record(START);
        ticks.record(START + ms(pause));
        let signal = START + ms(sent.min(pause));
        let handled = START + ms(pause);
        let stop = StopSchedule::within_grace(ticks.signal_window(handled), ms(grace));
        prop_assert!(stop.exit_at() < signal + ms(grace));
        let now = handled + ms(elapsed);
        let deadline = now + ms(timeout);
        if stop.accepts(now, deadline) && deadline >= stop.exit_at() {
            prop_assert!(now <= signal + ms(3_000), "the platform excuses only earlier requests");
            prop_assert!(stop.exit_at() >= signal + ms(grace).mul_f64(5.0 / 6.0));
        }
        if stop.may_retry(now, deadline) {
            prop_assert!(deadline < stop.exit_at(), "a retry has no excuse");
        }
        let (first, last) = (stop.unblock_at(), stop.respond_by());
        prop_assert!(first <= last && last < stop.exit_at());
        let excused_from = signal + ms(grace).mul_f64(5.0 / 6.0);
        prop_assert!(first == last || first >= excused_from);
        if stop.accepts(now, deadline) && deadline > last {
            prop_assert!(now <= signal + ms(3_000) && first >= excused_from);
        }
        prop_assert!(!stop.names_vm(now) && !stop.holds_leases(now));
        prop_assert!(stop.close_at() < stop.exit_at());
    }
}

/// Guards against responses that are ready and not written, since a request in front of them outlives the stop.
#[test]
fn a_request_with_others_behind_it_fails_early_enough_for_their_responses() {
    let stop = StopSchedule::within_grace(SignalWindow::exact(START), ms(6_000));
    assert_eq!(stop.unblock_at(), START + ms(5_200));
    assert_eq!(stop.respond_by(), START + ms(5_580));
}

/// A request that has been at a target has used up part of its time, so no exception is made for it.
#[test]
fn a_retry_is_sent_only_if_it_ends_before_the_exit() {
    let stop = StopSchedule::within_grace(SignalWindow::exact(START), ms(6_000));
    let now = START + ms(1_000);
    assert!(stop.accepts(now, START + ms(7_000)));
    assert!(!stop.may_retry(now, START + ms(7_000)));
    assert!(stop.may_retry(now, START + ms(4_000)));
    // Later than any new request is accepted, since it was accepted to end by then.
    assert!(stop.may_retry(START + ms(4_500), START + ms(5_500)));
}

proptest! {
    /// A stop that nobody but the operator bounds makes no exception.
    #[test]
    fn no_request_accepted_after_a_notice_outlives_the_process(
        notice in 0u64..10_000,
        drain in 0u64..120_000,
        elapsed in 0u64..200_000,
        timeout in 0u64..200_000,
    ) {
        let stop = StopSchedule::with_notice(START, ms(notice), ms(drain));
        let now = START + ms(elapsed);
        let deadline = now + ms(timeout);
        if stop.accepts(now, deadline) || stop.may_retry(now, deadline) {
            prop_assert!(deadline < stop.exit_at());
        }
        if elapsed + timeout + 100 <= notice + drain && timeout > 0 {
            prop_assert!(stop.accepts(now, deadline), "it ends in time");
        }
        prop_assert!(!stop.names_vm(now) && !stop.holds_leases(now));
        prop_assert_eq!(stop.close_at(), START + ms(notice));
        prop_assert_eq!(stop.exit_at(), START + ms(notice + drain));
    }
}
