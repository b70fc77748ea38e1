//! Units of the last seconds of one account on one host.

use types::{Instant, Micros};

use crate::usage::{WINDOWS, window};

/// Intervals into which the longest window is divided.
const BINS: usize = 64;

/// Units by interval, for the longest window up to now.
#[derive(Clone, Debug)]
pub(crate) struct History {
    longest: Micros,
    /// Units by number of the interval modulo [`BINS`] and one, as windows begin within an interval.
    bins: [u32; BINS + 1],
    /// Number of the newest interval.
    newest: u64,
}

impl History {
    pub(crate) fn new(longest: Micros) -> Self {
        Self {
            longest,
            bins: [0; BINS + 1],
            newest: 0,
        }
    }

    fn interval(&self, at: Instant) -> u64 {
        at.as_micros() / (self.longest.get() / BINS as u64).max(1)
    }

    fn slot(interval: u64) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the remainder is below the number of intervals"
        )]
        let slot = (interval % (BINS as u64 + 1)) as usize;
        slot
    }

    /// Clears the intervals that have begun since the newest one.
    fn advance(&mut self, now: Instant) {
        let interval = self.interval(now);
        let passed = interval.saturating_sub(self.newest);
        for step in 1..=passed.min(BINS as u64 + 1) {
            self.bins[Self::slot(interval - passed.min(BINS as u64 + 1) + step)] = 0;
        }
        self.newest = self.newest.max(interval);
    }

    pub(crate) fn add(&mut self, now: Instant, units: u32) {
        self.advance(now);
        let bin = &mut self.bins[Self::slot(self.newest)];
        *bin = bin.saturating_add(units);
    }

    /// Takes back units that were added at an earlier time, unless they have left the longest window.
    pub(crate) fn take_back(&mut self, now: Instant, added_at: Instant, units: u32) {
        self.advance(now);
        let interval = self.interval(added_at);
        if self.newest.saturating_sub(interval) <= BINS as u64 {
            let bin = &mut self.bins[Self::slot(interval)];
            *bin = bin.saturating_sub(units);
        }
    }

    /// Returns the units of each window up to now.
    pub(crate) fn sums(&mut self, now: Instant) -> [u32; WINDOWS] {
        std::array::from_fn(|at| self.sum(now, window(self.longest, at)))
    }

    /// Returns the units of a time up to now and of the interval in which it began.
    pub(crate) fn sum(&mut self, now: Instant, time: Micros) -> u32 {
        self.advance(now);
        let bins = time.get() * BINS as u64 / self.longest.get().max(1);
        let intervals = self.newest.saturating_sub(bins)..=self.newest;
        let units = intervals.map(|interval| self.bins[Self::slot(interval)]);
        units.fold(0, u32::saturating_add)
    }
}
