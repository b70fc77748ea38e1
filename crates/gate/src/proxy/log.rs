//! Log lines of decisions that touch a request.
//!
//! Every line has the field `request` with the caller's id and the field `decision`; the page for
//! operators lists them.

use route::{Failure, Target};
use types::{AdapterId, BackendId, Micros, RetryReason};

use crate::{proxy::inbound::Inbound, refusal::Refusal};

fn millis(time: Micros) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the model and adapter that a request asks for, empty where it names none.
fn asked_for(inbound: &Inbound) -> (&str, &str) {
    match &inbound.ticket.target {
        Target::Plain => ("", ""),
        Target::Model { model, adapter } => (
            model.as_str(),
            adapter.as_ref().map_or("", AdapterId::as_str),
        ),
    }
}

/// A request was sent to a backend server.
pub(crate) fn dispatched(
    inbound: &Inbound,
    backend: &BackendId,
    retry: Option<RetryReason>,
    waited: Micros,
    first_byte: Micros,
) {
    let request = inbound.asked.id.as_str();
    let service = &inbound.ticket.service;
    let (model, adapter) = asked_for(inbound);
    let retry = retry.map_or("", RetryReason::label);
    let (waited_ms, expected_ms) = (millis(waited), millis(first_byte));
    tracing::info!(
        decision = "sent", request, %service, model, adapter, %backend, retry, waited_ms,
        expected_ms, prompt_tokens = inbound.ticket.prompt_tokens
    );
}

/// An attempt failed.
pub(crate) fn attempt_failed(request: &str, backend: &BackendId, failure: Failure, attempt: u8) {
    let reason = failure.reason.label();
    let may_have_run = failure.may_have_run;
    tracing::warn!(decision = "attempt_failed", request, %backend, reason, may_have_run, attempt);
}

/// A request was refused or failed.
pub(crate) fn refused(request: &str, refusal: &Refusal, status: u16, took: Micros) {
    let (code, ran) = (refusal.code, refusal.ran);
    let retry_after_ms = refusal.retry_after.map(millis);
    let held_ms = millis(took);
    tracing::warn!(decision = "refused", request, %code, status, %ran, retry_after_ms, held_ms);
}

/// When the events of a stream arrived; a response that came as a whole has none.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    pub(crate) events: u64,
    /// Time from the arrival of the request to the first event.
    pub(crate) first: Micros,
    /// Longest time between two events.
    pub(crate) longest_pause: Micros,
}

/// A response is complete.
pub(crate) fn answered(request: &str, backend: &str, status: u16, took: Micros, pace: Pace) {
    let (held_ms, events) = (millis(took), pace.events);
    let (first_ms, longest_pause_ms) = (millis(pace.first), millis(pace.longest_pause));
    tracing::info!(
        decision = "answered",
        request,
        backend,
        status,
        held_ms,
        events,
        first_ms,
        longest_pause_ms
    );
}

/// A response broke off after a part of it was passed on.
pub(crate) fn broken_off(request: &str, reason: &str, took: Micros, pace: Pace) {
    let (held_ms, events) = (millis(took), pace.events);
    let (first_ms, longest_pause_ms) = (millis(pace.first), millis(pace.longest_pause));
    tracing::warn!(
        decision = "broken_off",
        request,
        reason,
        held_ms,
        events,
        first_ms,
        longest_pause_ms
    );
}

/// The caller left before its request ended.
pub(crate) fn cancelled(inbound: &Inbound, attempts: u8, answered: bool, took: Micros) {
    let request = inbound.asked.id.as_str();
    let (model, adapter) = asked_for(inbound);
    let held_ms = millis(took);
    tracing::info!(
        decision = "cancelled",
        request,
        model,
        adapter,
        attempts,
        answered,
        held_ms
    );
}
