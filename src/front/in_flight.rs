//! The requests that this VM has read and not yet answered in full. They are listed by name, so that
//! one that is cut leaves a line in the log that says how far it had come.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use macro_rules_attribute::apply;
use serde::Serialize;

use crate::common::plain;

/// How far a request has come.
#[apply(plain!)]
#[derive(Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestStep {
    /// Its route, key, rate and body are being checked and read.
    #[default]
    Admission,
    /// A target has it, or is being chosen.
    Target,
    /// Its response is ready, and waits for its turn on the connection.
    Queued,
    /// Its response is being written.
    Response,
}

impl RequestStep {
    /// Its label in the metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Target => "target",
            Self::Queued => "queued",
            Self::Response => "response",
        }
    }
}

/// A request in flight, as the log names it.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct InFlightRecord {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) step: RequestStep,
    /// The target of its last attempt.
    pub(crate) target: String,
    /// Time since its head was read, in milliseconds.
    pub(crate) ms: u64,
}

#[derive(Debug, Default)]
struct Entry {
    record: InFlightRecord,
    start: Duration,
}

impl Entry {
    fn at(&self, now: Duration) -> InFlightRecord {
        let ms = now.saturating_sub(self.start).as_millis() as u64;
        InFlightRecord { ms, ..self.record.clone() }
    }
}

#[derive(Debug, Default)]
struct Entries {
    /// In the order in which they were read.
    requests: BTreeMap<u64, Entry>,
    next: u64,
}

/// All requests in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Arc<Mutex<Entries>>);

impl InFlight {
    /// Adds a request whose head was read at `now`.
    pub(crate) fn add(&self, now: Duration) -> InFlightGuard {
        let mut entries = self.0.lock().expect("in-flight lock");
        let key = entries.next;
        entries.next += 1;
        entries.requests.insert(key, Entry { start: now, ..Entry::default() });
        InFlightGuard { all: self.clone(), key }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.lock().expect("in-flight lock").requests.len()
    }

    /// Number of requests whose responses are ready and have not been passed to their connection in full.
    pub(crate) fn unsent(&self) -> usize {
        let entries = self.0.lock().expect("in-flight lock");
        let ready =
            |e: &&Entry| matches!(e.record.step, RequestStep::Queued | RequestStep::Response);
        entries.requests.values().filter(ready).count()
    }

    /// Removes the requests in flight at `now`, and returns them, the oldest first.
    pub(crate) fn take_all(&self, now: Duration) -> Vec<InFlightRecord> {
        let mut entries = self.0.lock().expect("in-flight lock");
        let requests = std::mem::take(&mut entries.requests);
        requests.values().map(|e| e.at(now)).collect()
    }
}

/// A request in flight; dropped when it has been answered in full, or aborted. The default stands for
/// none.
#[derive(Debug, Default)]
pub(crate) struct InFlightGuard {
    all: InFlight,
    key: u64,
}

impl InFlightGuard {
    /// Changes what is recorded of the request.
    pub(crate) fn update(&self, change: impl FnOnce(&mut InFlightRecord)) {
        let mut entries = self.all.0.lock().expect("in-flight lock");
        if let Some(entry) = entries.requests.get_mut(&self.key) {
            change(&mut entry.record);
        }
    }

    /// What is recorded of the request at `now`; none if [`InFlight::take_all`] has removed it.
    pub(crate) fn record(&self, now: Duration) -> Option<InFlightRecord> {
        let entries = self.all.0.lock().expect("in-flight lock");
        entries.requests.get(&self.key).map(|e| e.at(now))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.all.0.lock().expect("in-flight lock").requests.remove(&self.key);
    }
}

/// Keeps a request in flight until the body of its response has been passed to its connection.
pub(crate) fn track(response: Response<Body>, guard: InFlightGuard) -> Response<Body> {
    guard.update(|r| r.step = RequestStep::Queued);
    response.map(|body| TrackedBody { body, guard }.boxed_unsync())
}

/// The body of a response; its request is in flight until the body is dropped.
struct TrackedBody {
    body: Body,
    guard: InFlightGuard,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        // The connection asks for the body only once it is the response's turn.
        self.guard.update(|r| r.step = RequestStep::Response);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
