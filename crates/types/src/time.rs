//! Durations, instants, deadlines and clocks.

use std::{fmt, ops::Add, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    unit,
};

/// Duration in microseconds.
///
/// Settings and messages hold durations; long-lived state stores a [`Deadline`] instead.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Micros(u64);

impl Micros {
    /// Zero duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from microseconds.
    #[must_use]
    pub const fn new(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a duration from seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the microseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl From<Micros> for std::time::Duration {
    fn from(t: Micros) -> Self {
        Self::from_micros(t.0)
    }
}

impl FromStr for Micros {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a time such as `490 ms`";
        const UNITS: [(&str, f64); 5] = [
            ("us", 1.0),
            ("ms", 1e3),
            ("s", 1e6),
            ("min", 6e7),
            ("h", 3.6e9),
        ];
        let (number, factor) = unit::parse(s, EXPECTED, &UNITS)?;
        unit::round(number * factor, "time", s).map(Self)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (factor, name) = [(1_000_000, "s"), (1_000, "ms")]
            .into_iter()
            .find(|(factor, _)| self.0 >= *factor && self.0.is_multiple_of(*factor))
            .unwrap_or((1, "us"));
        write!(f, "{} {name}", self.0 / factor)
    }
}

/// Point on the process's monotonic clock, in microseconds from an arbitrary origin.
///
/// Instants of different processes can't be compared, so they are never sent to another process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(u64);

impl Instant {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier instant, or zero if it is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Micros> for Instant {
    type Output = Self;

    fn add(self, rhs: Micros) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

/// Instant by which an operation must have finished.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Deadline(Instant);

impl Deadline {
    /// Deadline that never passes.
    pub const NEVER: Self = Self(Instant(u64::MAX));

    /// Creates a deadline at an instant.
    #[must_use]
    pub const fn at(instant: Instant) -> Self {
        Self(instant)
    }

    /// Creates a deadline at a duration after `now`.
    #[must_use]
    pub fn after(now: Instant, t: Micros) -> Self {
        Self(now + t)
    }

    /// Returns the instant of the deadline.
    #[must_use]
    pub const fn instant(self) -> Instant {
        self.0
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn is_past(self, now: Instant) -> bool {
        now >= self.0
    }

    /// Returns the remaining time, or zero.
    #[must_use]
    pub const fn remaining(self, now: Instant) -> Micros {
        self.0.since(now)
    }
}

/// Source of the current instant.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current instant.
    fn now(&self) -> Instant;
}

/// Monotonic clock of this process, which follows tokio's paused clock in tests.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    origin: tokio::time::Instant,
}

impl Monotonic {
    /// Starts a clock whose origin is one hour before now.
    ///
    /// The offset lets state hold instants before the start of the process.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Instant {
        const ORIGIN_OFFSET_MICROS: u64 = 3_600_000_000;
        let elapsed = self.origin.elapsed().as_micros();
        Instant(ORIGIN_OFFSET_MICROS.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX)))
    }
}

/// Clock of the machine that includes the time during which the machine was suspended.
///
/// Leases and the age of cached state are measured with this clock: a monotonic clock stops during
/// a suspension, so an expired lease would still appear valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootTime;

impl Clock for BootTime {
    fn now(&self) -> Instant {
        const MICROS_PER_SEC: u64 = 1_000_000;
        const NANOS_PER_MICRO: u64 = 1_000;
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
        Instant(secs.saturating_mul(MICROS_PER_SEC) + nanos / NANOS_PER_MICRO)
    }
}
