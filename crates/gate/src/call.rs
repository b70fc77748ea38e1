//! Calls of backend servers and of other entry hosts on behalf of a request.

use std::time::Duration;

use engine::{Call, Protocol};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use tokio::time::Instant as TokioInstant;
use types::{Deadline, Instant};

use crate::{
    auth::{FORWARDED_CALLER, HOP},
    job::Job,
    limit::DEADLINE,
};

/// Bounds a deadline that is turned into a timer.
const MAX_TIMER: Duration = Duration::from_hours(24);

/// Makes the call of a backend server.
pub(crate) fn dispatch(job: &Job, now: Instant) -> Call {
    let mut headers = job.headers.clone();
    if job.protocol == Protocol::Plain {
        set_deadline(&mut headers, job, now);
    }
    Call {
        id: job.ticket.id,
        method: job.method.clone(),
        path: job.path.clone(),
        headers,
        body: job.body.clone(),
        protocol: job.protocol,
        idempotent: job.ticket.idempotent,
        deadline: timer(job.ticket.deadline, now),
    }
}

/// Makes the call of an entry host in another data centre, which is the only hop.
pub(crate) fn forward(job: &Job, now: Instant, bearer: HeaderValue) -> Call {
    let mut headers = job.headers.clone();
    set_deadline(&mut headers, job, now);
    headers.insert(HOP, HeaderValue::from_static("1"));
    headers.insert(AUTHORIZATION, bearer);
    if let Ok(caller) = HeaderValue::from_str(job.sender.caller.id.as_str()) {
        headers.insert(FORWARDED_CALLER, caller);
    }
    Call {
        path: job.public_path.clone(),
        headers,
        body: job.original.clone(),
        protocol: Protocol::EntryHost,
        ..dispatch(job, now)
    }
}

/// Tells the receiver the remaining time, rounded down so that it never lasts longer there.
fn set_deadline(headers: &mut HeaderMap, job: &Job, now: Instant) {
    let remaining = job.ticket.deadline.remaining(now);
    headers.insert(DEADLINE, (remaining.get() / 1_000).max(1).into());
}

/// Turns a deadline into an instant of the runtime's clock.
pub(crate) fn timer(deadline: Deadline, now: Instant) -> TokioInstant {
    let remaining: Duration = deadline.remaining(now).into();
    TokioInstant::now() + remaining.min(MAX_TIMER)
}
