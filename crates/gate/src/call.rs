//! Outgoing calls to backend servers and other entry hosts.

use std::time::Duration;

use engine::{Call, Protocol};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use tokio::time::Instant as TokioInstant;
use types::{Deadline, Instant};

use crate::{
    auth::{CALLER_HEADER, HOP_HEADER},
    limit::DEADLINE_HEADER,
    request::PreparedRequest,
};

/// Upper bound on the duration of a deadline timer.
const MAX_TIMER_DURATION: Duration = Duration::from_hours(24);

/// Builds the call to a backend server.
pub(crate) fn backend_call(request: &PreparedRequest, now: Instant) -> Call {
    let mut headers = request.headers.clone();
    if request.protocol == Protocol::Plain {
        set_remaining_time(&mut headers, request, now);
    }
    Call {
        id: request.ticket.id,
        method: request.method.clone(),
        path: request.path.clone(),
        headers,
        body: request.body.clone(),
        protocol: request.protocol,
        idempotent: request.ticket.idempotent,
        deadline: timer_instant(request.ticket.deadline, now),
    }
}

/// Builds the call to an entry host in another data centre. A request is forwarded at most once.
pub(crate) fn forward_call(request: &PreparedRequest, now: Instant, bearer: HeaderValue) -> Call {
    let mut headers = request.headers.clone();
    set_remaining_time(&mut headers, request, now);
    headers.insert(HOP_HEADER, HeaderValue::from_static("1"));
    headers.insert(AUTHORIZATION, bearer);
    if let Ok(caller) = HeaderValue::from_str(request.sender.caller.id.as_str()) {
        headers.insert(CALLER_HEADER, caller);
    }
    Call {
        path: request.public_path.clone(),
        headers,
        body: request.original_body.clone(),
        protocol: Protocol::EntryHost,
        ..backend_call(request, now)
    }
}

/// Sets the remaining time, rounded down so that the receiver's deadline is never later.
fn set_remaining_time(headers: &mut HeaderMap, request: &PreparedRequest, now: Instant) {
    let remaining = request.ticket.deadline.remaining(now);
    headers.insert(DEADLINE_HEADER, (remaining.get() / 1_000).max(1).into());
}

/// Converts a deadline to an instant of the tokio clock.
pub(crate) fn timer_instant(deadline: Deadline, now: Instant) -> TokioInstant {
    let remaining: Duration = deadline.remaining(now).into();
    TokioInstant::now() + remaining.min(MAX_TIMER_DURATION)
}
