//! Error of a command; its category determines the exit code.

use std::fmt;

use snafu::Snafu;

/// Result of a command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a command.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`]; each has an exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The command line is wrong or names a file that can't be read.
    Usage,
    /// A file is not valid.
    Invalid,
    /// Another configuration was applied first.
    Conflict,
    /// The platform or a host does not answer.
    Unavailable,
    /// An internal failure.
    Internal,
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display("{message}"))]
    Usage { message: String },
    #[snafu(display("{message}"))]
    Invalid { message: String },
    #[snafu(display("{message}"))]
    Conflict { message: String },
    #[snafu(display("{message}"))]
    Unavailable { message: String },
    #[snafu(display("{message}"))]
    Internal { message: String },
}

impl Error {
    /// Creates a usage error; the message should name the option or the file.
    pub fn usage(message: impl fmt::Display) -> Self {
        Self::new(Category::Usage, message)
    }

    /// Creates an error of a category.
    pub fn new(category: Category, message: impl fmt::Display) -> Self {
        let message = message.to_string();
        Self(Box::new(match category {
            Category::Usage => ErrorCode::Usage { message },
            Category::Invalid => ErrorCode::Invalid { message },
            Category::Conflict => ErrorCode::Conflict { message },
            Category::Unavailable => ErrorCode::Unavailable { message },
            Category::Internal => ErrorCode::Internal { message },
        }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Usage { .. } => Category::Usage,
            ErrorCode::Invalid { .. } => Category::Invalid,
            ErrorCode::Conflict { .. } => Category::Conflict,
            ErrorCode::Unavailable { .. } => Category::Unavailable,
            ErrorCode::Internal { .. } => Category::Internal,
        }
    }
}

impl Category {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Usage => 2,
            Self::Invalid => 3,
            Self::Conflict => 4,
            Self::Unavailable => 5,
            Self::Internal => 6,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}

impl From<lexopt::Error> for Error {
    fn from(e: lexopt::Error) -> Self {
        Self::usage(e)
    }
}

/// Creates an error for an internal failure.
pub(crate) fn internal(e: impl fmt::Display) -> Error {
    Error::new(Category::Internal, e)
}
