//! Retry budget in a sliding window, shared by all entry hosts.

use std::collections::VecDeque;

use types::{Instant, Micros};

/// Parts into which the window is divided; counts expire part by part.
const PARTS: u64 = 20;

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
struct Part {
    number: u64,
    first: u32,
    repeated: u32,
}

/// Requests that one service got from this host in the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryWindow {
    parts: VecDeque<Part>,
}

impl RetryWindow {
    fn part(&mut self, now: Instant, limits: &RetryLimits) -> &mut Part {
        let length = (limits.window.get() / PARTS).max(1);
        let number = now.as_micros() / length;
        while self
            .parts
            .front()
            .is_some_and(|p| p.number + PARTS < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        self.parts.back_mut().expect("a part was just added")
    }

    /// Counts a request that is sent for the first time.
    pub(crate) fn first(&mut self, now: Instant, limits: &RetryLimits) {
        self.part(now, limits).first += 1;
    }

    /// Takes one repeated request if the window covers it.
    ///
    /// A host that started within the window may have forgotten what it sent before, so it has no
    /// slack yet.
    pub(crate) fn take(&mut self, now: Instant, started: Instant, limits: &RetryLimits) -> bool {
        self.part(now, limits);
        let first: u32 = self.parts.iter().map(|p| p.first).sum();
        let repeated: u32 = self.parts.iter().map(|p| p.repeated).sum();
        let slack = if now.since(started) < limits.window {
            0.0
        } else {
            limits.slack
        };
        let covered = f64::from(repeated + 1) <= limits.ratio * f64::from(first) + slack;
        if covered {
            self.part(now, limits).repeated += 1;
        }
        covered
    }
}
