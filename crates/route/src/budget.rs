//! Retry budget as a fraction of recent successes.

/// Budget that successes fill and retries use up.
///
/// The cap makes old successes worthless: after an outage starts, at most `burst` retries precede
/// the next success.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: f64,
    fraction: f64,
    burst: f64,
}

impl RetryBudget {
    pub(crate) fn new(fraction: f64, burst: f64) -> Self {
        Self {
            balance: burst,
            fraction,
            burst,
        }
    }

    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + self.fraction).min(self.burst);
    }

    /// Takes one retry if the budget holds one.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
