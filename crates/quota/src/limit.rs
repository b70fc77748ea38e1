//! Limit of one account.

use types::Micros;

use crate::usage::{WINDOWS, window};

/// Rate and burst of an account over all hosts, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub per_second: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

impl Limit {
    /// Returns what may be used within each window of a quota with the longest window `longest`.
    #[must_use]
    pub fn allowed(&self, longest: Micros) -> [f64; WINDOWS] {
        std::array::from_fn(|at| self.per_second * window(longest, at).as_secs_f64() + self.burst)
    }
}

/// How quotas are measured, and what may be used beyond them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Longest window in which usage is measured.
    pub window: Micros,
    /// Part of what a window allows that may be used beyond it.
    pub ratio: f64,
    /// Units that may be used in a window beyond that.
    pub units: f64,
}

impl Default for Tolerance {
    /// Returns no tolerance in windows of eight seconds.
    fn default() -> Self {
        Self {
            window: Micros::from_secs(8),
            ratio: 0.0,
            units: 0.0,
        }
    }
}
