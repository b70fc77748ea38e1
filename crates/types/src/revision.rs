//! Position in the history of the platform's store.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Separator between the era and the number in text.
const SEPARATOR: char = '.';

/// Revision of the store: the number of a change, and the number of times that the store was restored before it.
///
/// After a restore from an older copy, numbers are given out again. Revisions are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct StoreRevision {
    era: u64,
    number: u64,
}

impl StoreRevision {
    /// Creates a revision of a store that was never restored.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self::in_era(0, number)
    }

    /// Creates a revision from an era and a number.
    #[must_use]
    pub const fn in_era(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number of the change, which other eras may have, too.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.number
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > 0 {
            write!(f, "{}{SEPARATOR}", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}

impl FromStr for StoreRevision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let parse = |text: &str| {
            text.parse()
                .map_err(|_e| Error::syntax("a revision of the store", s))
        };
        let (era, number) = s.split_once(SEPARATOR).unwrap_or(("0", s));
        Ok(Self::in_era(parse(era)?, parse(number)?))
    }
}
