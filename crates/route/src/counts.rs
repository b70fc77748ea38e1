//! Counters of the router.

use types::{Code, RetryReason};

/// Counters since the start of the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Dispatches to backend servers, retries included.
    pub dispatched: u64,
    /// Requests forwarded to another data centre.
    pub forwarded: u64,
    /// Requests that finished in time and without error.
    pub succeeded: u64,
    /// Requests that left the queue unserved after a later request of better priority was served.
    pub starved: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Requests that became suspects on this host.
    pub suspected: u64,
    /// Requests that this host confirmed as the cause of a crash.
    pub confirmed: u64,
    /// Suspects that completed on this host and were cleared.
    pub cleared: u64,
    /// Crashes of backend servers at which this host had requests in flight.
    pub crashes: u64,
    /// Suspects that were left out of reports of crashes because there were too many.
    pub omitted_suspects: u64,
    /// Suspects that were blocked, or confirmed after that.
    pub blocked: u64,
    /// Blocked suspects that were cleared.
    pub unblocked: u64,
    /// Refusals by code, sorted by code.
    pub refused: Vec<(Code, u64)>,
    /// Retries by reason, sorted by reason.
    pub retried: Vec<(RetryReason, u64)>,
}

impl Counts {
    pub(crate) fn refuse(&mut self, code: Code) {
        bump(&mut self.refused, code);
    }

    pub(crate) fn retry(&mut self, reason: RetryReason) {
        bump(&mut self.retried, reason);
    }
}

fn bump<K: Copy + Ord>(counts: &mut Vec<(K, u64)>, key: K) {
    match counts.binary_search_by_key(&key, |c| c.0) {
        Ok(at) => counts[at].1 += 1,
        Err(at) => counts.insert(at, (key, 1)),
    }
}
