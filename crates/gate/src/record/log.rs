//! Last log line of each request.
//!
//! Each event has the fields `request`, with the id of the request, and `decision`; all but failures name the
//! client account. The operator
//! documentation lists them.

use types::{Code, Micros};

use crate::{record::StreamTiming, refusal::Refusal};

/// Returns a time in milliseconds.
pub(crate) fn millis(time: Micros) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Logs a refused or failed request.
pub(crate) fn refused(
    (request, account): (&str, Option<&str>),
    refusal: &Refusal,
    status: u16,
    elapsed: Micros,
) {
    let (code, ran) = (refusal.code, refusal.ran);
    let retry_after_ms = refusal.retry_after.map(millis);
    let held_ms = millis(elapsed);
    tracing::warn!(decision = "refused", request, account, %code, status, %ran, retry_after_ms, held_ms);
}

/// Logs a response that was returned completely.
///
/// `kept_for` is empty, or the code for which an earlier error response was returned.
pub(crate) fn answered(
    (request, account): (&str, Option<&str>),
    backend: &str,
    status: u16,
    elapsed: Micros,
    timing: StreamTiming,
    kept_for: &str,
) {
    let (held_ms, events) = (millis(elapsed), timing.events);
    let (first_ms, longest_pause_ms) = (millis(timing.first), millis(timing.longest_pause));
    tracing::info!(
        decision = "answered",
        request,
        account,
        %backend,
        status,
        held_ms,
        events,
        first_ms,
        longest_pause_ms,
        kept_for
    );
}

/// Logs a response that ended early after part of it was forwarded.
pub(crate) fn broken_off(
    (request, account): (&str, Option<&str>),
    reason: &str,
    code: Code,
    elapsed: Micros,
    timing: StreamTiming,
) {
    let (held_ms, events) = (millis(elapsed), timing.events);
    let (first_ms, longest_pause_ms) = (millis(timing.first), millis(timing.longest_pause));
    tracing::warn!(
        decision = "broken_off",
        request,
        account,
        reason,
        %code,
        held_ms,
        events,
        first_ms,
        longest_pause_ms
    );
}

/// Logs a request whose caller disconnected before its end.
pub(crate) fn cancelled(
    (request, account): (&str, Option<&str>),
    (model, adapter): (&str, &str),
    attempts: u8,
    progress: &str,
    elapsed: Micros,
) {
    let held_ms = millis(elapsed);
    tracing::info!(
        decision = "cancelled",
        request,
        account,
        model,
        adapter,
        attempts,
        progress,
        held_ms
    );
}

/// Logs a request that ended by an error or the end of the host.
pub(crate) fn failed(request: &str, reason: &str, elapsed: Micros) {
    let held_ms = millis(elapsed);
    tracing::error!(decision = "failed", request, reason, held_ms);
}
