//! Errors of setting up and serving the HTTP API.

use std::{fmt, io};

use snafu::Snafu;

/// Result of setting up or serving the HTTP API.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of setting up or serving the HTTP API.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// Invalid setting.
    Settings,
    /// Failure of the listening socket.
    Io,
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display("invalid {what}: {detail}"))]
    Settings { what: &'static str, detail: String },
    #[snafu(display("failed to serve HTTP: {source}"))]
    Io { source: io::Error },
}

impl Error {
    pub(crate) fn settings(what: &'static str, detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self(Box::new(ErrorCode::Settings { what, detail }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Settings { .. } => Category::Settings,
            ErrorCode::Io { .. } => Category::Io,
        }
    }
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Self {
        Self(Box::new(ErrorCode::Io { source }))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &*self.0 {
            ErrorCode::Io { source } => Some(source),
            ErrorCode::Settings { .. } => None,
        }
    }
}
