//! Error of a call to a backend server.

use std::fmt;

use snafu::Snafu;
use types::{BackendId, Code, Epoch, Incarnation, RetryReason};

/// Result of a call to a backend server.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a call to a backend server.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`], which says whether the request may have been run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The HTTP client can't be set up.
    Setup,
    /// No connection was made; the request was not run.
    Unreachable,
    /// The server is leaving and refused the request before running it.
    Leaving,
    /// The server refused the request before running it.
    Refused,
    /// The engine does not hold the model or adapter; the request was not run.
    NotResident,
    /// The connection broke after dispatch and before the response began.
    ConnectionLost,
    /// The server's process ended while the request was in flight.
    Crashed,
    /// The response ended before its framing or its event stream was complete.
    Truncated,
    /// The response belongs to another request.
    Mismatch,
    /// The deadline passed after dispatch.
    Timeout,
    /// The response can't be decoded.
    Malformed,
    /// The engine refused an order because of a higher fencing token.
    Fenced,
    /// The engine refused an order for lack of memory.
    OutOfMemory,
}

#[derive(Debug, Snafu)]
#[snafu(display("{what} at {backend}: {detail}"))]
struct ErrorCode {
    category: Category,
    what: &'static str,
    backend: String,
    detail: String,
    /// Life of the server that ended, or in which the request ran.
    incarnation: Option<Incarnation>,
    /// Newest fencing token that the server has seen.
    fence: Option<Epoch>,
}

impl Category {
    const fn describe(self) -> &'static str {
        match self {
            Self::Setup => "can't set up the HTTP client",
            Self::Unreachable => "no connection",
            Self::Leaving => "refused by a leaving server",
            Self::Refused => "refused before running",
            Self::NotResident => "model not resident",
            Self::ConnectionLost => "connection broke after dispatch",
            Self::Crashed => "server crashed",
            Self::Truncated => "response ended early",
            Self::Mismatch => "response to another request",
            Self::Timeout => "deadline passed after dispatch",
            Self::Malformed => "undecodable response",
            Self::Fenced => "order refused by a newer fencing token",
            Self::OutOfMemory => "order refused for lack of memory",
        }
    }
}

impl Error {
    pub(crate) fn new(category: Category, backend: &BackendId, detail: impl fmt::Display) -> Self {
        Self(Box::new(ErrorCode {
            category,
            what: category.describe(),
            backend: backend.to_string(),
            detail: detail.to_string(),
            incarnation: None,
            fence: None,
        }))
    }

    pub(crate) fn setup(detail: impl fmt::Display) -> Self {
        Self(Box::new(ErrorCode {
            category: Category::Setup,
            what: Category::Setup.describe(),
            backend: "client".to_owned(),
            detail: detail.to_string(),
            incarnation: None,
            fence: None,
        }))
    }

    pub(crate) fn in_life(mut self, incarnation: Option<Incarnation>) -> Self {
        self.0.incarnation = incarnation;
        self
    }

    pub(crate) fn with_fence(mut self, fence: Option<Epoch>) -> Self {
        self.0.fence = fence;
        self
    }

    pub(crate) fn into_crash(mut self) -> Self {
        self.0.category = Category::Crashed;
        self.0.what = Category::Crashed.describe();
        self
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.0.category
    }

    /// Returns the life of the server in which the request was in flight, if it is known.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.0.incarnation
    }

    /// Returns the newest fencing token that a server named when it refused an order.
    #[must_use]
    pub fn fence(&self) -> Option<Epoch> {
        self.0.fence
    }

    /// Tells whether the server may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self.0.category {
            Category::Setup
            | Category::Unreachable
            | Category::Leaving
            | Category::Refused
            | Category::NotResident
            | Category::Fenced
            | Category::OutOfMemory => false,
            Category::ConnectionLost
            | Category::Crashed
            | Category::Truncated
            | Category::Mismatch
            | Category::Timeout
            | Category::Malformed => true,
        }
    }

    /// Returns the result code of a request that ends with this error.
    #[must_use]
    pub fn code(&self) -> Code {
        match self.0.category {
            Category::Unreachable => Code::Unreachable,
            Category::Leaving | Category::Refused => Code::BackendRefused,
            Category::NotResident => Code::NotResident,
            Category::ConnectionLost => Code::ConnectionCut,
            Category::Crashed => Code::BackendCrashed,
            Category::Truncated => Code::AnswerTruncated,
            Category::Mismatch => Code::AnswerMismatch,
            Category::Timeout => Code::DeadlineExceeded,
            Category::Setup | Category::Malformed | Category::Fenced | Category::OutOfMemory => {
                Code::Internal
            }
        }
    }

    /// Returns the reason under which a retry after this error is counted.
    #[must_use]
    pub fn retry_reason(&self) -> RetryReason {
        match self.0.category {
            Category::Setup | Category::Unreachable => RetryReason::Unreachable,
            Category::Leaving => RetryReason::Leaving,
            Category::Refused | Category::Fenced | Category::OutOfMemory => RetryReason::Refused,
            Category::NotResident => RetryReason::NotResident,
            Category::ConnectionLost | Category::Timeout => RetryReason::Cut,
            Category::Crashed => RetryReason::Crash,
            Category::Truncated => RetryReason::Truncated,
            Category::Mismatch | Category::Malformed => RetryReason::Mismatch,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
