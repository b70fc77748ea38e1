//! Sizes in bytes and numbers of tokens.

use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign},
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    unit,
};

const UNITS: [(&str, u64); 5] = [
    ("TiB", 1 << 40),
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Size in bytes. Addition saturates.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Bytes(u64);

impl Bytes {
    /// Zero bytes.
    pub const ZERO: Self = Self(0);

    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Subtracts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Bytes {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Bytes {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sum for Bytes {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a size such as `80 GiB`";
        let factors = UNITS.map(|(name, factor)| (name, factor as f64));
        let (number, factor) = unit::parse(s, EXPECTED, &factors)?;
        unit::round(number * factor, "size", s).map(Self)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, factor) = UNITS
            .into_iter()
            .find(|(_, factor)| self.0 >= *factor && self.0.is_multiple_of(*factor))
            .unwrap_or(("B", 1));
        write!(f, "{} {name}", self.0 / factor)
    }
}

/// Number of tokens.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// Creates a number of tokens.
    #[must_use]
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for Tokens {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        s.parse()
            .map(Self)
            .map_err(|_e| Error::syntax("a whole number of tokens", s))
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
