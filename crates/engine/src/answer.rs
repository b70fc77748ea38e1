//! Responses of backend servers, complete only if their framing is.

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
    client::{LEAVING, LOAD, Server, parse, root},
    error::{Category, Error, Result},
    sse::Blocks,
};

/// Largest event; a stream without event boundaries must not fill the memory.
const MAX_EVENT: usize = 4 << 20;

type Body = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

/// Load that a response's headers carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadHint {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Response whose headers are verified and whose body is still to be read.
///
/// Dropping it before the body ended closes its connection.
pub struct Answer {
    server: Server,
    status: StatusCode,
    headers: HeaderMap,
    incarnation: Option<Incarnation>,
    deadline: Instant,
    framed: bool,
    /// Whether a broken body is an error; a test switches it off.
    must_end: bool,
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

/// Complete response.
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
            must_end: true,
            headers: response.headers().clone(),
            incarnation,
            deadline,
            body: Box::pin(response.bytes_stream()),
        }
    }

    pub(crate) fn requiring_end(mut self, must_end: bool) -> Self {
        self.must_end = must_end;
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

    /// Returns the life of the server that answers.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Tells whether the server says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.headers.contains_key(LEAVING)
    }

    /// Returns the load that the headers carry.
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

    /// Returns the length that the headers announce.
    #[must_use]
    pub fn content_length(&self) -> Option<u64> {
        parse(self.headers.get(CONTENT_LENGTH))
    }

    /// Tells whether the body is an event stream.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        let of_type = self.headers.get(CONTENT_TYPE);
        of_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the next part of the body, or nothing at its complete end.
    ///
    /// # Errors
    /// `Truncated` when the body ended early, `Timeout` when the deadline passed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>> {
        match tokio::time::timeout_at(self.deadline, self.body.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(Some(Err(_))) if !self.must_end => Ok(None),
            Ok(Some(Err(e))) => Err(self.error(Category::Truncated, root(&e))),
            Ok(None) if self.framed => Ok(None),
            Ok(None) => Err(self.error(Category::Truncated, "the body has no length")),
            Err(e) => Err(self.error(Category::Timeout, e)),
        }
    }

    /// Reads the body to its end, or returns the response with what was read beyond the limit.
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
    /// As [`Events::next`], and `Truncated` beyond the limit.
    pub async fn read_events(self, limit: usize) -> Result<BufferedResponse> {
        let (status, headers) = (self.status, self.headers.clone());
        let mut events = self.events();
        let mut buf = BytesMut::new();
        while let Some((bytes, _)) = events.next().await? {
            buf.extend_from_slice(&bytes);
            if buf.len() > limit {
                let detail = "the stream is too large";
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
            blocks: Blocks::default(),
        }
    }

    fn error(&self, category: Category, detail: impl fmt::Display) -> Error {
        Error::new(category, &self.server.id, detail).in_life(self.incarnation)
    }
}

/// Tells whether the end of the body can be told from a broken connection.
pub(crate) fn is_framed(response: &Response) -> bool {
    let headers = response.headers();
    let bodiless = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let chunked = headers
        .get(TRANSFER_ENCODING)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.trim_end().to_ascii_lowercase().ends_with("chunked"));
    bodiless
        || headers.contains_key(CONTENT_LENGTH)
        || (chunked && response.version() == Version::HTTP_11)
}

/// Event stream of a response, read in whole events.
#[derive(Debug)]
pub struct Events {
    answer: Answer,
    blocks: Blocks,
}

impl Events {
    /// Tells whether the stream ended with an error event instead of `[DONE]`.
    #[must_use]
    pub fn is_error(&self) -> bool {
        self.blocks.is_error()
    }

    /// Returns the next whole events as they were sent, with their number.
    ///
    /// The closing `[DONE]` event is kept back until the framing of the response is complete as
    /// well, and comes last. An `error` event closes a stream too. Events are counted without the
    /// closing one and without comments.
    ///
    /// # Errors
    /// `Truncated` when the stream ended without `[DONE]` or its framing is incomplete, `Timeout`
    /// when the deadline passed.
    pub async fn next(&mut self) -> Result<Option<(Bytes, u64)>> {
        loop {
            if let Some(ready) = self.blocks.take() {
                return Ok(Some(ready));
            }
            match self.answer.chunk().await? {
                Some(chunk) => {
                    self.blocks.push(&chunk);
                    if self.blocks.incomplete() > MAX_EVENT {
                        let detail = "an event is too large";
                        return Err(self.answer.error(Category::Truncated, detail));
                    }
                }
                None => {
                    return match self.blocks.finish() {
                        Some(end) => Ok(end.map(|bytes| (bytes, 0))),
                        None if !self.answer.must_end => Ok(None),
                        None => Err(self
                            .answer
                            .error(Category::Truncated, "the stream has no end event")),
                    };
                }
            }
        }
    }
}
