//! Counters of requests, refusals and retries.

use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use types::{Code, RetryReason};

const REFUSALS: &str = "celerytally_refusals_total";
const RETRIES: &str = "celerytally_retries_total";
const REQUESTS: &str = "celerytally_requests_total";
const IN_TIME: &str = "celerytally_requests_in_time_total";

/// Counters of an entry host, which are also published as metrics.
#[derive(Debug)]
pub struct Counters {
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    requests: AtomicU64,
    in_time: AtomicU64,
}

fn zeros(n: usize) -> Vec<AtomicU64> {
    std::iter::repeat_with(AtomicU64::default).take(n).collect()
}

impl Counters {
    /// Registers every counter at zero, so that an alert can be set on one that never counted.
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
            refusals: zeros(Code::ALL.len()),
            retries: zeros(RetryReason::ALL.len()),
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
        if let Ok(at) = Code::ALL.binary_search(&code) {
            self.refusals[at].fetch_add(1, Ordering::Relaxed);
        }
        counter!(REFUSALS, "code" => code.label()).increment(1);
    }

    pub(crate) fn retry(&self, reason: RetryReason) {
        if let Ok(at) = RetryReason::ALL.binary_search(&reason) {
            self.retries[at].fetch_add(1, Ordering::Relaxed);
        }
        counter!(RETRIES, "reason" => reason.label()).increment(1);
    }

    /// Returns the requests to the caller API so far.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the requests that were answered completely and in time.
    #[must_use]
    pub fn requests_in_time(&self) -> u64 {
        self.in_time.load(Ordering::Relaxed)
    }

    /// Returns the codes that were counted, with their numbers of refusals.
    pub fn refusals(&self) -> impl Iterator<Item = (Code, u64)> + '_ {
        let counts = self.refusals.iter().map(|n| n.load(Ordering::Relaxed));
        let pairs = Code::ALL.iter().copied().zip(counts);
        pairs.filter(|(_, n)| *n > 0)
    }

    /// Returns the reasons that were counted, with their numbers of retries.
    pub fn retries(&self) -> impl Iterator<Item = (RetryReason, u64)> + '_ {
        let counts = self.retries.iter().map(|n| n.load(Ordering::Relaxed));
        let pairs = RetryReason::ALL.iter().copied().zip(counts);
        pairs.filter(|(_, n)| *n > 0)
    }
}
