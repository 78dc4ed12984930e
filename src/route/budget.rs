//! The retry budget of one service in one entry VM.

/// Size of a full budget: retries that may be made at once.
const RETRIES_MAX: f64 = 10.0;

/// A budget of retries: each request deposits a fraction of a retry, and each retry withdraws one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that may be made now, from 0 to [`RETRIES_MAX`].
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: RETRIES_MAX }
    }
}

impl RetryBudget {
    /// Adds the fraction of a retry that one request allows.
    pub fn deposit(&mut self, fraction: f64) {
        self.balance = (self.balance + fraction).min(RETRIES_MAX);
    }

    /// Withdraws one retry. Returns false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
