//! Retry budget in a sliding window, shared by all entry hosts.

use std::collections::VecDeque;

use types::{Instant, Micros};

/// Number of buckets of a window; counts expire bucket by bucket.
const BUCKETS: u64 = 20;

/// Limits on the repeated requests of a service in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Micros,
    /// Repeated requests allowed per first request.
    pub ratio: f64,
    /// Additional repeated requests allowed: the share of this host.
    pub slack: f64,
}

/// First and repeated requests in one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first: u32,
    repeated: u32,
}

/// Requests that this host sent to one service in the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    fn bucket(&mut self, now: Instant, limits: &RetryLimits) -> &mut Bucket {
        let length = (limits.window.get() / BUCKETS).max(1);
        let number = now.as_micros() / length;
        while self
            .buckets
            .front()
            .is_some_and(|p| p.number + BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|p| p.number < number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    /// Counts the first dispatch of a request.
    pub(crate) fn record_first(&mut self, now: Instant, limits: &RetryLimits) {
        self.bucket(now, limits).first += 1;
    }

    /// Takes one repeated request, if the limits allow it.
    ///
    /// A host that started within the window may have lost its earlier counts, so it gets no slack
    /// yet.
    pub(crate) fn take(&mut self, now: Instant, started: Instant, limits: &RetryLimits) -> bool {
        self.bucket(now, limits);
        let first: u32 = self.buckets.iter().map(|p| p.first).sum();
        let repeated: u32 = self.buckets.iter().map(|p| p.repeated).sum();
        let slack = if now.since(started) < limits.window {
            0.0
        } else {
            limits.slack
        };
        let allowed = f64::from(repeated + 1) <= limits.ratio * f64::from(first) + slack;
        if allowed {
            self.bucket(now, limits).repeated += 1;
        }
        allowed
    }
}
