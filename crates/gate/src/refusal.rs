//! Refusals and failures as callers see them.

use bytes::Bytes;
use salvo::http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, HeaderName, RETRY_AFTER, WWW_AUTHENTICATE},
};
use serde_json::json;
use types::{Code, Micros, Ran};

use crate::reply::{Body, Reply};

pub(crate) const CODE: HeaderName = HeaderName::from_static("x-celerytally-code");

/// Returns the result code that a response carries.
pub(crate) fn code(headers: &HeaderMap) -> Option<Code> {
    let number: u16 = headers.get(CODE)?.to_str().ok()?.parse().ok()?;
    Code::ALL.iter().copied().find(|c| c.number() == number)
}

/// Time after which a resend is suggested when nothing better is known.
const DEFAULT_RETRY_AFTER: Micros = Micros::from_secs(1);

/// First number of the codes of requests that crash backend servers.
const FIRST_SUSPECT_CODE: u16 = 601;

/// Last number of that group.
const LAST_SUSPECT_CODE: u16 = 699;

/// Tells whether a code is about requests that crash backend servers.
pub(crate) fn is_suspect(code: Code) -> bool {
    (FIRST_SUSPECT_CODE..=LAST_SUSPECT_CODE).contains(&code.number())
}

/// Refusal or failure of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Whether this request was run, which a code of another request's crash does not tell.
    pub ran: Ran,
    /// Time after which a resend may succeed.
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
    /// Makes the refusal that the router decided, given the code of an attempt that may have run.
    ///
    /// A code that says "not run" is replaced by that of the attempt. The codes of crashing requests
    /// stay, because callers need them, but no longer say "not run".
    pub(crate) fn decided(code: Code, may_have_run: Option<Code>, after: Option<Micros>) -> Self {
        match may_have_run {
            Some(attempt) if code.ran() == Ran::No && !is_suspect(code) => Self::from(attempt),
            Some(_) if code.ran() == Ran::No => Self {
                ran: Ran::Unknown,
                retry_after: after,
                ..Self::from(code)
            },
            _ => Self {
                retry_after: after,
                ..Self::from(code)
            },
        }
    }

    pub(crate) fn body(self) -> serde_json::Value {
        json!({"error": {
            "code": self.code.number(),
            "type": self.code.label(),
            "message": self.code.meaning(),
            "ran": self.ran.to_string(),
            "resend": self.code.may_resend(),
        }})
    }

    /// Returns the explicit end of a stream that can't be completed.
    pub(crate) fn event(self) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.body()))
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.code.status());
        let mut reply = Self::new(
            status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            Body::Full(Bytes::from(refusal.body().to_string())),
        );
        let json = HeaderValue::from_static("application/json");
        reply.headers.insert(CONTENT_TYPE, json);
        reply.headers.insert(CODE, refusal.code.number().into());
        if refusal.code == Code::Unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            reply.headers.insert(WWW_AUTHENTICATE, scheme);
        }
        if refusal.code.may_resend() {
            let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let secs = after.get().div_ceil(1_000_000).max(1);
            reply.headers.insert(RETRY_AFTER, secs.into());
        }
        reply
    }
}
