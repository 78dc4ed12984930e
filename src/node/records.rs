//! Records of the latest requests: the decisions that led to each response, for
//! `shallotctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use macro_rules_attribute::apply;

use crate::common::record;

/// Records that a VM keeps; the oldest are dropped first.
const MAX_RECORDS: usize = 4_096;

/// One decision about a request.
#[apply(record!)]
pub(crate) struct RecordStep {
    /// The step, such as `admit` or `forward`.
    pub(crate) step: String,
    /// What was decided, with the VM or target concerned.
    pub(crate) outcome: String,
    /// Microseconds since the request was received.
    pub(crate) at_us: u64,
}

/// The record of a request.
#[apply(record!)]
pub(crate) struct Record {
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) customer: String,
    pub(crate) route: String,
    pub(crate) outcome: String,
    pub(crate) notes: Vec<RecordStep>,
}

/// The record of a request in progress.
pub(crate) struct RecordBuilder {
    pub(crate) start: Instant,
    pub(crate) record: Record,
    /// What proves that the last target which got the request has not run it, if that has shed it.
    pub(crate) shed_proof: Option<String>,
}

impl RecordBuilder {
    pub(crate) fn new(request: String) -> Self {
        let record = Record {
            request,
            service: String::new(),
            customer: String::new(),
            route: String::new(),
            outcome: String::new(),
            notes: Vec::new(),
        };
        Self { start: Instant::now(), record, shed_proof: None }
    }

    pub(crate) fn add_step(&mut self, step: &str, outcome: impl Into<String>) {
        let at_us = self.start.elapsed().as_micros() as u64;
        let (step, outcome) = (step.to_owned(), outcome.into());
        self.record.notes.push(RecordStep { step, outcome, at_us });
    }
}

/// The records of the latest requests that this VM received, and the source of their ids.
#[derive(Default)]
pub(crate) struct Records {
    next: AtomicU64,
    kept: Mutex<VecDeque<Record>>,
}

impl Records {
    /// A new request id. It names the VM that has the record, so that any VM can find it.
    pub(crate) fn next_id(&self, vm: &str, incarnation: u64) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{vm}~{incarnation:x}~{number:x}")
    }

    pub(crate) fn keep(&self, record: Record) {
        let mut kept = self.kept.lock().expect("records lock");
        if kept.len() == MAX_RECORDS {
            kept.pop_front();
        }
        kept.push_back(record);
    }

    pub(crate) fn find(&self, request: &str) -> Option<Record> {
        let kept = self.kept.lock().expect("records lock");
        kept.iter().rev().find(|r| r.request == request).cloned()
    }
}

/// The VM that received a request, by the request's id.
pub(crate) fn vm_of(request: &str) -> Option<&str> {
    request.split_once('~').map(|(vm, _)| vm)
}
