//! Retry budget in a sliding window, shared by all entry hosts.

use std::collections::VecDeque;

use types::{Instant, Micros};

/// Parts into which the window is divided; counts expire part by part.
const BUCKETS: u64 = 20;

/// Bounds on repeated requests of a service in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Micros,
    /// Repeated requests per first request.
    pub ratio: f64,
    /// Repeated requests besides, as this host's share.
    pub slack: f64,
}

/// First and repeated requests of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first: u32,
    repeated: u32,
}

/// Requests that one service got from this host in the window.
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

    /// Counts a request that is sent for the first time.
    pub(crate) fn record_first(&mut self, now: Instant, limits: &RetryLimits) {
        self.bucket(now, limits).first += 1;
    }

    /// Takes one repeated request if the window covers it.
    ///
    /// A host that started within the window may have forgotten what it sent before, so it has no
    /// slack yet.
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
