//! Counters of requests, refusals and retries.

use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use types::{Code, RetryReason};

const REFUSALS: &str = "celerytally_refusals_total";
const RETRIES: &str = "celerytally_retries_total";
const REQUESTS: &str = "celerytally_requests_total";
const IN_TIME: &str = "celerytally_requests_in_time_total";

/// Counters of an entry host, also exported as metrics.
#[derive(Debug)]
pub struct Counters {
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    requests: AtomicU64,
    in_time: AtomicU64,
}

fn zeroed(n: usize) -> Vec<AtomicU64> {
    std::iter::repeat_with(AtomicU64::default).take(n).collect()
}

impl Counters {
    /// Registers all counters at zero, so that alerts can reference counters that have not been
    /// incremented.
    #[must_use]
    pub fn register() -> Self {
        for code in Code::ALL {
            counter!(REFUSALS, "code" => code.label()).increment(0);
        }
        for reason in RetryReason::ALL {
            counter!(RETRIES, "reason" => reason.label()).increment(0);
        }
        counter!(REQUESTS).increment(0);
        counter!(IN_TIME).increment(0);
        Self {
            refusals: zeroed(Code::ALL.len()),
            retries: zeroed(RetryReason::ALL.len()),
            requests: AtomicU64::default(),
            in_time: AtomicU64::default(),
        }
    }

    pub(crate) fn request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        counter!(REQUESTS).increment(1);
    }

    pub(crate) fn in_time(&self) {
        self.in_time.fetch_add(1, Ordering::Relaxed);
        counter!(IN_TIME).increment(1);
    }

    pub(crate) fn refusal(&self, code: Code) {
        if let Ok(index) = Code::ALL.binary_search(&code) {
            self.refusals[index].fetch_add(1, Ordering::Relaxed);
        }
        counter!(REFUSALS, "code" => code.label()).increment(1);
    }

    pub(crate) fn retry(&self, reason: RetryReason) {
        if let Ok(index) = RetryReason::ALL.binary_search(&reason) {
            self.retries[index].fetch_add(1, Ordering::Relaxed);
        }
        counter!(RETRIES, "reason" => reason.label()).increment(1);
    }

    /// Returns the number of requests received by the caller API.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests answered completely within their deadline.
    #[must_use]
    pub fn requests_in_time(&self) -> u64 {
        self.in_time.load(Ordering::Relaxed)
    }

    /// Returns the number of refusals for each code that has occurred.
    pub fn refusals(&self) -> impl Iterator<Item = (Code, u64)> + '_ {
        let counts = self.refusals.iter().map(|n| n.load(Ordering::Relaxed));
        let pairs = Code::ALL.iter().copied().zip(counts);
        pairs.filter(|(_, n)| *n > 0)
    }

    /// Returns the number of retries for each reason that has occurred.
    pub fn retries(&self) -> impl Iterator<Item = (RetryReason, u64)> + '_ {
        let counts = self.retries.iter().map(|n| n.load(Ordering::Relaxed));
        let pairs = RetryReason::ALL.iter().copied().zip(counts);
        pairs.filter(|(_, n)| *n > 0)
    }
}
