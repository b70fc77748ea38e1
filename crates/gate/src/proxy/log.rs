//! Log events of routing decisions.
//!
//! Each event has the fields `request`, with the caller's request id, and `decision`. The operator
//! documentation lists them.

use quota::LimitChange;
use route::{Failure, Suspect, Target, Verdict};
use types::{AdapterId, Announcement, BackendId, Micros, RetryReason};

use crate::{
    dispatcher::first_suspects,
    proxy::{inbound::Inbound, liveness::Destination},
    record::millis,
};

/// Returns the requested model and adapter, or empty strings.
fn target_names(inbound: &Inbound) -> (&str, &str) {
    match &inbound.ticket.target {
        Target::Plain => ("", ""),
        Target::Model { model, adapter } => (
            model.as_str(),
            adapter.as_ref().map_or("", AdapterId::as_str),
        ),
    }
}

/// Logs the dispatch of a request to a backend server.
pub(crate) fn dispatched(
    inbound: &Inbound,
    backend: &BackendId,
    retry: Option<RetryReason>,
    waited: Micros,
    first_byte: Micros,
) {
    let request = inbound.info.id.as_str();
    let service = &inbound.ticket.service;
    let (model, adapter) = target_names(inbound);
    let retry = retry.map_or("", RetryReason::label);
    let (waited_ms, expected_ms) = (millis(waited), millis(first_byte));
    tracing::info!(
        decision = "sent", request, %service, model, adapter, %backend, retry, waited_ms,
        expected_ms, prompt_tokens = inbound.ticket.prompt_tokens
    );
}

/// Logs that an account reached its quota or is below it again.
pub(crate) fn account_limit(change: &LimitChange) {
    let (account, limited, view) = (&change.account, change.limited, change.view);
    let age_ms = millis(view.age);
    tracing::info!(
        belief = "account", %account, limited, used = view.used, allowed = view.allowed,
        asked_per_second = view.asked_per_second, age_ms, isolated = view.isolated,
        "quota of an account"
    );
}

/// Logs a failed attempt.
pub(crate) fn attempt_failed(request: &str, backend: &BackendId, failure: Failure, attempt: u8) {
    let reason = failure.reason.label();
    let may_have_run = failure.may_have_run;
    tracing::warn!(decision = "attempt_failed", request, %backend, reason, may_have_run, attempt);
}

/// Logs the blocked suspect because of which a request is not sent.
pub(crate) fn blocked(request: &str, suspect: Suspect, verdict: Verdict) {
    tracing::info!(decision = "blocked", request, %suspect, ?verdict);
}

/// Logs and counts a response that removes crashes from the evidence against suspects.
pub(crate) fn answered_suspects(request: &str, backend: &BackendId, suspects: &[Suspect]) {
    metrics::counter!("celerytally_suspect_responses_total").increment(1);
    let suspects = first_suspects(suspects);
    tracing::info!(belief = "suspect", request, %backend, suspects, "suspects answered");
}

/// Logs an attempt that was cancelled because a stalled server went on before it responded.
pub(crate) fn attempt_cancelled(request: &str, backend: &BackendId, attempt: u8) {
    tracing::info!(decision = "attempt_cancelled", request, %backend, attempt);
}

/// Logs the status of a server whose connection ended within a response.
pub(crate) fn connection_ended(destination: &Destination, status: &str) {
    let (request, backend) = (&destination.request, &destination.server.id);
    let life = destination.incarnation.map(|i| i.to_string());
    tracing::info!(
        belief = "backend", request, %backend, life, judgement = status, "connection ended"
    );
}

/// Logs the first announcement of a backend server that it leaves.
pub(crate) fn leaving(announcement: &Announcement) {
    let (backend, source) = (&announcement.backend, &announcement.source);
    let life = announcement.incarnation.map(|i| i.to_string());
    tracing::info!(belief = "backend", %backend, life, leaving = true, %source, "announced");
}

/// Logs an announcement of a time for which a backend server wants no requests.
pub(crate) fn held_off(announcement: &Announcement, time: Micros) {
    let (backend, source) = (&announcement.backend, &announcement.source);
    let hold_off_ms = millis(time);
    tracing::info!(belief = "backend", %backend, hold_off_ms, %source, "announced");
}
