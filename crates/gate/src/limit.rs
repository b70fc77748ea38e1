//! Limits on headers, body, deadline and idempotency key.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use config::{Limits, Service};
use futures::StreamExt;
use salvo::http::{HeaderMap, ReqBody, header::CONTENT_LENGTH, header::HeaderName};
use types::{Code, Deadline, Instant, Micros};

use crate::refusal::Refusal;

pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
pub(crate) const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of bytes read and discarded from a refused request.
const MAX_DRAINED_BYTES: usize = 32 << 20;

/// Time limit for discarding the body of a refused request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of an idempotency key, as in most public APIs.
const MAX_KEY_LEN: usize = 255;

pub(crate) fn check_headers(headers: &HeaderMap, limits: &Limits) -> Result<(), Refusal> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 > limits.headers.get() {
        return Err(Code::HeadersTooLarge.into());
    }
    Ok(())
}

/// Reads a request body up to the size limit.
pub(crate) async fn read_body(
    headers: &HeaderMap,
    body: &mut ReqBody,
    limits: &Limits,
) -> Result<Bytes, Refusal> {
    let content_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<u64>().ok());
    if content_length.is_some_and(|n| n > limits.body.get()) {
        return Err(Code::BodyTooLarge.into());
    }
    match tokio::time::timeout(BODY_TIMEOUT, collect(body, limits.body.get())).await {
        Ok(body) => body,
        Err(_) => Err(Code::DeadlineUnreachable.into()),
    }
}

async fn collect(body: &mut ReqBody, limit: u64) -> Result<Bytes, Refusal> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.next().await {
        // The caller disconnected, so the refusal is not delivered.
        let frame = frame.map_err(|_e| Code::InvalidField)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() as u64 > limit {
            return Err(Code::BodyTooLarge.into());
        }
    }
    Ok(buf.freeze())
}

/// Reads and discards the remaining body of a refused request, within limits.
///
/// Closing a connection with unread data resets it. The reset could overtake the refusal, and the
/// caller would not learn that the request was not run.
pub(crate) async fn drain(body: &mut ReqBody) {
    let discard = async {
        let mut remaining = MAX_DRAINED_BYTES;
        while let Some(Ok(frame)) = body.next().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > remaining {
                return;
            }
            remaining -= len;
        }
    };
    // Beyond the limits, the connection is closed even if the caller loses the refusal.
    drop(tokio::time::timeout(DRAIN_TIMEOUT, discard).await);
}

/// Returns the requested deadline, or the service's default.
pub(crate) fn deadline(
    headers: &HeaderMap,
    service: &Service,
    now: Instant,
) -> Result<Deadline, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Deadline::after(now, service.deadline));
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let max = service.max_deadline.get() / 1_000;
    match millis {
        Some(millis) if (1..=max).contains(&millis) => {
            Ok(Deadline::after(now, Micros::from_millis(millis)))
        }
        _ => Err(Code::InvalidDeadline.into()),
    }
}

/// Returns the idempotency key, if present.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_e| Code::InvalidKey)?.trim();
    if key.is_empty() || key.len() > MAX_KEY_LEN {
        return Err(Code::InvalidKey.into());
    }
    Ok(Some(key.to_owned()))
}
