//! Bounds on retries.

/// Retries that may be made at once after a quiet time.
const RETRIES_MAX: f64 = 10.0;

/// A budget of retries for one service: each request earns a part of a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may be made now: from 0 to [`RETRIES_MAX`].
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: RETRIES_MAX }
    }
}

impl RetryBudget {
    /// Earns the part of one request.
    pub fn deposit(&mut self, part: f64) {
        self.left = (self.left + part).min(RETRIES_MAX);
    }

    /// Spends one retry, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}
