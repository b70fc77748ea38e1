//! Rates per second.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    unit,
};

const MILLI_PER_UNIT: f64 = 1_000.0;

/// Rate per second, stored in thousandths so that comparisons are exact.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from thousandths per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Returns the rate per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLI_PER_UNIT
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a rate such as `1.4/s`";
        let (number, factor) = unit::parse(
            s,
            EXPECTED,
            &[("/s", MILLI_PER_UNIT), ("/min", MILLI_PER_UNIT / 60.0)],
        )?;
        unit::round(number * factor, "rate", s).map(Self)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}
