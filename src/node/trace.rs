//! Spans of requests, one for each hop, linked by the W3C `traceparent` header. Finished spans are
//! appended to the trace file, if the settings name one.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use anyhow::{Context, Result};
use rand::RngCore;
use serde::Serialize;

use super::unix_millis;

/// The ids of a span and its trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SpanContext {
    /// 32 hexadecimal digits.
    pub(crate) trace: String,
    /// 16 hexadecimal digits.
    pub(crate) span: String,
}

impl SpanContext {
    /// The first span of a new trace.
    pub(crate) fn root() -> Self {
        Self { trace: random_hex(16), span: random_hex(8) }
    }

    /// Parses a `traceparent`; none if it is malformed.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
        let is_hex = |t: &str, len| {
            t.len() == len
                && t.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
                && t.bytes().any(|b| b != b'0')
        };
        let valid = version == "00" && is_hex(trace, 32) && is_hex(span, 16);
        valid.then(|| Self { trace: trace.to_owned(), span: span.to_owned() })
    }

    /// A new child span of this one.
    pub(crate) fn child(&self) -> Self {
        Self { trace: self.trace.clone(), span: random_hex(8) }
    }

    /// This span as a `traceparent`.
    pub(crate) fn header(&self) -> String {
        format!("00-{}-{}-01", self.trace, self.span)
    }
}

/// A finished span.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Span {
    pub(crate) trace: String,
    pub(crate) span: String,
    pub(crate) parent: String,
    /// `ingress`, `egress` or `target`.
    pub(crate) hop: &'static str,
    pub(crate) vm: String,
    pub(crate) request: String,
    /// Who sent the request (`caller`), or the target to which it went.
    pub(crate) peer: String,
    pub(crate) outcome: String,
    /// Milliseconds since 1970 at the end.
    pub(crate) ended_ms: u64,
    /// Microseconds from start to end.
    pub(crate) took_us: u64,
}

/// Writes finished spans to the trace file.
pub(crate) struct Tracer {
    vm: String,
    file: Option<Mutex<std::fs::File>>,
}

impl Tracer {
    /// Opens the file at `path` for appending; without a path all spans are dropped.
    pub(crate) fn open(vm: &str, path: Option<&Path>) -> Result<Self> {
        let open = |path: &Path| {
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .with_context(|| format!("trace.file: open {}", path.display()))
        };
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Self { vm: vm.to_owned(), file })
    }

    /// Writes one finished span.
    pub(crate) fn finish(
        &self,
        id: &SpanContext,
        parent: &str,
        hop: &'static str,
        end: SpanEnd<'_>,
    ) {
        let Some(file) = &self.file else { return };
        let span = Span {
            trace: id.trace.clone(),
            span: id.span.clone(),
            parent: parent.to_owned(),
            hop,
            vm: self.vm.clone(),
            request: end.request.to_owned(),
            peer: end.peer.to_owned(),
            outcome: end.outcome.to_owned(),
            ended_ms: unix_millis(),
            took_us: end.start.elapsed().as_micros() as u64,
        };
        let mut line = serde_json::to_vec(&span).unwrap_or_default();
        line.push(b'\n');
        if let Err(e) = file.lock().expect("trace lock").write_all(&line) {
            log::warn!("trace: Writing the span of request {} failed: {e}.", end.request);
        }
    }
}

/// What is known of a span at its end.
pub(crate) struct SpanEnd<'a> {
    pub(crate) start: Instant,
    pub(crate) request: &'a str,
    pub(crate) peer: &'a str,
    pub(crate) outcome: &'a str,
}

fn random_hex(bytes: usize) -> String {
    let mut buffer = vec![0; bytes];
    rand::rng().fill_bytes(&mut buffer);
    hex::encode(buffer)
}
