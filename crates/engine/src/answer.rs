//! Responses of backend servers. A response is complete only if its HTTP framing is complete.

use std::{fmt, pin::Pin};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use reqwest::{
    Response, StatusCode, Version,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING},
};
use tokio::time::Instant;
use types::Incarnation;

use crate::{
    client::{LEAVING, LOAD, Server, parse_u64, root_cause},
    error::{Category, Error, Result},
    sse::EventSplitter,
};

/// Limits the memory that a stream without event boundaries can use.
const MAX_EVENT_BYTES: usize = 4 << 20;

type Body = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

/// Load reported in the headers of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadHint {
    /// Running requests.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
}

/// Response with verified headers and an unread body.
///
/// Dropping it before the end of the body closes its connection.
pub struct Answer {
    server: Server,
    status: StatusCode,
    headers: HeaderMap,
    incarnation: Option<Incarnation>,
    deadline: Instant,
    framed: bool,
    /// Whether an incomplete body is an error; only tests disable this.
    require_complete: bool,
    body: Body,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("server", &self.server)
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Complete response with its body in memory.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    pub(crate) fn new(
        server: Server,
        response: Response,
        framed: bool,
        incarnation: Option<Incarnation>,
        deadline: Instant,
    ) -> Self {
        Self {
            server,
            status: response.status(),
            framed,
            require_complete: true,
            headers: response.headers().clone(),
            incarnation,
            deadline,
            body: Box::pin(response.bytes_stream()),
        }
    }

    pub(crate) fn with_require_complete(mut self, require_complete: bool) -> Self {
        self.require_complete = require_complete;
        self
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the incarnation of the server that sent the response.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns whether the response announces that its server is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.headers.contains_key(LEAVING)
    }

    /// Returns the load reported in the headers.
    #[must_use]
    pub fn load(&self) -> Option<LoadHint> {
        let text = self.headers.get(LOAD)?.to_str().ok()?;
        let field = |name| {
            text.split(';')
                .filter_map(|part| part.trim().split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse().ok())
        };
        Some(LoadHint {
            in_flight: field("in_flight")?,
            queued: field("queued").unwrap_or(0),
        })
    }

    /// Returns the value of the `Content-Length` header.
    #[must_use]
    pub fn content_length(&self) -> Option<u64> {
        parse_u64(self.headers.get(CONTENT_LENGTH))
    }

    /// Returns whether the body is an event stream.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.headers.get(CONTENT_TYPE);
        content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the next chunk of the body, or `None` once the body is complete.
    ///
    /// # Errors
    /// `Truncated` when the body ended early, `Timeout` when the deadline expired.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>> {
        match tokio::time::timeout_at(self.deadline, self.body.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(Some(Err(_))) if !self.require_complete => Ok(None),
            Ok(Some(Err(e))) => Err(self.error(Category::Truncated, root_cause(&e))),
            Ok(None) if self.framed => Ok(None),
            Ok(None) => Err(self.error(
                Category::Truncated,
                "the response has neither a content length nor chunked encoding",
            )),
            Err(e) => Err(self.error(Category::Timeout, e)),
        }
    }

    /// Reads the whole body. If it exceeds the limit, returns the bytes read so far and the
    /// response, from which the rest can be read.
    ///
    /// # Errors
    /// As [`chunk`](Self::chunk).
    pub async fn read(mut self, limit: usize) -> Result<Result<BufferedResponse, (Bytes, Self)>> {
        let mut buf = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            buf.extend_from_slice(&chunk);
            if buf.len() > limit {
                return Ok(Err((buf.freeze(), self)));
            }
        }
        Ok(Ok(BufferedResponse {
            status: self.status,
            headers: self.headers,
            body: buf.freeze(),
        }))
    }

    /// Reads an event stream to its end.
    ///
    /// # Errors
    /// As [`Events::next`], and `Truncated` when the stream exceeds the limit.
    pub async fn read_events(self, limit: usize) -> Result<BufferedResponse> {
        let (status, headers) = (self.status, self.headers.clone());
        let mut events = self.events();
        let mut buf = BytesMut::new();
        while let Some((bytes, _)) = events.next().await? {
            buf.extend_from_slice(&bytes);
            if buf.len() > limit {
                let detail = format!("the event stream exceeds {limit} bytes");
                return Err(events.answer.error(Category::Truncated, detail));
            }
        }
        Ok(BufferedResponse {
            status,
            headers,
            body: buf.freeze(),
        })
    }

    /// Reads the body as an event stream.
    #[must_use]
    pub fn events(self) -> Events {
        Events {
            answer: self,
            splitter: EventSplitter::default(),
        }
    }

    fn error(&self, category: Category, detail: impl fmt::Display) -> Error {
        Error::new(category, &self.server.id, detail).with_incarnation(self.incarnation)
    }
}

/// Returns whether the framing distinguishes the end of the body from a lost connection.
pub(crate) fn is_framed(response: &Response) -> bool {
    let headers = response.headers();
    let has_no_body = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let chunked = headers
        .get(TRANSFER_ENCODING)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.trim_end().to_ascii_lowercase().ends_with("chunked"));
    has_no_body
        || headers.contains_key(CONTENT_LENGTH)
        || (chunked && response.version() == Version::HTTP_11)
}

/// Event stream of a response, read in batches of complete events.
#[derive(Debug)]
pub struct Events {
    answer: Answer,
    splitter: EventSplitter,
}

impl Events {
    /// Returns whether the stream ended with an error event instead of `[DONE]`.
    #[must_use]
    pub fn is_error(&self) -> bool {
        self.splitter.is_error()
    }

    /// Returns the next complete events, byte for byte, and their count.
    ///
    /// The final event, `[DONE]` or an `error` event, is withheld until the framing of the response
    /// is complete, and is returned last. The count excludes the final event and comments.
    ///
    /// # Errors
    /// `Truncated` when the stream ended without `[DONE]` or its framing is incomplete, `Timeout`
    /// when the deadline expired.
    pub async fn next(&mut self) -> Result<Option<(Bytes, u64)>> {
        loop {
            if let Some(events) = self.splitter.take_events() {
                return Ok(Some(events));
            }
            match self.answer.chunk().await? {
                Some(chunk) => {
                    self.splitter.push(&chunk);
                    if self.splitter.incomplete_len() > MAX_EVENT_BYTES {
                        let detail = format!("an event exceeds {MAX_EVENT_BYTES} bytes");
                        return Err(self.answer.error(Category::Truncated, detail));
                    }
                }
                None => {
                    return match self.splitter.finish() {
                        Some(last) => Ok(last.map(|bytes| (bytes, 0))),
                        None if !self.answer.require_complete => Ok(None),
                        None => Err(self
                            .answer
                            .error(Category::Truncated, "the stream has no final event")),
                    };
                }
            }
        }
    }
}
