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
    /// The HTTP client can't be created.
    Setup,
    /// No connection was established; the request was not run.
    Unreachable,
    /// The server is leaving and refused the request before running it.
    Leaving,
    /// The server refused the request before running it.
    Refused,
    /// The engine does not hold the model or adapter; the request was not run.
    NotResident,
    /// The connection was lost after dispatch and before the response began.
    ConnectionLost,
    /// The server's process ended while the request was in flight.
    Crashed,
    /// The response ended before its framing or its event stream was complete.
    Truncated,
    /// The response belongs to another request.
    Mismatch,
    /// The deadline expired after dispatch.
    Timeout,
    /// The response can't be decoded.
    Malformed,
    /// The engine refused an order because it has seen a higher fencing token.
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
    /// Incarnation of the server to which the request was sent.
    incarnation: Option<Incarnation>,
    /// Highest fencing token that the server has seen.
    fence: Option<Epoch>,
}

impl Category {
    const fn describe(self) -> &'static str {
        match self {
            Self::Setup => "can't create the HTTP client",
            Self::Unreachable => "can't connect",
            Self::Leaving => "request refused by a leaving server",
            Self::Refused => "request refused before it was run",
            Self::NotResident => "model not resident",
            Self::ConnectionLost => "connection lost after dispatch",
            Self::Crashed => "server crashed",
            Self::Truncated => "response ended early",
            Self::Mismatch => "response belongs to another request",
            Self::Timeout => "deadline expired after dispatch",
            Self::Malformed => "malformed response",
            Self::Fenced => "order refused because of a higher fencing token",
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

    pub(crate) fn with_incarnation(mut self, incarnation: Option<Incarnation>) -> Self {
        self.0.incarnation = incarnation;
        self
    }

    pub(crate) fn with_fence(mut self, fence: Option<Epoch>) -> Self {
        self.0.fence = fence;
        self
    }

    pub(crate) fn into_crashed(mut self) -> Self {
        self.0.category = Category::Crashed;
        self.0.what = Category::Crashed.describe();
        self
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.0.category
    }

    /// Returns the incarnation of the server to which the request was sent, if known.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.0.incarnation
    }

    /// Returns the highest fencing token that the server reported when it refused an order.
    #[must_use]
    pub fn fence(&self) -> Option<Epoch> {
        self.0.fence
    }

    /// Returns whether the server may have run the request.
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
            Category::ConnectionLost | Category::Timeout => RetryReason::ConnectionLost,
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
