//! Records of the latest requests: why each went where it went.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use macro_rules_attribute::apply;

use crate::common::record;

/// Records kept.
const KEPT: usize = 4_096;

/// One decision about a request.
#[apply(record!)]
pub(crate) struct Note {
    /// What was decided.
    pub(crate) step: String,
    /// The outcome, with the peer.
    pub(crate) outcome: String,
    /// Microseconds since the request came in.
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
    pub(crate) notes: Vec<Note>,
}

/// A record that is being written.
pub(crate) struct Trail {
    pub(crate) start: Instant,
    pub(crate) record: Record,
}

impl Trail {
    pub(crate) fn new(request: String) -> Self {
        let record = Record {
            request,
            service: String::new(),
            customer: String::new(),
            route: String::new(),
            outcome: String::new(),
            notes: Vec::new(),
        };
        Self { start: Instant::now(), record }
    }

    pub(crate) fn note(&mut self, step: &str, outcome: impl Into<String>) {
        let at_us = self.start.elapsed().as_micros() as u64;
        let (step, outcome) = (step.to_owned(), outcome.into());
        self.record.notes.push(Note { step, outcome, at_us });
    }
}

/// The latest records of this VM.
#[derive(Default)]
pub(crate) struct Records {
    next: AtomicU64,
    kept: Mutex<VecDeque<Record>>,
}

impl Records {
    /// A new request id: it names the VM, so that any VM can find the record.
    pub(crate) fn next_id(&self, vm: &str, incarnation: u64) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{vm}~{incarnation:x}~{number:x}")
    }

    pub(crate) fn keep(&self, record: Record) {
        let mut kept = self.kept.lock().expect("records lock");
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(record);
    }

    pub(crate) fn find(&self, request: &str) -> Option<Record> {
        let kept = self.kept.lock().expect("records lock");
        kept.iter().rev().find(|r| r.request == request).cloned()
    }
}

/// The VM that took in a request.
pub(crate) fn vm_of(request: &str) -> Option<&str> {
    request.split_once('~').map(|(vm, _)| vm)
}
