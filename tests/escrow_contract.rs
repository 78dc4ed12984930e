//! Contract tests of [`Quota`], [`Pool`] and [`GrantedTokens`] with lost, duplicate, late and
//! misdirected messages: one case per row.

use std::time::{Duration, Instant};

use shallotstall::escrow::{GrantedTokens, Pool, Quota, Settings};
use shallotstall::model::VmId;
use shallotstall::peer::ask::{Grant, GrantRequest, Loan, LoanRequest, LoanReturn};

const SETTINGS: fn() -> Settings = Settings::default;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn loan_request(held: u64, incarnation: u64) -> LoanRequest {
    LoanRequest { stamp: 1, held, incarnation }
}

/// A quota of 10 tokens per second and 10 tokens, with a full bucket.
fn full_quota(start: Instant) -> Quota {
    let mut quota = Quota::new(start, SETTINGS(), 100);
    quota.resize(start, 10.0, 10.0);
    quota.bucket(start).add(start, 10.0);
    quota
}

fn loan(id: u64, seq: u64, tokens: f64) -> Loan {
    Loan { stamp: 1, id, seq, rate: 10.0, capacity: 10.0, tokens, lease_us: 2_000_000 }
}

/// Which requests a quota accepts that is lent to incarnation 1 of `home` as loan 101.
#[test]
fn a_lent_quota_is_lent_to_nobody_else() {
    let cases = [
        ("renewal by the borrower", "home", 101, 1, Some((101, 0.0))),
        ("the borrower lost the loan's message", "home", 0, 1, Some((102, 0.0))),
        ("another member", "other", 0, 1, None),
        ("a new incarnation of the borrower", "home", 0, 2, None),
        ("a loan that never existed", "home", 77, 1, None),
    ];
    for (name, to, held, incarnation, expected) in cases {
        let start = Instant::now();
        let mut quota = full_quota(start);
        let first =
            quota.lend(start, &"home".into(), &loan_request(0, 1)).expect("the quota is free");
        assert_eq!((first.id, first.tokens), (101, 10.0));
        assert_eq!(quota.bucket(start).tokens(start), 0.0, "the owner holds nothing");
        let second = quota.lend(start + ms(100), &to.into(), &loan_request(held, incarnation));
        assert_eq!(second.map(|l| (l.id, l.tokens)), expected, "{name}");
    }
}

/// When the owner may use its quota again, after a loan at time 0 with a TTL of 2 s. An owner that
/// resumes too early admits tokens that the borrower admits, too.
#[test]
fn a_quota_is_restored_only_when_its_borrower_has_stopped() {
    type Act = fn(&mut Quota, Instant);
    let returned = |tokens| LoanReturn { id: 101, tokens };
    let cases: [(&str, Act, u64, u64); 5] = [
        ("nothing is heard", |_, _| {}, 2_000, 2_100),
        (
            "the borrower's process ended",
            |q, at| q.borrower_died(at, &"home".into(), 1),
            1_100,
            1_300,
        ),
        (
            "an earlier incarnation of it ended",
            |q, at| q.borrower_died(at, &"home".into(), 0),
            2_000,
            2_100,
        ),
        (
            "another loan is returned",
            |q, at| q.take_back(at, &"home".into(), &LoanReturn { id: 9, tokens: 5.0 }),
            2_000,
            2_100,
        ),
        (
            "another member returns it",
            |q, at| q.take_back(at, &"other".into(), &LoanReturn { id: 101, tokens: 5.0 }),
            2_000,
            2_100,
        ),
    ];
    for (name, act, lent_ms, restored_ms) in cases {
        let start = Instant::now();
        let mut quota = full_quota(start);
        quota.lend(start, &"home".into(), &loan_request(0, 1)).expect("the quota is free");
        act(&mut quota, start + ms(100));
        assert!(quota.borrower().is_some(), "{name}");
        assert_eq!(quota.bucket(start + ms(lent_ms)).capacity(), 0.0, "{name}: still lent");
        assert_eq!(quota.bucket(start + ms(restored_ms)).capacity(), 10.0, "{name}: restored");
        assert!(
            quota.bucket(start + ms(restored_ms)).tokens(start + ms(restored_ms)) < 1.0,
            "{name}: empty"
        );
    }
    let start = Instant::now();
    let mut quota = full_quota(start);
    quota.lend(start, &"home".into(), &loan_request(0, 1)).expect("the quota is free");
    quota.take_back(start + ms(100), &"home".into(), &returned(4.0));
    assert_eq!(quota.bucket(start + ms(100)).tokens(start + ms(100)), 4.0);
    quota.take_back(start + ms(100), &"home".into(), &returned(4.0));
    assert_eq!(quota.bucket(start + ms(100)).tokens(start + ms(100)), 4.0, "a repeated return");
}

/// A smaller size is in effect only once the borrower can't use the larger one any more: a renewal
/// that tells it the smaller size may be lost.
#[test]
fn a_borrower_may_use_the_old_size_until_its_loan_expires() {
    let start = Instant::now();
    let mut quota = full_quota(start);
    let first = quota.lend(start, &"home".into(), &loan_request(0, 1)).expect("the quota is free");
    quota.resize(start + ms(500), 5.0, 5.0);
    assert_eq!(quota.max_in_use(start + ms(500)), (10.0, 10.0));
    let renewed = quota.lend(start + ms(600), &"home".into(), &loan_request(first.id, 1));
    assert_eq!(renewed.expect("a renewal").capacity, 5.0);
    assert_eq!(quota.max_in_use(start + ms(1_900)), (10.0, 10.0), "the renewal may be lost");
    assert_eq!(quota.max_in_use(start + ms(2_100)), (5.0, 5.0));
}

/// Messages of loan 7, reordered and duplicated: its tokens are added once at most.
#[test]
fn a_duplicate_or_late_loan_adds_nothing() {
    let lender = VmId::from("lender");
    let cases: [(&str, &[Loan], f64); 5] = [
        ("once", &[loan(7, 1, 6.0)], 6.0),
        ("twice", &[loan(7, 1, 6.0), loan(7, 1, 6.0)], 6.0),
        ("after its renewal", &[loan(7, 2, 0.0), loan(7, 1, 6.0)], 0.0),
        ("then an earlier loan", &[loan(7, 1, 6.0), loan(6, 1, 4.0)], 6.0),
        ("renewed", &[loan(7, 1, 6.0), loan(7, 2, 0.0)], 6.0),
    ];
    for (name, messages, tokens) in cases {
        let start = Instant::now();
        let mut pool = Pool::new(start, SETTINGS());
        messages.iter().for_each(|m| pool.accept(start, &lender, start, m));
        assert_eq!(pool.totals(start).0, tokens, "{name}");
    }
    // A duplicate message after the loan was returned or declined.
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start, &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.return_loans(start), [(lender.clone(), LoanReturn { id: 7, tokens: 6.0 })]);
    pool.accept(start, &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.totals(start), (0.0, 0.0, 0.0), "returned");
    pool.decline(&lender, &loan(8, 1, 6.0));
    pool.accept(start, &lender, start, &loan(8, 1, 6.0));
    assert_eq!(pool.totals(start), (0.0, 0.0, 0.0), "declined");
}

/// The TTL of a loan counts from the sending of its request, however late the loan arrives: else the
/// pool would use it longer than the lender expects.
#[test]
fn a_loan_expires_from_the_time_its_request_was_sent() {
    let lender = VmId::from("lender");
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start + ms(1_500), &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.totals(start + ms(1_999)).2, 10.0);
    assert_eq!(pool.totals(start + ms(2_000)).2, 0.0);
    pool.accept(start + ms(4_500), &lender, start + ms(2_400), &loan(8, 1, 6.0));
    assert_eq!(pool.totals(start + ms(4_500)).2, 0.0, "it arrived after its expiry");
}

/// What a pool of 10 tokens grants, and what it has left. A grant that outlasted the loans that
/// cover it could be used together with the returned quota.
#[test]
fn a_grant_is_covered_by_loans_until_it_expires() {
    let request =
        |seq, want, holding| GrantRequest { seq, want, ahead: 0.0, holding, incarnation: 1 };
    let start = Instant::now();
    let member = VmId::from("member");
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start, &"lender".into(), start, &loan(7, 1, 10.0));
    let first = pool.grant(start, &member, &request(1, 4.0, 0.0)).expect("a grant");
    assert_eq!(first.tokens, 4.0);
    assert_eq!(pool.totals(start).0, 6.0);
    assert!(pool.grant(start, &member, &request(1, 4.0, 0.0)).is_none(), "a duplicate request");
    // With 4 outstanding, the pool refills to 6 only.
    assert_eq!(pool.totals(start + ms(900)).0, 6.0);
    // The member reports that it holds 1 token, so it has used 3.
    let second = pool.grant(start + ms(900), &member, &request(2, 0.0, 1.0)).expect("a grant");
    assert_eq!(second.tokens, 0.0);
    assert!(pool.totals(start + ms(1_000)).0 > 6.0);
    // Near the loan's expiry, every grant would outlast it.
    let late = pool.grant(start + ms(1_500), &member, &request(3, 2.0, 0.0)).expect("a grant");
    assert_eq!(late.tokens, 0.0);
}

/// A pool without loans must tell members to retry soon. A long wait made a new fleet refuse every
/// request as over its rate for the first 60 s.
#[test]
fn a_pool_without_loans_has_members_retry_soon() {
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    let request = GrantRequest { seq: 1, want: 1.0, ahead: 0.0, holding: 0.0, incarnation: 1 };
    let grant = pool.grant(start, &"member".into(), &request).expect("a grant");
    assert_eq!(grant.tokens, 0.0);
    assert!(Duration::from_micros(grant.wait_us) < SETTINGS().renew_interval, "{}", grant.wait_us);
}

/// Which grants are accepted after requests 1 and 2 to `home`.
#[test]
fn a_grant_is_accepted_only_for_the_pending_request() {
    let grant = |seq| Grant { seq, tokens: 5.0, lease_us: 1_000_000, wait_us: 0 };
    let cases = [
        ("the pending request", "home", 2, true),
        ("a request that was replaced", "home", 1, false),
        ("from another member", "other", 2, false),
        ("a request never made", "home", 3, false),
    ];
    for (name, from, seq, accepted) in cases {
        let start = Instant::now();
        let mut granted = GrantedTokens::new(start, 1, 0);
        granted.request(start, &"home".into(), 5.0, 0.0);
        granted.request(start + ms(300), &"home".into(), 5.0, 0.0);
        let at = start + ms(400);
        assert_eq!(granted.accept(at, &from.into(), &grant(seq)), accepted, "{name}");
        assert_eq!(granted.tokens(at), if accepted { 5.0 } else { 0.0 }, "{name}");
        granted.accept(at, &from.into(), &grant(seq));
        assert_eq!(granted.tokens(at), if accepted { 5.0 } else { 0.0 }, "{name}, duplicate");
        assert_eq!(
            granted.tokens(start + ms(1_300)),
            0.0,
            "{name}: expiry counts from the request"
        );
    }
}
