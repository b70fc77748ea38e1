//! Error of a request to a peer.

use std::{error, fmt};

/// Reason why a request to a peer got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureReason {
    /// The host is not a known member.
    UnknownHost,
    /// No connection could be opened.
    NotConnected,
    /// The reply did not arrive in time.
    Timeout,
    /// The connection ended.
    ConnectionLost,
    /// The peer refused the connection's token.
    Denied,
}

impl FailureReason {
    /// Returns the name of the reason in log lines and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownHost => "unknown_host",
            Self::NotConnected => "not_connected",
            Self::Timeout => "timeout",
            Self::ConnectionLost => "connection_lost",
            Self::Denied => "denied",
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Error of a request to a peer that got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestError {
    pub(crate) reason: FailureReason,
    /// Bytes received on the connection during the request.
    pub(crate) received: u64,
}

impl RequestError {
    pub(crate) const UNKNOWN_HOST: Self = Self::without_data(FailureReason::UnknownHost);
    pub(crate) const NOT_CONNECTED: Self = Self::without_data(FailureReason::NotConnected);

    const fn without_data(reason: FailureReason) -> Self {
        Self {
            reason,
            received: 0,
        }
    }

    /// Returns the reason.
    #[must_use]
    pub fn reason(&self) -> FailureReason {
        self.reason
    }

    /// Returns the number of bytes received on the connection during the request, which may include
    /// parts of other replies.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} after {} bytes", self.reason, self.received)
    }
}

impl error::Error for RequestError {}
