//! Refusals and failures as reported to callers.

use bytes::Bytes;
use salvo::http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, HeaderName, RETRY_AFTER, WWW_AUTHENTICATE},
};
use serde_json::json;
use types::{Code, ExecutionStatus, Micros};

use crate::reply::{Body, Reply};

pub(crate) const CODE_HEADER: HeaderName = HeaderName::from_static("x-celerytally-code");

/// Returns the result code of a response.
pub(crate) fn code(headers: &HeaderMap) -> Option<Code> {
    let number: u16 = headers.get(CODE_HEADER)?.to_str().ok()?.parse().ok()?;
    Code::ALL.iter().copied().find(|c| c.number() == number)
}

/// Suggested resend delay when no better estimate is available.
const DEFAULT_RETRY_AFTER: Micros = Micros::from_secs(1);

/// First result code for requests that crash backend servers.
const FIRST_SUSPECT_CODE: u16 = 601;

/// Last result code for requests that crash backend servers.
const LAST_SUSPECT_CODE: u16 = 699;

/// Returns whether a code concerns requests that crash backend servers.
pub(crate) fn is_suspect_code(code: Code) -> bool {
    (FIRST_SUSPECT_CODE..=LAST_SUSPECT_CODE).contains(&code.number())
}

/// Refusal or failure of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Whether this request was run. A code that results from another request's crash does not
    /// determine it.
    pub ran: ExecutionStatus,
    /// Suggested delay before a resend.
    pub retry_after: Option<Micros>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self {
            code,
            ran: code.ran(),
            retry_after: None,
        }
    }
}

impl Refusal {
    /// Creates a refusal from the router's code and the code of an attempt that may have run, if
    /// any.
    ///
    /// A "not run" code is replaced by the attempt's code. Codes for crashing requests are kept
    /// because callers need them, but are no longer reported as "not run".
    pub(crate) fn from_router(
        code: Code,
        may_have_run: Option<Code>,
        after: Option<Micros>,
    ) -> Self {
        match may_have_run {
            Some(attempt) if code.ran() == ExecutionStatus::No && !is_suspect_code(code) => {
                Self::from(attempt)
            }
            Some(_) if code.ran() == ExecutionStatus::No => Self {
                ran: ExecutionStatus::Unknown,
                retry_after: after,
                ..Self::from(code)
            },
            _ => Self {
                retry_after: after,
                ..Self::from(code)
            },
        }
    }

    pub(crate) fn to_json(self) -> serde_json::Value {
        json!({"error": {
            "code": self.code.number(),
            "type": self.code.label(),
            "message": self.code.description(),
            "ran": self.ran.to_string(),
            "resend": self.code.is_retryable(),
        }})
    }

    /// Encodes the refusal as the error event that ends an incomplete stream.
    pub(crate) fn to_sse_event(self) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.to_json()))
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.code.status());
        let mut reply = Self::new(
            status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            Body::Full(Bytes::from(refusal.to_json().to_string())),
        );
        let json = HeaderValue::from_static("application/json");
        reply.headers.insert(CONTENT_TYPE, json);
        reply
            .headers
            .insert(CODE_HEADER, refusal.code.number().into());
        if refusal.code == Code::Unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            reply.headers.insert(WWW_AUTHENTICATE, scheme);
        }
        if refusal.code.is_retryable() {
            let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let secs = after.get().div_ceil(1_000_000).max(1);
            reply.headers.insert(RETRY_AFTER, secs.into());
        }
        reply
    }
}
