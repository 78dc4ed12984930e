//! `slopes`: measures what a request, a client block, an entry VM and an account cost, for the
//! estimates in docs/CAPACITY.md.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use anyhow::Result;
use clap::Args;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::escrow::{
    Action, Admission, AdmissionRequest, Escrow, IncomingNote, PeerStatus, RateLimit, Settings,
};
use crate::lookup::{Block, BlockTable};
use crate::model::{
    Account, Object, ObjectId, ObjectKind, Place, TargetId, VmId, new_key, parse_document,
};
use crate::peer::ask::{LoanRequest, Note};
use crate::peer::{Body, Envelope, EscrowNote, Heartbeat, ServiceLoad};
use crate::route::{Candidate, Origin, choose_vm};
use crate::spread::{Catalog, ConfigView};
use crate::targets::{AttemptResult, DispatchLimits, Dispatcher, OwnedTarget, QueuedRequest};
use crate::zone::{Member, PART_COUNT, Roster};

use super::{Exit, Run};

/// Client blocks at the fleet size planned for two years ahead.
const BLOCKS: u32 = 1_500_000;
/// Sites at that fleet size.
const SITES: u32 = 110;
/// Entry VMs at that fleet size.
const MEMBERS: usize = 880;
/// Iterations of a measurement.
const ITERATIONS: u32 = 100_000;
/// A rate (requests a second) and burst (requests) that no measurement exhausts.
const UNLIMITED: f64 = 1e9;

/// Measure the costs that the estimates in docs/CAPACITY.md are based on.
#[derive(Args, Debug)]
pub(crate) struct Slopes {
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

/// One measured figure.
#[derive(Debug, Serialize)]
struct Figure {
    name: &'static str,
    value: f64,
    unit: &'static str,
}

impl Run for Slopes {
    fn run(&self) -> Result<Exit> {
        let mut figures = Vec::new();
        measure_request_path(&mut figures)?;
        measure_client_blocks(&mut figures)?;
        measure_membership(&mut figures)?;
        measure_loans(&mut figures);
        for figure in &figures {
            if self.json {
                println!("{}", serde_json::to_string(figure)?);
            } else {
                println!("{:46} {:>14.3} {}", figure.name, figure.value, figure.unit);
            }
        }
        Ok(Exit::Done)
    }
}

fn add(figures: &mut Vec<Figure>, name: &'static str, value: f64, unit: &'static str) {
    figures.push(Figure { name, value, unit });
}

/// Mean time of one call of `body`, in microseconds.
fn mean_us(iterations: u32, mut body: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..iterations).for_each(&mut body);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

fn place(zone: usize) -> Place {
    Place {
        region: format!("r{}", zone / 3).as_str().into(),
        zone: format!("z{zone}").as_str().into(),
    }
}

fn peer(number: usize) -> PeerStatus {
    PeerStatus { vm: VmId::new(format!("vm{number}")), zone: place(number % 14).zone, live: true }
}

/// The steps of admitting and routing one request.
fn measure_request_path(figures: &mut Vec<Figure>) -> Result<()> {
    let text = include_str!("../../examples/keeperwise/rota.toml");
    let document = parse_document(text).map_err(|p| anyhow::anyhow!("{p:?}"))?;
    let (catalog, key) = catalog_with(1, text);
    let view = ConfigView::build(&catalog, &ConfigView::default());
    let key_us = mean_us(ITERATIONS, |_| {
        black_box(view.customer(black_box(&key)));
    });
    add(figures, "find the customer of a key", key_us, "us");
    let route_us = mean_us(ITERATIONS, |_| {
        black_box(document.route("GET", black_box("/rotas/today")));
    });
    add(figures, "find the route", route_us, "us");
    add(figures, "take a token at the home", admission_us(), "us");
    add(figures, "choose one of 16 VMs", vm_choice_us(), "us");
    add(figures, "take and give back a slot of 24 targets", slot_us(), "us");
    Ok(())
}

fn catalog_with(keys: usize, document: &str) -> (Catalog, String) {
    let mut catalog = Catalog::default();
    let object = |kind, name: &str, body: String| Object {
        id: ObjectId::new(kind, name),
        version: 1,
        operations: Vec::new(),
        deleted: false,
        body,
    };
    catalog.offer(object(ObjectKind::Service, "rota", document.to_owned()));
    let key = new_key();
    let digest = crate::model::KeyDigest::of(&key);
    let entry = serde_json::json!({"digest": digest, "state": "active"});
    let set = serde_json::json!({"keys": vec![entry; keys]}).to_string();
    catalog.offer(object(ObjectKind::Keys, "aviary", set));
    (catalog, key.to_string())
}

fn new_escrow(now: Instant, peers: usize, accounts: usize) -> Escrow {
    let mut escrow = Escrow::new(now, peer(0), 1, Settings::default());
    escrow.set_peers((0..peers).map(peer).collect());
    for number in 0..accounts {
        let account = Account::new("rota", format!("c{number}").as_str());
        escrow.set_limit(now, &account, Some(RateLimit { rate: UNLIMITED, burst: UNLIMITED }));
    }
    escrow.set_parts(now, PART_COUNT);
    escrow
}

fn admission_us() -> f64 {
    let start = Instant::now();
    let mut escrow = new_escrow(start, 1, 8);
    let account = Account::new("rota", "c3");
    let mut now = start;
    let mut admitted = 0;
    let us = mean_us(ITERATIONS, |i| {
        now += Duration::from_micros(10);
        if i % 10_000 == 0 {
            escrow.tick(now);
            now += Duration::from_millis(1);
        }
        let request = AdmissionRequest { id: i.into(), deadline: now + Duration::from_secs(1) };
        admitted += u32::from(escrow.request(now, &account, request).0 == Admission::Admitted);
    });
    assert!(admitted > ITERATIONS / 2, "most requests are admitted");
    us
}

fn vm_choice_us() -> f64 {
    let candidates: Vec<Candidate> = (0..16)
        .map(|n| Candidate {
            vm: VmId::new(format!("vm{n}")),
            place: place(n % 6),
            slots: 24,
            busy: n as u32,
            queued: 0,
        })
        .collect();
    let here = place(2);
    let origin = Origin { place: &here, shift_region: None, headroom: 0.2, full_regions: &[] };
    let mut rng = SmallRng::seed_from_u64(1);
    mean_us(ITERATIONS, |_| {
        black_box(choose_vm(&origin, &candidates, &mut rng));
    })
}

fn slot_us() -> f64 {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(DispatchLimits { headroom: 0.2, queue: 64 });
    let targets: Vec<OwnedTarget> = (0..24)
        .map(|n| OwnedTarget {
            id: TargetId::new(format!("t{n}")),
            addr: ([127, 0, 0, 1], 9).into(),
            slots: 6,
            leaving: false,
            first_seen: start,
        })
        .collect();
    dispatcher.sync(start, &targets);
    let now = start + Duration::from_secs(10);
    for target in &targets {
        dispatcher.record_probe(now, &target.id, Some(0), &mut rng);
    }
    mean_us(ITERATIONS, |i| {
        let work = QueuedRequest {
            ticket: i.into(),
            customer: "c".into(),
            weight: 1,
            deadline: now + Duration::from_secs(1),
            foreign: false,
            avoid: Vec::new(),
        };
        for step in dispatcher.admit(now, work, &mut rng) {
            if let crate::targets::SlotDecision::Start(slot) = step {
                let ended = AttemptResult::Answered(Duration::from_millis(5));
                dispatcher.finish(now, &slot.target, ended, &mut rng);
            }
        }
    })
}

/// The table that maps blocks of client addresses to sites.
fn measure_client_blocks(figures: &mut Vec<Figure>) -> Result<()> {
    let block = |n: u32, site: u32| Block {
        first: Ipv4Addr::from(n << 11),
        prefix: 21,
        site: (site % SITES) as u16,
    };
    let start = Instant::now();
    let mut table = BlockTable::build((0..BLOCKS).map(|n| block(n, n)))?;
    add(figures, "build 1.5 million blocks", start.elapsed().as_secs_f64() * 1e3, "ms");
    add(figures, "memory of 1.5 million blocks", table.bytes() as f64 / 1e6, "MB");
    let mut client = 1u32;
    let us = mean_us(ITERATIONS * 10, |_| {
        // A linear congruential generator: each look-up is of a pseudo-random address.
        client = client.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        black_box(table.site(client.into()));
    });
    add(figures, "find the site of a client", us, "us");
    let us = mean_us(ITERATIONS, |i| {
        // Multiplicative hashing by Knuth's constant: the blocks are scattered over the table.
        let n = i.wrapping_mul(2_654_435_761) % BLOCKS;
        table.set(block(n, i)).expect("the block is in the table");
    });
    add(figures, "move a block to another site", us, "us");
    Ok(())
}

/// Costs that grow with the number of members: the roster, heartbeats and the configuration view.
fn measure_membership(figures: &mut Vec<Figure>) -> Result<()> {
    let mut roster = Roster::default();
    let addr = "10.200.30.40:7101".parse()?;
    let start = Instant::now();
    for number in 0..MEMBERS {
        let member = Member {
            vm: VmId::new(format!("zone{}-vm{number}", number % 14)),
            place: place(number % 14),
            incarnation: 1_796_374_163_402,
            peers: addr,
            callers: addr,
            parts: 0,
            slices: Vec::new(),
            leaving: false,
        };
        roster.join(&member)?;
    }
    let joins_ms = start.elapsed().as_secs_f64() * 1e3 / MEMBERS as f64;
    add(figures, "join a roster of up to 880 members", joins_ms, "ms");
    let text = serde_json::to_string(&roster)?;
    add(figures, "bytes of the roster for each member", text.len() as f64 / MEMBERS as f64, "B");
    let start = Instant::now();
    black_box(serde_json::from_str::<Roster>(&text)?);
    add(figures, "read a roster of 880 members", start.elapsed().as_secs_f64() * 1e3, "ms");
    let service = "submissions".to_owned();
    let load = ServiceLoad { service, slots: 84, busy: 40, queued: 2, ..ServiceLoad::default() };
    let heartbeat =
        Heartbeat { digest: u64::MAX, age_ms: 900, loads: vec![load; 3], ..Heartbeat::default() };
    let body = Some(Body::Heartbeat(heartbeat));
    let bytes = Envelope { id: 100_000, reply: false, body }.encode_to_vec();
    add(figures, "bytes of a heartbeat of 3 services", bytes.len() as f64, "B");
    let us = mean_us(ITERATIONS, |_| {
        let envelope = Envelope::decode(bytes.as_slice()).expect("it was just encoded");
        black_box(envelope.encode_to_vec());
    });
    add(figures, "read and write a heartbeat", us, "us");
    let document = include_str!("../../examples/keeperwise/rota.toml");
    let (mut catalog, _) = catalog_with(4, document);
    let id = ObjectId::new(ObjectKind::Roster, "fleet");
    catalog.offer(Object { id, version: 1, operations: Vec::new(), deleted: false, body: text });
    let start = Instant::now();
    black_box(ConfigView::build(&catalog, &ConfigView::default()));
    add(figures, "build a view with 880 members", start.elapsed().as_secs_f64() * 1e3, "ms");
    add(figures, "bytes of a document of 8 customers", document.len() as f64, "B");
    Ok(())
}

/// Costs of lending the rate of 8 accounts between 24 members: message size, time and renewals.
fn measure_loans(figures: &mut Vec<Figure>) {
    let request = LoanRequest {
        stamp: 1_796_374_163_402_000,
        held: 1_796_374_163_402_001,
        incarnation: 1_796_374_163_402,
    };
    let note = EscrowNote {
        service: "submissions".to_owned(),
        customer: "baltic-survey".to_owned(),
        note: Some(Note::LoanRequest(request)),
    };
    let envelope = Envelope { id: 0, reply: false, body: Some(Body::Escrow(note)) };
    add(figures, "bytes of a loan's renewal, one way", envelope.encoded_len() as f64, "B");
    let start = Instant::now();
    let (members, accounts) = (24, 8);
    let mut home = new_escrow(start, members, accounts);
    let mut requests = 0;
    let seconds = 20;
    let us = mean_us(seconds * 20, |i| {
        let now = start + Duration::from_millis(50) * i;
        requests += grant_loans(&mut home, now);
    });
    add(figures, "a tick of 8 accounts and 24 members", us, "us");
    let own_pools = home.accounts().filter(|a| home.home(a) == Some(peer(0).vm)).count();
    let per_second =
        f64::from(requests) / f64::from(seconds) / (members - 1) as f64 / own_pools.max(1) as f64;
    add(figures, "renewals a second, each account and member", per_second, "");
}

/// Ticks a member that is the home of some pools, and grants every loan that it requests. Returns the
/// number of requests.
fn grant_loans(home: &mut Escrow, now: Instant) -> u32 {
    let mut requests = 0;
    for action in home.tick(now) {
        let Action::Send { to, account, note: Note::LoanRequest(request) } = action else {
            continue;
        };
        requests += 1;
        let (rate, capacity, tokens) = (1.0, 1.0, 0.0);
        let loan = crate::peer::ask::Loan {
            stamp: request.stamp,
            id: request.held.max(1),
            seq: request.stamp,
            rate,
            capacity,
            tokens,
            lease_us: 2_000_000,
        };
        home.receive(now, &IncomingNote { from: to, account, note: Note::Loan(loan) });
    }
    requests
}
