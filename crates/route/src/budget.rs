//! Retry budget as a fraction of recent successes.

/// Token bucket that successes fill and retries drain.
///
/// The cap keeps old successes from paying for many retries: in an outage, at most `burst` retries
/// are made before the next success.
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

    /// Takes one retry from the bucket, if it holds one.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
