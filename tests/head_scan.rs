//! Property tests of the scan of response heads, which finds two responses that are read as one.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotstall::net::HeadScan;

/// Heads of responses; the last ones are those of interim responses.
const HEADS: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 4\r\n\r\n",
    "HTTP/1.1 503 \r\nvia: HTTP/1.1 desk\r\nserver: HTTP/1.1\r\n\r\n",
    "HTTP/1.0 421 Misdirected\nnot-executed: 1\n\n",
    "\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: /HTTP/\r\n\r\n",
];
const INTERIM: usize = 5;
/// Length of what gives a response its status.
const STATUS_LINE_LEN: usize = "HTTP/1.1 200".len();

/// The scan of bytes that come in reads of these sizes, the last one again and again.
fn scan(bytes: &[u8], reads: &[usize]) -> bool {
    let mut scan = HeadScan::default();
    let mut rest = bytes;
    let mut sizes = reads.iter().copied().chain(std::iter::repeat(bytes.len().max(1)));
    while !rest.is_empty() {
        let size = sizes.next().expect("a size").clamp(1, rest.len());
        scan.scan(&rest[..size]);
        rest = &rest[size..];
    }
    scan.is_spliced()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(49),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A head is broken off behind its status and before its end, and another one follows.
    #[test]
    fn a_head_behind_a_broken_off_one_is_found(
        first in 0..HEADS.len(),
        second in 0..HEADS.len(),
        place in 0.0..1.0,
        reads in prop::collection::vec(1_usize..9, 0..60),
    ) {
        let head = HEADS[first].trim();
        let len = STATUS_LINE_LEN + ((head.len() - STATUS_LINE_LEN) as f64 * place) as usize;
        let bytes = [&head[..len], HEADS[second].trim_start()].concat();
        prop_assert!(scan(bytes.as_bytes(), &reads), "{bytes:?}");
    }

    /// Whole heads are not, whatever their body holds and however many interim responses come before.
    #[test]
    fn a_whole_head_is_none(
        interim in prop::collection::vec(INTERIM..HEADS.len(), 0..4),
        last in 0..INTERIM,
        body in "(HTTP/1.1 200 OK\r\n|[ -~]|\r\n){0,20}",
        reads in prop::collection::vec(1_usize..9, 0..60),
    ) {
        let heads: String = interim.into_iter().chain([last]).map(|n| HEADS[n]).collect();
        prop_assert!(!scan(format!("{heads}{body}").as_bytes(), &reads), "{heads:?}");
    }
}
