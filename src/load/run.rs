//! Runs a scenario.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::escrow::TokenBucket;
use crate::net::HttpClient;

use super::caller::{Caller, count_run_twice};
use super::report::{End, Report, Tally};
use super::scenario::{Arrival, Scenario, Stream};

/// Runs `scenario` with callers that ask `entries` first. `keys` holds the key of each customer;
/// `targets` are the fault ports of stand-in targets, whose runs are counted at the end.
///
/// # Errors
/// Fails if a customer has no key or the targets' runs can't be read.
pub async fn run(
    scenario: &Scenario,
    entries: &[String],
    keys: &BTreeMap<String, String>,
    targets: &[String],
) -> Result<Report> {
    let client = HttpClient::new(None);
    let start = Instant::now() + Duration::from_millis(50);
    let mut tasks = Vec::new();
    for (number, stream) in scenario.streams.iter().enumerate() {
        let key = keys
            .get(&stream.customer)
            .with_context(|| format!("customer {} has no key in the keys file", stream.customer))?;
        let caller = Caller::new(client.clone(), key.clone(), entries.to_vec());
        let rng = SmallRng::seed_from_u64(scenario.seed.wrapping_add(number as u64));
        let plan = Plan { stream: stream.clone(), start, seconds: scenario.seconds };
        tasks.push(tokio::spawn(plan.run(Arc::new(caller), rng)));
    }
    let mut report = Report::default();
    for task in tasks {
        report.streams.push(task.await.context("run a stream")?.finish());
    }
    report.run_twice = count_run_twice(&client, targets)
        .await
        .map_err(anyhow::Error::msg)
        .context("read the targets' runs")?;
    Ok(report)
}

/// One stream of a run.
struct Plan {
    stream: Stream,
    start: Instant,
    seconds: f64,
}

impl Plan {
    async fn run(self, caller: Arc<Caller>, mut rng: SmallRng) -> Tally {
        let stream = Arc::new(self.stream);
        let tally = Arc::new(Mutex::new(Tally::new(&stream.name, &stream.customer)));
        // One bucket over the whole fleet: the oracle for wrongful refusals.
        let oracle = stream.limit.map(|(rate, burst)| {
            let mut bucket = TokenBucket::new(self.start, rate, burst);
            bucket.add(self.start, burst);
            bucket
        });
        let mut oracle = oracle;
        let mut at = stream.start_s;
        let mut sends = Vec::new();
        let mut number = 0;
        while at < self.seconds {
            let planned = self.start + Duration::from_secs_f64(at);
            tokio::time::sleep_until(planned.into()).await;
            let inside = oracle.as_mut().is_some_and(|o| o.take(planned, 1.0));
            let zone = zone_at(&stream, at).map(str::to_owned);
            number += 1;
            sends.push(tokio::spawn(send(
                caller.clone(),
                stream.clone(),
                tally.clone(),
                Due { number, zone, planned, inside },
            )));
            at += gap(&stream, &mut rng);
        }
        for send in sends {
            // A panic of a send is a fault of this tool; the counts then do not add up.
            send.await.expect("a send ends by itself");
        }
        let tally = Arc::into_inner(tally).expect("all sends have ended");
        tally.into_inner().expect("tally lock")
    }
}

/// A request at its planned time.
struct Due {
    number: u64,
    zone: Option<String>,
    planned: Instant,
    /// True if one bucket over the whole fleet would admit it.
    inside: bool,
}

async fn send(caller: Arc<Caller>, stream: Arc<Stream>, tally: Arc<Mutex<Tally>>, due: Due) {
    let sent = caller.send(&stream, due.number, due.zone.as_deref()).await;
    let took = due.planned.elapsed();
    let mut tally = tally.lock().expect("tally lock");
    tally.report.resent += sent.resent;
    if due.inside && matches!(&sent.end, End::NotRun(reason) if reason == "over-rate") {
        tally.report.wrongful += 1;
    }
    tally.count(sent.end, took);
}

fn gap(stream: &Stream, rng: &mut SmallRng) -> f64 {
    match stream.arrival {
        Arrival::Even => 1.0 / stream.rate,
        Arrival::Random => -(1.0 - rng.random::<f64>()).ln() / stream.rate,
    }
}

fn zone_at(stream: &Stream, at: f64) -> Option<&str> {
    let turn = (at / stream.hop_s) as usize;
    let zones = &stream.zones;
    zones.get(turn % zones.len().max(1)).map(String::as_str)
}
