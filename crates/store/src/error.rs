//! Error of a call to the platform.

use std::fmt;

use snafu::Snafu;

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a call to the platform.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`], which tells the caller whether a write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The platform could not be reached or refused the call; a write did not take effect.
    Unavailable,
    /// No response was received; a write may have taken effect.
    Unknown,
    /// The object already exists or has another revision.
    Conflict,
    /// The object does not exist.
    NotFound,
    /// The watch can't continue from the revision.
    Expired,
    /// The value is larger than the platform accepts.
    TooLarge,
    /// The response can't be decoded.
    Malformed,
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display("platform unavailable: {detail} at {subject}"))]
    Unavailable { detail: String, subject: String },
    #[snafu(display("no response from the platform: {detail} at {subject}"))]
    Unknown { detail: String, subject: String },
    #[snafu(display("conflict at {subject}"))]
    Conflict { subject: String },
    #[snafu(display("not found: {subject}"))]
    NotFound { subject: String },
    #[snafu(display("revision expired at {subject}"))]
    Expired { subject: String },
    #[snafu(display("value too large at {subject}"))]
    TooLarge { subject: String },
    #[snafu(display("malformed response: {detail} at {subject}"))]
    Malformed { detail: String, subject: String },
}

impl Error {
    /// Creates an error for an implementation of [`Platform`](crate::Platform).
    ///
    /// `subject` is the kind and name of the object, `detail` describes the failure.
    pub fn new(category: Category, subject: impl Into<String>, detail: impl fmt::Display) -> Self {
        let subject = subject.into();
        let detail = detail.to_string();
        Self(Box::new(match category {
            Category::Unavailable => ErrorCode::Unavailable { detail, subject },
            Category::Unknown => ErrorCode::Unknown { detail, subject },
            Category::Conflict => ErrorCode::Conflict { subject },
            Category::NotFound => ErrorCode::NotFound { subject },
            Category::Expired => ErrorCode::Expired { subject },
            Category::TooLarge => ErrorCode::TooLarge { subject },
            Category::Malformed => ErrorCode::Malformed { detail, subject },
        }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Unavailable { .. } => Category::Unavailable,
            ErrorCode::Unknown { .. } => Category::Unknown,
            ErrorCode::Conflict { .. } => Category::Conflict,
            ErrorCode::NotFound { .. } => Category::NotFound,
            ErrorCode::Expired { .. } => Category::Expired,
            ErrorCode::TooLarge { .. } => Category::TooLarge,
            ErrorCode::Malformed { .. } => Category::Malformed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
