//! Look-ups: the entry VMs that they return, and the table of client blocks against a linear scan.

use std::net::Ipv4Addr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::lookup::{Block, BlockError, BlockTable, LookupVm, nearest_vms};
use shallotstall::model::Place;

fn block(first: u32, prefix: u8, site: u16) -> Block {
    let mask = u32::MAX.checked_shl(32 - u32::from(prefix)).unwrap_or(0);
    Block { first: Ipv4Addr::from(first & mask), prefix, site }
}

fn covers(b: &Block, client: u32) -> bool {
    block(client, b.prefix, 0).first == b.first
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_table_agrees_with_a_linear_scan(
        blocks in prop::collection::vec((any::<u32>(), 6u8..=32, 0u16..110), 0..300),
        clients in prop::collection::vec(any::<u32>(), 50),
    ) {
        let mut table = BlockTable::default();
        let mut reference: Vec<Block> = Vec::new();
        for (first, prefix, site) in blocks {
            let new = block(first, prefix, site);
            let same = reference.iter_mut().find(|b| b.first == new.first && b.prefix == new.prefix);
            match same {
                Some(old) => {
                    old.site = site;
                    prop_assert!(table.set(new).is_ok());
                }
                None => {
                    let overlaps = reference.iter().any(|b| {
                        covers(b, new.first.into()) || covers(&new, b.first.into())
                    });
                    prop_assert_eq!(table.set(new).is_err(), overlaps, "{:?}", new);
                    if !overlaps {
                        reference.push(new);
                    }
                }
            }
        }
        prop_assert_eq!(table.len(), reference.len());
        let built = BlockTable::build(reference.iter().copied()).expect("no overlaps");
        let inside = reference.iter().map(|b| u32::from(b.first));
        for client in clients.into_iter().chain(inside) {
            let expected = reference.iter().find(|b| covers(b, client)).map(|b| b.site);
            prop_assert_eq!(table.site(client.into()), expected);
            prop_assert_eq!(built.site(client.into()), expected);
        }
    }
}

#[test]
fn an_invalid_block_is_rejected() {
    let mut table = BlockTable::build([block(0x0a00_0000, 8, 1)]).expect("one block");
    let cases = [
        (Block { first: Ipv4Addr::new(1, 0, 0, 1), prefix: 8, site: 1 }, "has bits beyond"),
        (Block { first: Ipv4Addr::new(1, 0, 0, 0), prefix: 33, site: 1 }, "longer than 32"),
        (block(0x0a01_0000, 16, 2), "overlaps"),
        (block(0, 0, 2), "overlaps"),
    ];
    for (bad, words) in cases {
        let error: BlockError = table.set(bad).expect_err(words);
        assert!(error.to_string().contains(words), "{error}");
        assert_eq!(table.len(), 1);
    }
}

#[test]
fn look_ups_return_few_vms_and_the_nearest_zone_first() {
    let place = |zone: &str| Place { region: zone[..1].into(), zone: zone.into() };
    let vms: Vec<LookupVm> = ["n1-a", "n1-b", "n1-c", "n2-a", "n2-b", "c1-a", "c1-b"]
        .iter()
        .map(|vm| LookupVm {
            vm: (*vm).into(),
            place: place(&vm[..2]),
            addr: "127.0.0.1:1".parse().expect("an address"),
        })
        .collect();
    let zones = |customer: &str| -> Vec<String> {
        let found = nearest_vms(&vms, &place("n1"), customer);
        found.iter().map(|v| v.place.zone.to_string()).collect()
    };
    assert_eq!(zones("a"), ["n1", "n1", "n2", "c1"]);
    let names = |customer: &str| -> Vec<String> {
        nearest_vms(&vms, &place("n1"), customer).iter().map(|v| v.vm.to_string()).collect()
    };
    assert_eq!(names("a"), names("a"), "the same customer gets the same VMs");
    let different =
        (0..20).map(|n| names(&n.to_string())).collect::<std::collections::BTreeSet<_>>();
    assert!(different.len() > 3, "customers are spread");
    assert!(nearest_vms(&[], &place("n1"), "a").is_empty());
}
