//! Processor capacity.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    unit,
};

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Processor capacity in thousandths of a core; one core by default.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Millicores(u32);

impl Millicores {
    /// Creates a capacity from thousandths of a core.
    #[must_use]
    pub const fn new(millicores: u32) -> Self {
        Self(millicores)
    }

    /// Returns the thousandths of a core.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for Millicores {
    fn default() -> Self {
        Self(1_000)
    }
}

impl FromStr for Millicores {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        const EXPECTED: &str = "a processor capacity such as `250 mcores` or `0.25 cores`";
        let (number, factor) = unit::parse(
            s,
            EXPECTED,
            &[("mcores", 1.0), ("cores", MILLICORES_PER_CORE)],
        )?;
        let millicores = unit::round(number * factor, "processor capacity", s)?;
        u32::try_from(millicores)
            .map(Self)
            .map_err(|_e| Error::range("processor capacity", s))
    }
}

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mcores", self.0)
    }
}
