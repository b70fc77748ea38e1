//! Errors of starting the exchange.

use std::{fmt, net::SocketAddr};

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of [`start`](crate::start).
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The address for peers cannot be bound.
    Listen,
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display("can't listen for peers on {addr}: {source}"))]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
}

impl Error {
    pub(crate) fn listen(addr: SocketAddr, source: std::io::Error) -> Self {
        Self(Box::new(ErrorCode::Listen { addr, source }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Listen { .. } => Category::Listen,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&self.0)
    }
}
