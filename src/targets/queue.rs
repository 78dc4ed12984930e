//! The queue of requests that wait for a slot: fair among customers, bounded in length and time.

use std::collections::VecDeque;
use std::time::Instant;

use crate::model::CustomerId;

/// A request that needs a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Id of the request in decisions.
    pub ticket: u64,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's weight, at least 1.
    pub weight: u32,
    /// Latest time at which it may start.
    pub deadline: Instant,
    /// True if it comes from another region.
    pub foreign: bool,
    /// Ids of targets that it must not be sent to.
    pub avoid: Vec<String>,
}

/// A request that was removed from the queue without a slot, by its ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed(pub u64);

/// The waiting requests of one customer, oldest first.
#[derive(Clone, Debug)]
struct CustomerQueue {
    customer: CustomerId,
    weight: u32,
    /// Requests that the customer may still start in this round.
    credit: u32,
    requests: VecDeque<QueuedRequest>,
}

/// A queue that serves customers by weighted round robin. Each request costs one slot, so whole
/// credits suffice and deficit round robin is not needed.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// The queues of the customers with waiting requests, in the order of turns; none is empty.
    queues: VecDeque<CustomerQueue>,
    len: usize,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. If more than `limit` wait then, the newest request of the customer with the
    /// most requests for its weight is shed.
    pub fn push(&mut self, request: QueuedRequest, limit: usize) -> Option<Shed> {
        self.add(request);
        if self.len <= limit { None } else { self.shed_newest() }
    }

    /// Takes the next request for which `fits` is true.
    pub fn pop(&mut self, fits: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        for _ in 0..self.queues.len() {
            let queue = self.queues.front_mut()?;
            if let Some(position) = queue.requests.iter().position(&fits) {
                queue.credit -= 1;
                let request = queue.requests.remove(position)?;
                self.len -= 1;
                self.update_front();
                return Some(request);
            }
            self.queues.rotate_left(1);
        }
        None
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Shed> {
        let mut shed = Vec::new();
        for queue in &mut self.queues {
            queue.requests.retain(|r| {
                let in_time = now < r.deadline;
                if !in_time {
                    shed.push(Shed(r.ticket));
                }
                in_time
            });
        }
        self.len -= shed.len();
        self.queues.retain(|q| !q.requests.is_empty());
        shed
    }

    /// Removes a request that was cancelled.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in &mut self.queues {
            let before = queue.requests.len();
            queue.requests.retain(|r| r.ticket != ticket);
            self.len -= before - queue.requests.len();
        }
        self.queues.retain(|q| !q.requests.is_empty());
    }

    fn add(&mut self, request: QueuedRequest) {
        self.len += 1;
        if let Some(queue) = self.queues.iter_mut().find(|q| q.customer == request.customer) {
            queue.requests.push_back(request);
            return;
        }
        let weight = request.weight.max(1);
        let customer = request.customer.clone();
        let requests = VecDeque::from([request]);
        self.queues.push_back(CustomerQueue { customer, weight, credit: weight, requests });
    }

    /// Ends the turn of the front customer if its credit or its requests are used up.
    fn update_front(&mut self) {
        let Some(queue) = self.queues.front_mut() else { return };
        if queue.requests.is_empty() {
            self.queues.pop_front();
        } else if queue.credit == 0 {
            queue.credit = queue.weight;
            self.queues.rotate_left(1);
        }
    }

    /// Removes the newest request of the customer with the most requests for its weight.
    fn shed_newest(&mut self) -> Option<Shed> {
        let weighted_len = |q: &CustomerQueue| q.requests.len() as f64 / f64::from(q.weight);
        let (position, _) = self
            .queues
            .iter()
            .enumerate()
            .max_by(|a, b| weighted_len(a.1).total_cmp(&weighted_len(b.1)))?;
        let queue = &mut self.queues[position];
        let request = queue.requests.pop_back()?;
        self.len -= 1;
        if queue.requests.is_empty() {
            self.queues.remove(position);
        }
        Some(Shed(request.ticket))
    }
}
