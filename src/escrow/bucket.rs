//! A token bucket.

use std::time::Instant;

/// A token bucket that refills with time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Refill, in tokens a second; at least 0.
    rate: f64,
    /// Most tokens held; at least 0.
    capacity: f64,
    /// Tokens held: from 0 to `capacity`.
    tokens: f64,
    /// Time up to which the refill is counted; never goes back.
    at: Instant,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Instant, rate: f64, capacity: f64) -> Self {
        Self { rate: rate.max(0.0), capacity: capacity.max(0.0), tokens: 0.0, at: now }
    }

    /// Refill, in tokens a second.
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

    /// Changes rate and capacity; tokens beyond the capacity are lost.
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

    /// Takes `tokens` if that many are held.
    pub fn take(&mut self, now: Instant, tokens: f64) -> bool {
        self.refill(now);
        // Refill in many small steps may fall short of a whole token by a rounding error.
        let enough = self.tokens + 1e-9 >= tokens;
        if enough {
            self.tokens = (self.tokens - tokens).max(0.0);
        }
        enough
    }

    /// Takes all tokens.
    pub fn drain(&mut self, now: Instant) -> f64 {
        self.refill(now);
        std::mem::take(&mut self.tokens)
    }

    /// Seconds until `tokens` are held; infinite if that never happens.
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
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.capacity);
        self.at = self.at.max(now);
    }
}
