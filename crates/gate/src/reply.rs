//! Responses to callers, independent of the HTTP server library.

use std::{fmt, io};

use bytes::Bytes;
use futures::{StreamExt, stream::BoxStream};
use salvo::http::{HeaderMap, HeaderValue, ResBody, Response, StatusCode, header::CONTENT_TYPE};
use types::BackendId;

/// Body of a [`Reply`].
pub(crate) enum Body {
    Full(Bytes),
    /// Forwarded body. An error closes the connection, so that the caller detects the truncation.
    Stream(BoxStream<'static, io::Result<Bytes>>),
}

/// Response to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Server that sent a complete response, if known.
    pub(crate) backend: Option<BackendId>,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => write!(f, "Full({} bytes)", bytes.len()),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

impl Reply {
    pub(crate) fn new(status: StatusCode, body: Body) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body,
            backend: None,
        }
    }

    pub(crate) fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut reply = Self::new(status, Body::Full(body.into()));
        if let Ok(value) = HeaderValue::from_str(content_type) {
            reply.headers.insert(CONTENT_TYPE, value);
        }
        reply
    }

    /// Keeps a value alive until a streamed body has been sent or dropped.
    pub(crate) fn hold_until_sent<T: Send + 'static>(mut self, held: T) -> Self {
        if let Body::Stream(body) = self.body {
            let body = body.map(move |part| {
                let _held = &held;
                part
            });
            self.body = Body::Stream(body.boxed());
        }
        self
    }

    pub(crate) fn send(self, res: &mut Response) {
        res.status_code(self.status);
        res.headers.extend(self.headers);
        // Without a body, salvo adds its own error page to error statuses.
        res.body = match self.body {
            Body::Full(bytes) => ResBody::Once(bytes),
            Body::Stream(stream) => ResBody::stream(stream),
        };
    }
}
