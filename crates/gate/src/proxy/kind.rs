//! Kind of a stream, which all responses that provide its events have in common.

use http::{HeaderValue, StatusCode, header, response};

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Status and content type of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamKind {
    /// Returns whether the response is a series of events.
    pub(crate) fn has_events(&self) -> bool {
        let content_type = self.content_type.as_ref().and_then(|t| t.to_str().ok());
        content_type.is_some_and(|t| t.trim_start().starts_with(EVENT_STREAM))
    }

    /// Returns the kind of the stream that a response provides.
    pub(crate) fn of(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        }
    }
}
