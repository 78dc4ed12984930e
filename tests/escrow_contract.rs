//! Contract tests of floor, pool and wallet: one fault case a row.

use std::time::{Duration, Instant};

use shallotstall::escrow::{Floor, Pool, Settings, Wallet};
use shallotstall::model::VmId;
use shallotstall::peer::ask::{Ask, Borrow, Grant, Loan, Return};

const SETTINGS: fn() -> Settings = Settings::default;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn borrow(held: u64, incarnation: u64) -> Borrow {
    Borrow { stamp: 1, held, incarnation }
}

/// A floor of 10 tokens a second and 10 tokens, full.
fn full_floor(start: Instant) -> Floor {
    let mut floor = Floor::new(start, SETTINGS(), 100);
    floor.resize(start, 10.0, 10.0);
    floor.bucket(start).add(start, 10.0);
    floor
}

fn loan(id: u64, seq: u64, tokens: f64) -> Loan {
    Loan { stamp: 1, id, seq, rate: 10.0, capacity: 10.0, tokens, lease_us: 2_000_000 }
}

/// Who may borrow a floor that is lent to `home` in life 1 as loan 101.
#[test]
fn a_lent_floor_is_lent_to_nobody_else() {
    let cases = [
        ("renewal by the borrower", "home", 101, 1, Some((101, 0.0))),
        ("the borrower lost the loan's message", "home", 0, 1, Some((102, 0.0))),
        ("another member", "other", 0, 1, None),
        ("a new life of the borrower", "home", 0, 2, None),
        ("a loan that was never given", "home", 77, 1, None),
    ];
    for (name, to, held, incarnation, expected) in cases {
        let start = Instant::now();
        let mut floor = full_floor(start);
        let first = floor.lend(start, &"home".into(), &borrow(0, 1)).expect("the floor is free");
        assert_eq!((first.id, first.tokens), (101, 10.0));
        assert_eq!(floor.bucket(start).tokens(start), 0.0, "the owner holds nothing");
        let second = floor.lend(start + ms(100), &to.into(), &borrow(held, incarnation));
        assert_eq!(second.map(|l| (l.id, l.tokens)), expected, "{name}");
    }
}

/// When the owner may use its floor again, after a loan at time 0 with a lease of 2 s.
#[test]
fn a_floor_comes_back_only_when_its_borrower_has_stopped() {
    type Act = fn(&mut Floor, Instant);
    let back = |tokens| Return { id: 101, tokens };
    let cases: [(&str, Act, u64, u64); 5] = [
        ("nothing is heard", |_, _| {}, 2_000, 2_100),
        (
            "the borrower's process ended",
            |f, at| f.borrower_died(at, &"home".into(), 1),
            1_100,
            1_300,
        ),
        (
            "an earlier life of it ended",
            |f, at| f.borrower_died(at, &"home".into(), 0),
            2_000,
            2_100,
        ),
        (
            "another loan is given back",
            |f, at| f.take_back(at, &"home".into(), &Return { id: 9, tokens: 5.0 }),
            2_000,
            2_100,
        ),
        (
            "another member gives it back",
            |f, at| f.take_back(at, &"other".into(), &Return { id: 101, tokens: 5.0 }),
            2_000,
            2_100,
        ),
    ];
    for (name, act, away, home) in cases {
        let start = Instant::now();
        let mut floor = full_floor(start);
        floor.lend(start, &"home".into(), &borrow(0, 1)).expect("the floor is free");
        act(&mut floor, start + ms(100));
        assert!(floor.borrower().is_some(), "{name}");
        assert_eq!(floor.bucket(start + ms(away)).capacity(), 0.0, "{name}: still away");
        assert_eq!(floor.bucket(start + ms(home)).capacity(), 10.0, "{name}: back");
        assert!(floor.bucket(start + ms(home)).tokens(start + ms(home)) < 1.0, "{name}: empty");
    }
    let start = Instant::now();
    let mut floor = full_floor(start);
    floor.lend(start, &"home".into(), &borrow(0, 1)).expect("the floor is free");
    floor.take_back(start + ms(100), &"home".into(), &back(4.0));
    assert_eq!(floor.bucket(start + ms(100)).tokens(start + ms(100)), 4.0);
    floor.take_back(start + ms(100), &"home".into(), &back(4.0));
    assert_eq!(floor.bucket(start + ms(100)).tokens(start + ms(100)), 4.0, "a repeated return");
}

/// A smaller floor is in force only when the borrower has stopped using the larger one.
#[test]
fn a_borrower_may_use_the_old_size_until_its_lease_ends() {
    let start = Instant::now();
    let mut floor = full_floor(start);
    let first = floor.lend(start, &"home".into(), &borrow(0, 1)).expect("the floor is free");
    floor.resize(start + ms(500), 5.0, 5.0);
    assert_eq!(floor.in_use(start + ms(500)), (10.0, 10.0));
    let renewed = floor.lend(start + ms(600), &"home".into(), &borrow(first.id, 1));
    assert_eq!(renewed.expect("a renewal").capacity, 5.0);
    assert_eq!(floor.in_use(start + ms(1_900)), (10.0, 10.0), "the renewal may be lost");
    assert_eq!(floor.in_use(start + ms(2_100)), (5.0, 5.0));
}

/// Messages of loan 7 that come in any order, once or twice: the tokens are counted once.
#[test]
fn a_repeated_or_late_loan_adds_nothing() {
    let lender = VmId::from("lender");
    let cases: [(&str, &[Loan], f64); 5] = [
        ("once", &[loan(7, 1, 6.0)], 6.0),
        ("twice", &[loan(7, 1, 6.0), loan(7, 1, 6.0)], 6.0),
        ("after its renewal", &[loan(7, 2, 0.0), loan(7, 1, 6.0)], 0.0),
        ("of an earlier loan", &[loan(7, 1, 6.0), loan(6, 1, 4.0)], 6.0),
        ("renewed", &[loan(7, 1, 6.0), loan(7, 2, 0.0)], 6.0),
    ];
    for (name, messages, tokens) in cases {
        let start = Instant::now();
        let mut pool = Pool::new(start, SETTINGS());
        messages.iter().for_each(|m| pool.accept(start, &lender, start, m));
        assert_eq!(pool.level(start).0, tokens, "{name}");
    }
    // Given back or declined, and then repeated.
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start, &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.close(start), [(lender.clone(), Return { id: 7, tokens: 6.0 })]);
    pool.accept(start, &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.level(start), (0.0, 0.0, 0.0), "given back");
    pool.decline(&lender, &loan(8, 1, 6.0));
    pool.accept(start, &lender, start, &loan(8, 1, 6.0));
    assert_eq!(pool.level(start), (0.0, 0.0, 0.0), "declined");
}

/// A loan counts from the sending of its request, however late its message comes.
#[test]
fn a_loan_ends_by_the_time_its_request_was_sent() {
    let lender = VmId::from("lender");
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start + ms(1_500), &lender, start, &loan(7, 1, 6.0));
    assert_eq!(pool.level(start + ms(1_999)).2, 10.0);
    assert_eq!(pool.level(start + ms(2_000)).2, 0.0);
    pool.accept(start + ms(4_500), &lender, start + ms(2_400), &loan(8, 1, 6.0));
    assert_eq!(pool.level(start + ms(4_500)).2, 0.0, "it came after its end");
}

/// What a pool of 10 tokens grants, and what is then left.
#[test]
fn a_grant_is_covered_until_it_ends() {
    let ask = |seq, want, holding| Ask { seq, want, ahead: 0.0, holding, incarnation: 1 };
    let start = Instant::now();
    let member = VmId::from("member");
    let mut pool = Pool::new(start, SETTINGS());
    pool.accept(start, &"lender".into(), start, &loan(7, 1, 10.0));
    let first = pool.grant(start, &member, &ask(1, 4.0, 0.0)).expect("a grant");
    assert_eq!(first.tokens, 4.0);
    assert_eq!(pool.level(start).0, 6.0);
    assert!(pool.grant(start, &member, &ask(1, 4.0, 0.0)).is_none(), "a repeated ask");
    // With 4 outstanding, the pool refills to 6 only.
    assert_eq!(pool.level(start + ms(900)).0, 6.0);
    // The member says that it has spent 3.
    let second = pool.grant(start + ms(900), &member, &ask(2, 0.0, 1.0)).expect("a grant");
    assert_eq!(second.tokens, 0.0);
    assert!(pool.level(start + ms(1_000)).0 > 6.0);
    // Near the loan's end nothing can be granted that would outlast it.
    let late = pool.grant(start + ms(1_500), &member, &ask(3, 2.0, 0.0)).expect("a grant");
    assert_eq!(late.tokens, 0.0);
}

/// A pool that has borrowed nothing yet is worth asking again soon. Found end to end: a fleet
/// answered every request as over its rate for its first 60 s.
#[test]
fn an_empty_pool_says_to_ask_again_soon() {
    let start = Instant::now();
    let mut pool = Pool::new(start, SETTINGS());
    let ask = Ask { seq: 1, want: 1.0, ahead: 0.0, holding: 0.0, incarnation: 1 };
    let grant = pool.grant(start, &"member".into(), &ask).expect("a grant");
    assert_eq!(grant.tokens, 0.0);
    assert!(Duration::from_micros(grant.wait_us) < SETTINGS().renew, "{}", grant.wait_us);
}

/// Which grants a wallet takes, after asks 1 and 2 to `home`.
#[test]
fn a_wallet_takes_only_the_answer_to_its_open_ask() {
    let grant = |seq| Grant { seq, tokens: 5.0, lease_us: 1_000_000, wait_us: 0 };
    let cases = [
        ("the open one", "home", 2, true),
        ("one that was given up", "home", 1, false),
        ("of another member", "other", 2, false),
        ("never asked", "home", 3, false),
    ];
    for (name, from, seq, taken) in cases {
        let start = Instant::now();
        let mut wallet = Wallet::new(start, 1, 0);
        wallet.ask(start, &"home".into(), 5.0, 0.0);
        wallet.ask(start + ms(300), &"home".into(), 5.0, 0.0);
        let at = start + ms(400);
        assert_eq!(wallet.accept(at, &from.into(), &grant(seq)), taken, "{name}");
        assert_eq!(wallet.tokens(at), if taken { 5.0 } else { 0.0 }, "{name}");
        wallet.accept(at, &from.into(), &grant(seq));
        assert_eq!(wallet.tokens(at), if taken { 5.0 } else { 0.0 }, "{name}, repeated");
        assert_eq!(wallet.tokens(start + ms(1_300)), 0.0, "{name}: counted from the ask");
    }
}
