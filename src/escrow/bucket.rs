//! The token bucket that the pool, the quotas and the load generator count with.

use std::time::Instant;

/// A token bucket that refills at a constant rate up to its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill, in tokens per second; at least 0.
    rate: f64,
    /// Most tokens held; at least 0.
    capacity: f64,
    /// Tokens held: from 0 to `capacity`.
    tokens: f64,
    /// Time up to which the refill is included in `tokens`; never goes back.
    refilled: Instant,
}

impl TokenBucket {
    /// An empty bucket. Negative values of `rate` and `capacity` count as 0.
    pub fn new(now: Instant, rate: f64, capacity: f64) -> Self {
        Self { rate: rate.max(0.0), capacity: capacity.max(0.0), tokens: 0.0, refilled: now }
    }

    /// Refill, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Most tokens held.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens held at `now`.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Changes rate and capacity; tokens above the new capacity are dropped.
    pub fn resize(&mut self, now: Instant, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate.max(0.0);
        self.capacity = capacity.max(0.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds tokens up to the capacity.
    pub fn add(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.capacity);
    }

    /// Takes `tokens`; returns false and takes none if fewer are held.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.refill(now);
        // Rounding in many small refills may leave slightly less than a whole token.
        let enough = self.tokens + 1e-9 >= tokens;
        if enough {
            self.tokens = (self.tokens - tokens).max(0.0);
        }
        enough
    }

    /// Takes all tokens and returns their number.
    pub fn drain(&mut self, now: Instant) -> f64 {
        self.refill(now);
        std::mem::take(&mut self.tokens)
    }

    /// Seconds until `tokens` are held; infinite if they exceed the capacity or nothing refills.
    pub fn wait(&mut self, now: Instant, tokens: f64) -> f64 {
        self.refill(now);
        if self.tokens + 1e-9 >= tokens {
            0.0
        } else if tokens > self.capacity || self.rate <= 0.0 {
            f64::INFINITY
        } else {
            (tokens - self.tokens) / self.rate
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }
}
