//! Counts the outcomes of requests and formats the report.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;

use crate::common::record;

/// Highest latency that is recorded, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 120_000_000;

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The target's response arrived.
    Served,
    /// The request was refused before it ran, or could not be sent; holds the reason.
    NotRun(String),
    /// An error response that doesn't rule out that the request ran; holds the reason.
    Unknown(String),
    /// No complete response, or a response to another request; holds the cause.
    Lost(String),
}

/// Counts the outcomes of one stream while it runs.
pub(crate) struct StreamStats {
    histogram: Histogram<u64>,
    pub(crate) report: StreamReport,
}

/// The report of one stream.
#[apply(record!)]
#[derive(Default)]
pub struct StreamReport {
    /// The stream's name.
    pub name: String,
    /// The customer.
    pub customer: String,
    /// Requests sent; retries don't count.
    pub sent: u64,
    /// Requests that a target responded to.
    pub served: u64,
    /// Requests that were not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Requests that failed or may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Requests without a complete response of their own, by cause.
    pub lost: BTreeMap<String, u64>,
    /// Requests refused for their rate although a single token bucket for the whole fleet would
    /// have admitted them.
    pub wrongful: u64,
    /// Retries by the caller.
    pub resent: u64,
    /// Median latency of served requests from their scheduled time, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Highest latency, in milliseconds.
    pub max_ms: f64,
}

/// The report of a run.
#[apply(record!)]
#[derive(Default)]
pub struct Report {
    /// The streams.
    pub streams: Vec<StreamReport>,
    /// Number of idempotency keys that targets ran more than once.
    pub run_twice: u64,
}

impl StreamStats {
    pub(crate) fn new(name: &str, customer: &str) -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("bounds are valid");
        let report = StreamReport {
            name: name.to_owned(),
            customer: customer.to_owned(),
            ..StreamReport::default()
        };
        Self { histogram, report }
    }

    pub(crate) fn record(&mut self, outcome: RequestOutcome, latency: Duration) {
        self.report.sent += 1;
        match outcome {
            RequestOutcome::Served => {
                self.report.served += 1;
                self.histogram.saturating_record((latency.as_micros() as u64).max(1));
            }
            RequestOutcome::NotRun(reason) => *self.report.not_run.entry(reason).or_default() += 1,
            RequestOutcome::Unknown(reason) => *self.report.unknown.entry(reason).or_default() += 1,
            RequestOutcome::Lost(cause) => *self.report.lost.entry(cause).or_default() += 1,
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
    /// Total of sent requests.
    pub fn sent(&self) -> u64 {
        self.streams.iter().map(|s| s.sent).sum()
    }

    /// Total of served requests.
    pub fn served(&self) -> u64 {
        self.streams.iter().map(|s| s.served).sum()
    }

    /// Total of lost requests.
    pub fn lost(&self) -> u64 {
        self.streams.iter().flat_map(|s| s.lost.values()).sum()
    }

    /// The stream with the smallest fraction of its requests served.
    pub fn worst(&self) -> Option<&StreamReport> {
        let served_ratio = |s: &&StreamReport| s.served as f64 / s.sent.max(1) as f64;
        self.streams.iter().min_by(|a, b| served_ratio(a).total_cmp(&served_ratio(b)))
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
            let percent = 100.0 * worst.served as f64 / worst.sent.max(1) as f64;
            writeln!(f, "worst served: {} with {percent:.2} %", worst.customer)?;
        }
        let (sent, served, lost) = (self.sent(), self.served(), self.lost());
        write!(f, "{sent} sent, {served} served, {lost} lost, {} run twice", self.run_twice)
    }
}
