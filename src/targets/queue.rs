//! Requests that wait for a slot, fair by customer and bounded by time.

use std::collections::VecDeque;
use std::time::Instant;

use crate::model::CustomerId;

/// A request that needs a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Names the request in steps.
    pub ticket: u64,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's weight, at least 1.
    pub weight: u32,
    /// Latest time for a start.
    pub deadline: Instant,
    /// True if it comes from another region.
    pub foreign: bool,
    /// Targets that it must not go to.
    pub avoid: Vec<String>,
}

/// Work that was turned away.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed(pub u64);

/// The waiting requests of one customer.
#[derive(Clone, Debug)]
struct Line {
    customer: CustomerId,
    weight: u32,
    /// Requests that the customer may still start in this round.
    credit: u32,
    work: VecDeque<QueuedRequest>,
}

/// A queue that serves customers by weighted round robin: each request costs one slot, so deficit
/// round robin needs no fractions. Lines are never empty.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: VecDeque<Line>,
    len: usize,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds `work`. With `limit` requests waiting, the newest of the customer with the longest
    /// line for its weight is turned away.
    pub fn push(&mut self, work: QueuedRequest, limit: usize) -> Option<Shed> {
        self.add(work);
        if self.len <= limit { None } else { self.shed_newest() }
    }

    /// Takes the next request that `fits`.
    pub fn pop(&mut self, fits: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        for _ in 0..self.lines.len() {
            let line = self.lines.front_mut()?;
            if let Some(place) = line.work.iter().position(&fits) {
                line.credit -= 1;
                let work = line.work.remove(place)?;
                self.len -= 1;
                self.settle_front();
                return Some(work);
            }
            self.lines.rotate_left(1);
        }
        None
    }

    /// Takes out the requests whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<Shed> {
        let mut shed = Vec::new();
        for line in &mut self.lines {
            line.work.retain(|w| {
                let alive = now < w.deadline;
                if !alive {
                    shed.push(Shed(w.ticket));
                }
                alive
            });
        }
        self.len -= shed.len();
        self.lines.retain(|l| !l.work.is_empty());
        shed
    }

    /// Takes out a request that was given up.
    pub fn cancel(&mut self, ticket: u64) {
        for line in &mut self.lines {
            let before = line.work.len();
            line.work.retain(|w| w.ticket != ticket);
            self.len -= before - line.work.len();
        }
        self.lines.retain(|l| !l.work.is_empty());
    }

    fn add(&mut self, work: QueuedRequest) {
        self.len += 1;
        if let Some(line) = self.lines.iter_mut().find(|l| l.customer == work.customer) {
            line.work.push_back(work);
            return;
        }
        let weight = work.weight.max(1);
        let customer = work.customer.clone();
        let work = VecDeque::from([work]);
        self.lines.push_back(Line { customer, weight, credit: weight, work });
    }

    /// Ends the front line's turn if its credit or its work is used up.
    fn settle_front(&mut self) {
        let Some(line) = self.lines.front_mut() else { return };
        if line.work.is_empty() {
            self.lines.pop_front();
        } else if line.credit == 0 {
            line.credit = line.weight;
            self.lines.rotate_left(1);
        }
    }

    fn shed_newest(&mut self) -> Option<Shed> {
        let length = |l: &Line| l.work.len() as f64 / f64::from(l.weight);
        let (place, _) =
            self.lines.iter().enumerate().max_by(|a, b| length(a.1).total_cmp(&length(b.1)))?;
        let line = &mut self.lines[place];
        let work = line.work.pop_back()?;
        self.len -= 1;
        if line.work.is_empty() {
            self.lines.remove(place);
        }
        Some(Shed(work.ticket))
    }
}
