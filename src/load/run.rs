//! Runs the streams of a scenario and collects their reports.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::escrow::TokenBucket;
use crate::net::HttpClient;

use super::caller::{Caller, count_duplicate_runs};
use super::report::{Report, RequestOutcome, StreamStats};
use super::scenario::{Arrival, Scenario, Stream};

/// Delay before second 0 of the scenario, so that all streams are running by then.
const START_DELAY: Duration = Duration::from_millis(50);

/// Runs `scenario`. Callers send their first look-ups to `entries`. `keys` has the key of each
/// customer; `targets` are the fault ports of stand-in targets, which list the requests that they
/// ran.
///
/// # Errors
/// Fails if a customer has no key, or if a target's list of requests can't be read.
pub async fn run(
    scenario: &Scenario,
    entries: &[String],
    keys: &BTreeMap<String, String>,
    targets: &[String],
) -> Result<Report> {
    let client = HttpClient::new(None);
    let start = Instant::now() + START_DELAY;
    let mut tasks = Vec::new();
    for (number, stream) in scenario.streams.iter().enumerate() {
        let key = keys
            .get(&stream.customer)
            .with_context(|| format!("customer {} has no key in the keys file", stream.customer))?;
        let caller = Caller::new(client.clone(), key.clone(), entries.to_vec());
        let rng = SmallRng::seed_from_u64(scenario.seed.wrapping_add(number as u64));
        let run = StreamRun { stream: stream.clone(), start, seconds: scenario.seconds };
        tasks.push(tokio::spawn(run.run(Arc::new(caller), rng)));
    }
    let mut report = Report::default();
    for task in tasks {
        report.streams.push(task.await.context("run a stream")?.finish());
    }
    report.run_twice = count_duplicate_runs(&client, targets)
        .await
        .map_err(anyhow::Error::msg)
        .context("count the requests that targets ran more than once")?;
    Ok(report)
}

/// One stream of a run.
struct StreamRun {
    stream: Stream,
    start: Instant,
    seconds: f64,
}

impl StreamRun {
    async fn run(self, caller: Arc<Caller>, mut rng: SmallRng) -> StreamStats {
        let stream = Arc::new(self.stream);
        let stats = Arc::new(Mutex::new(StreamStats::new(&stream.name, &stream.customer)));
        // The oracle for wrongful refusals: a single bucket with the customer's rate and burst.
        let oracle = stream.limit.map(|(rate, burst)| {
            let mut bucket = TokenBucket::new(self.start, rate, burst);
            bucket.add(self.start, burst);
            bucket
        });
        let mut oracle = oracle;
        let mut at_s = stream.start_s;
        let mut sends = Vec::new();
        let mut number = 0;
        while at_s < self.seconds {
            let scheduled = self.start + Duration::from_secs_f64(at_s);
            tokio::time::sleep_until(scheduled.into()).await;
            let within_rate = oracle.as_mut().is_some_and(|o| o.take(scheduled, 1.0));
            let zone = zone_at(&stream, at_s).map(str::to_owned);
            number += 1;
            sends.push(tokio::spawn(send(
                caller.clone(),
                stream.clone(),
                stats.clone(),
                ScheduledRequest { number, zone, scheduled, within_rate },
            )));
            at_s += next_gap_s(&stream, &mut rng);
        }
        for send in sends {
            // If a send panics, the counts don't add up: fail the run.
            send.await.expect("sends don't panic");
        }
        let stats = Arc::into_inner(stats).expect("all sends have completed");
        stats.into_inner().expect("stats lock")
    }
}

/// A request to be sent at its scheduled time.
struct ScheduledRequest {
    number: u64,
    zone: Option<String>,
    scheduled: Instant,
    /// True if the oracle admits it.
    within_rate: bool,
}

async fn send(
    caller: Arc<Caller>,
    stream: Arc<Stream>,
    stats: Arc<Mutex<StreamStats>>,
    request: ScheduledRequest,
) {
    let result = caller.send(&stream, request.number, request.zone.as_deref()).await;
    let latency = request.scheduled.elapsed();
    let mut stats = stats.lock().expect("stats lock");
    stats.report.resent += result.retries;
    if request.within_rate
        && matches!(&result.outcome, RequestOutcome::NotRun(reason) if reason == "over-rate")
    {
        stats.report.wrongful += 1;
    }
    stats.record(result.outcome, latency);
}

/// Time until the next request, in seconds.
fn next_gap_s(stream: &Stream, rng: &mut SmallRng) -> f64 {
    match stream.arrival {
        Arrival::Even => 1.0 / stream.rate,
        Arrival::Random => -(1.0 - rng.random::<f64>()).ln() / stream.rate,
    }
}

fn zone_at(stream: &Stream, at_s: f64) -> Option<&str> {
    let turn = (at_s / stream.hop_s) as usize;
    let zones = &stream.zones;
    zones.get(turn % zones.len().max(1)).map(String::as_str)
}
