//! Error of parsing an id, a size, a rate or a time.

use std::fmt;

use snafu::Snafu;

/// Result of parsing shared vocabulary.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of parsing shared vocabulary.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not of the expected form.
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
    #[snafu(display("{what} is out of range: `{found}`"))]
    Range { what: &'static str, found: String },
}

impl Error {
    pub(crate) fn syntax(expected: &'static str, found: &str) -> Self {
        Self(Box::new(ErrorCode::Syntax {
            expected,
            found: found.to_owned(),
        }))
    }

    pub(crate) fn range(what: &'static str, found: &str) -> Self {
        Self(Box::new(ErrorCode::Range {
            what,
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
