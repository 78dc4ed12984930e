//! What became of the requests.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use crate::common::record;

/// Highest latency recorded, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// The end of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The target's answer came.
    Served,
    /// A typed refusal that says that it was not run.
    NotRun(String),
    /// A typed refusal that says that it may have run.
    Unknown(String),
    /// No whole answer, or one that is not the request's own.
    Lost(String),
}

/// Counts one stream while it runs.
pub(crate) struct Tally {
    histogram: Histogram<u64>,
    pub(crate) report: StreamReport,
}

/// The report of one stream.
#[apply(record!)]
#[derive(Default)]
pub struct StreamReport {
    /// The stream.
    pub name: String,
    /// The customer.
    pub customer: String,
    /// Requests planned and sent.
    pub sent: u64,
    /// Requests answered by a target.
    pub served: u64,
    /// Refusals that say "not run", by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Refusals that say "unknown", by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Requests without a whole answer of their own, by cause.
    pub lost: BTreeMap<String, u64>,
    /// Refusals for the rate that one bucket over the whole fleet would not have made.
    pub wrongful: u64,
    /// Requests sent again by the caller.
    pub resent: u64,
    /// Latencies of served requests from their planned time, in milliseconds.
    pub p50_ms: f64,
    /// 99 of 100 are at most this, in milliseconds.
    pub p99_ms: f64,
    /// 999 of 1000 are at most this, in milliseconds.
    pub p999_ms: f64,
    /// The longest, in milliseconds.
    pub max_ms: f64,
}

/// The report of a run.
#[apply(record!)]
#[derive(Default)]
pub struct Report {
    /// The streams.
    pub streams: Vec<StreamReport>,
    /// Idempotency keys that targets ran more than once.
    pub run_twice: u64,
}

impl Tally {
    pub(crate) fn new(name: &str, customer: &str) -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("bounds are valid");
        let report = StreamReport {
            name: name.to_owned(),
            customer: customer.to_owned(),
            ..StreamReport::default()
        };
        Self { histogram, report }
    }

    pub(crate) fn count(&mut self, end: End, took: Duration) {
        self.report.sent += 1;
        match end {
            End::Served => {
                self.report.served += 1;
                self.histogram.saturating_record((took.as_micros() as u64).max(1));
            }
            End::NotRun(reason) => *self.report.not_run.entry(reason).or_default() += 1,
            End::Unknown(reason) => *self.report.unknown.entry(reason).or_default() += 1,
            End::Lost(cause) => *self.report.lost.entry(cause).or_default() += 1,
        }
    }

    pub(crate) fn finish(mut self) -> StreamReport {
        let ms = |us: u64| us as f64 / 1_000.0;
        self.report.p50_ms = ms(self.histogram.value_at_quantile(0.5));
        self.report.p99_ms = ms(self.histogram.value_at_quantile(0.99));
        self.report.p999_ms = ms(self.histogram.value_at_quantile(0.999));
        self.report.max_ms = ms(self.histogram.max());
        self.report
    }
}

impl Report {
    /// Requests of all streams.
    pub fn sent(&self) -> u64 {
        self.streams.iter().map(|s| s.sent).sum()
    }

    /// Requests answered by a target.
    pub fn served(&self) -> u64 {
        self.streams.iter().map(|s| s.served).sum()
    }

    /// Requests without a whole answer of their own.
    pub fn lost(&self) -> u64 {
        self.streams.iter().flat_map(|s| s.lost.values()).sum()
    }

    /// The stream with the smallest part of its requests served.
    pub fn worst(&self) -> Option<&StreamReport> {
        let share = |s: &&StreamReport| s.served as f64 / s.sent.max(1) as f64;
        self.streams.iter().min_by(|a, b| share(a).total_cmp(&share(b)))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:24} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9}",
            "stream",
            "sent",
            "served",
            "not run",
            "unknown",
            "lost",
            "wrongful",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        )?;
        let sum = |m: &BTreeMap<String, u64>| m.values().sum::<u64>();
        for s in &self.streams {
            writeln!(
                f,
                "{:24} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>9.2}",
                s.name,
                s.sent,
                s.served,
                sum(&s.not_run),
                sum(&s.unknown),
                sum(&s.lost),
                s.wrongful,
                s.p50_ms,
                s.p99_ms,
                s.p999_ms,
                s.max_ms
            )?;
            let all = [("not run", &s.not_run), ("unknown", &s.unknown), ("lost", &s.lost)];
            for (kind, reasons) in all {
                for (reason, count) in reasons {
                    writeln!(f, "    {kind}: {count} {reason}")?;
                }
            }
        }
        if let Some(worst) = self.worst() {
            let share = 100.0 * worst.served as f64 / worst.sent.max(1) as f64;
            writeln!(f, "worst served: {} with {share:.2} %", worst.customer)?;
        }
        let (sent, served, lost) = (self.sent(), self.served(), self.lost());
        write!(f, "{sent} sent, {served} served, {lost} lost, {} run twice", self.run_twice)
    }
}
