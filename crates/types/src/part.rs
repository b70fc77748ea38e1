//! Parts of prompts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Identifies a part of a prompt, whatever the parts around it and whatever the model.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Creates an id from its number.
    #[must_use]
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for PromptPart {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let parsed = u64::from_str_radix(s, 16);
        parsed
            .map(Self)
            .map_err(|_e| Error::syntax("up to 16 hexadecimal digits", s))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
