//! Final rejections that a newer routing table proves wrong.

use std::time::Duration;

use shallotstall::steer::{
    Customer, OverturnedRejection, RecentRejections, Rejection, RejectionReason, Route, Table,
    TableIndex, key_hash,
};

/// Time after a rejection at which the tests put version 2 in force.
const SOON: Duration = Duration::from_secs(3);
/// The most that is kept.
const REJECTIONS_MAX: usize = 256;

/// A table with a route at `/view/` and one customer, and, from version 2 on, a route at `/new/`, which
/// needs no key, and a second customer.
fn table(version: u64) -> TableIndex {
    let route = |name: &str, open| Route {
        name: name.to_owned(),
        host: "zoo.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotent: true,
        timeout_ms: 1_000,
        aim_ms: 500,
        priority: 0,
        parts: Vec::new(),
        attempts: 1,
        open,
        sticky: false,
        homes: Vec::new(),
    };
    let customer = |id: &str, key: &str| Customer {
        id: id.into(),
        keys: vec![key_hash(key)],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        homes: Vec::new(),
    };
    let mut routes = vec![route("view", false)];
    let mut customers = vec![customer("owls", "owl-key")];
    if version > 1 {
        routes.push(route("new", true));
        customers.push(customer("bears", "bear-key"));
    }
    TableIndex::new(Table { version, routes, customers, ..Table::default() })
}

fn rejection(reason: RejectionReason, path: &str, key: Option<&str>) -> Rejection {
    Rejection {
        id: "r-1".to_owned(),
        reason,
        host: "zoo.example:80".to_owned(),
        path: path.to_owned(),
        key: key.map(key_hash),
        at: Duration::from_secs(100),
        version: 1,
    }
}

/// Guards against a rejection from an old table that nobody notices, and one that is blamed wrongly.
#[test]
fn a_newer_table_overturns_what_it_allows() {
    use RejectionReason::{NoKey, NoRoute};
    let long = format!("/new/{}", "x".repeat(4_000));
    let late = Duration::from_millis(10_001);
    // What was rejected, the time until the table, its version, and the route if overturned.
    let cases = [
        (NoRoute, "/new/1", None, SOON, 2, Some("new")),
        (NoRoute, "/new/1", None, Duration::from_secs(10), 2, Some("new")),
        (NoRoute, "/new/1", None, SOON, 1, None),
        (NoRoute, "/new/1", None, late, 2, None),
        (NoRoute, "/else/1", Some("owl-key"), SOON, 2, None),
        (NoRoute, long.as_str(), None, SOON, 2, None),
        (NoKey, "/view/1", Some("bear-key"), SOON, 2, Some("view")),
        (NoKey, "/view/1", Some("bear-key"), late, 2, None),
        (NoKey, "/view/1", Some("cat-key"), SOON, 2, None),
        (NoKey, "/view/1", None, SOON, 2, None),
    ];
    for (reason, path, key, after, version, route) in cases {
        let case = format!("{reason:?} {path:.9} {key:?} {after:?} {version}");
        let rejection = rejection(reason, path, key);
        let mut recent = RecentRejections::default();
        recent.add(rejection.clone());
        let now = rejection.at + after;
        let overturned: Vec<_> = route
            .map(|route| OverturnedRejection { rejection, route: route.to_owned(), after })
            .into_iter()
            .collect();
        assert_eq!(recent.take_overturned(now, &table(version)), overturned, "{case}");
        if !overturned.is_empty() {
            assert_eq!(recent.take_overturned(now, &table(3)), [], "{case}: reported once");
        }
    }
}

/// Guards against a record that grows with the number of rejections.
#[test]
fn the_last_rejections_are_kept() {
    let mut recent = RecentRejections::default();
    for number in 0..REJECTIONS_MAX + 44 {
        let rejection = rejection(RejectionReason::NoRoute, "/new/1", None);
        recent.add(Rejection { id: number.to_string(), ..rejection });
    }
    let overturned = recent.take_overturned(Duration::from_secs(101), &table(2));
    assert_eq!(overturned.len(), REJECTIONS_MAX);
    assert_eq!(overturned[0].rejection.id, "44", "the oldest go first");
}
