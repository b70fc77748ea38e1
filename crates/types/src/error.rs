//! Errors of parsing ids, sizes, rates and times.

use std::fmt;

use snafu::Snafu;

/// Result of parsing a type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of parsing a type of this crate.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text does not have the expected syntax.
    Syntax,
    /// The value is outside its range.
    Range,
}

#[derive(Debug, Snafu)]
pub(crate) enum ErrorCode {
    #[snafu(display("expected {expected}, found `{found}`"))]
    Syntax {
        expected: &'static str,
        found: String,
    },
    #[snafu(display("{quantity} is out of range: `{found}`"))]
    Range {
        quantity: &'static str,
        found: String,
    },
}

impl Error {
    pub(crate) fn syntax(expected: &'static str, found: &str) -> Self {
        Self(Box::new(ErrorCode::Syntax {
            expected,
            found: found.to_owned(),
        }))
    }

    pub(crate) fn range(quantity: &'static str, found: &str) -> Self {
        Self(Box::new(ErrorCode::Range {
            quantity,
            found: found.to_owned(),
        }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Syntax { .. } => Category::Syntax,
            ErrorCode::Range { .. } => Category::Range,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
