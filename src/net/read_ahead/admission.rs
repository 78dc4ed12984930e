//! Decides which requests of a connection may start before it is their turn, and whether a response may
//! close the connection.

use std::collections::VecDeque;

/// Most requests of a connection that are known at once.
const KNOWN_MAX: usize = 32;
/// Most requests of a connection that run ahead of their turn.
const AHEAD_MAX: usize = 16;

/// What a request allows beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverlapKind {
    /// It may run while others of its kind do.
    Overlap,
    /// It runs in its turn, and nothing starts behind it.
    Alone,
}

/// Whether a request may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The request with this number may start.
    Start(u64),
    /// The request with this number would start but for the bound of the connection.
    Bound(u64),
    /// No request may start.
    Nothing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Ahead,
    InTurn,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    kind: OverlapKind,
    stage: Stage,
    /// True once it has been held back by a bound.
    held: bool,
}

/// The requests of a connection that have been read and not yet answered, in their order.
#[derive(Debug, Default)]
pub struct Admission {
    entries: VecDeque<Entry>,
    next: u64,
    closing: bool,
}

impl Admission {
    /// Adds a request whose head has been read. Returns its number.
    pub fn add(&mut self, kind: OverlapKind) -> u64 {
        let number = self.next;
        self.next += 1;
        self.entries.push_back(Entry { number, kind, stage: Stage::Waiting, held: false });
        number
    }

    /// True if no more requests should be added for now.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= KNOWN_MAX
    }

    /// Number of the first unanswered request.
    pub fn first(&self) -> Option<u64> {
        self.entries.front().map(|e| e.number)
    }

    /// True if the handler of the first unanswered request has been called in its turn.
    pub fn is_in_turn(&self) -> bool {
        self.entries.front().is_some_and(|e| e.stage == Stage::InTurn)
    }

    /// Begins the turn of the first unanswered request, and returns its number; none if there is no
    /// request or its turn has begun.
    pub fn begin_turn(&mut self) -> Option<u64> {
        let entry = self.entries.front_mut().filter(|e| e.stage != Stage::InTurn)?;
        entry.stage = Stage::InTurn;
        Some(entry.number)
    }

    /// Removes the request `number`, and those in front of it.
    pub fn answered(&mut self, number: u64) {
        self.entries.retain(|e| e.number > number);
    }

    /// The next request that may start ahead. All in front of it must be allowed to overlap, and the
    /// first one must be in its turn.
    pub fn next_start(&self) -> StartDecision {
        if self.closing || !self.is_in_turn() {
            return StartDecision::Nothing;
        }
        let overlapping = self.entries.iter().take_while(|e| e.kind == OverlapKind::Overlap);
        match overlapping.skip(1).find(|e| e.stage == Stage::Waiting) {
            None => StartDecision::Nothing,
            Some(entry) if self.ahead() >= AHEAD_MAX => StartDecision::Bound(entry.number),
            Some(entry) => StartDecision::Start(entry.number),
        }
    }

    /// Records that the request `number` has been started ahead.
    pub fn started(&mut self, number: u64) {
        if let Some(entry) = self.entry(number) {
            entry.stage = Stage::Ahead;
        }
    }

    /// Records that a bound holds the request `number` back. Returns true the first time.
    pub fn hold(&mut self, number: u64) -> bool {
        self.entry(number).is_some_and(|e| !std::mem::replace(&mut e.held, true))
    }

    /// From now on nothing starts ahead.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// True once nothing starts ahead any more.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// True if the response to the present request may close the connection.
    pub fn may_close(&self) -> bool {
        self.ahead() == 0
    }

    /// Forgets the requests behind the first `left`.
    pub fn truncate(&mut self, left: usize) {
        self.entries.truncate(left);
    }

    /// Requests that have started and whose turn has not come.
    fn ahead(&self) -> usize {
        self.entries.iter().filter(|e| e.stage == Stage::Ahead).count()
    }

    fn entry(&mut self, number: u64) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|e| e.number == number)
    }
}
