//! Failed attempts: retry within the budget, or refusal.

use types::{Code, Deadline, Instant, Micros, RequestId, RetryReason};

use crate::{
    backend::LeavingBy,
    event::{Action, Failure, Liveness},
    requests::{Phase, RequestEntry},
    router::{Router, Scope},
};

/// Cooldown of a backend server that could not be reached; it doubles with each consecutive
/// failure, at most [`MAX_COOLDOWN_DOUBLINGS`] times.
const UNREACHABLE_COOLDOWN: Micros = Micros::from_millis(500);
const MAX_COOLDOWN_DOUBLINGS: u8 = 2;
/// Cooldown of a backend server that refused a request.
const REFUSAL_COOLDOWN: Micros = Micros::from_millis(100);
/// Number of refusals by backend servers after which a request is not retried.
const MAX_REFUSALS: u8 = 2;

impl Router {
    pub(crate) fn failed(
        &mut self,
        now: Instant,
        id: RequestId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let phase = entry.phase;
        if phase == Phase::Queued {
            return;
        }
        if failure.reason == RetryReason::Crash {
            self.record_crash_failure(now, slot, phase, out);
        }
        self.release_stalled(now, slot);
        let backend = self.release(now, slot, failure.may_have_run);
        self.record_break(phase, failure.reason);
        if let Some(backend) = backend {
            self.record_failure(now, backend, slot, failure.reason);
        }
        if let (Some(backend), Some(entry)) = (backend, self.requests.get_mut(slot)) {
            entry.add_tried(backend, failure.may_have_run);
        }
        self.retry_or_refuse(now, slot, failure, out);
        if let Some(backend) = backend {
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    /// Updates the state of a backend server after a failed attempt.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        backend: u32,
        slot: u32,
        reason: RetryReason,
    ) {
        let Some(b) = self.backends.get_mut(backend as usize) else {
            return;
        };
        let failed = !matches!(
            reason,
            RetryReason::Leaving | RetryReason::NotResident | RetryReason::Refused
        );
        b.record_attempt(failed, now);
        if !failed {
            b.record_response(now);
        }
        match reason {
            RetryReason::Unreachable => {
                let time = Micros::new(UNREACHABLE_COOLDOWN.get() << b.unreachable);
                b.cooldown_until = Deadline::after(now, time);
                b.unreachable = (b.unreachable + 1).min(MAX_COOLDOWN_DOUBLINGS);
            }
            RetryReason::Refused => b.cooldown_until = Deadline::after(now, REFUSAL_COOLDOWN),
            RetryReason::Leaving => b.set_leaving(LeavingBy::Server),
            RetryReason::ConnectionLost => b.lost_response = Some(now),
            RetryReason::NotResident => self.forget_resident(backend, slot),
            _ => {}
        }
        if failed {
            self.record_failed_probe(now, backend);
        }
    }

    /// Removes the missing model or adapter from the state of a backend server until its next
    /// report.
    fn forget_resident(&mut self, backend: u32, slot: u32) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let (model, adapter) = (entry.model, entry.adapter);
        let b = &mut self.backends[backend as usize];
        let held = adapter.and_then(|a| b.adapters.binary_search(&a).ok());
        if let Some(at) = held {
            b.adapters.remove(at);
        } else if let Some(model) = model {
            b.residents.retain(|r| r.model != model);
            self.holders[usize::from(model)].retain(|&h| h != backend);
        }
    }

    /// Retries a failed request or refuses it.
    fn retry_or_refuse(
        &mut self,
        now: Instant,
        slot: u32,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let at_most_once = self.cfg.at_most_once;
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.may_have_run |= failure.may_have_run;
        entry.as_suspect = false;
        let forwarded = if let Phase::Forwarded { dc } = entry.phase {
            entry.tried_dcs.push(dc);
            true
        } else {
            false
        };
        let repeatable = entry.request.idempotent || !entry.may_have_run || !at_most_once;
        if failure.answered && !failure.resumes {
            return self.refuse(slot, Code::StreamInterrupted, None, out);
        }
        if let Some(code) = entry.withdrawn.filter(|_| repeatable) {
            return self.refuse_withdrawn(slot, code, out);
        }
        if !repeatable {
            let code = final_code(entry, failure.reason, forwarded);
            return self.refuse(slot, code, None, out);
        }
        let expired = entry.request.deadline.is_past(now);
        // A silent server may be sound, so it gets the request again before the request is given up.
        let has_tries_left = self
            .requests
            .get(slot)
            .is_some_and(|e| self.has_tries_left(e));
        if !has_tries_left && let Some(entry) = self.requests.get_mut(slot) {
            entry.forget_silent();
        }
        let entry = self.requests.get(slot);
        let in_time = !expired && entry.is_some_and(|e| self.has_tries_left(e));
        let exempt = !failure.may_have_run
            && self.cfg.retry_limits.is_none()
            && (forwarded
                || matches!(
                    failure.reason,
                    RetryReason::Leaving | RetryReason::NotResident
                ));
        let not_sent = failure.reason == RetryReason::Unreachable && !failure.may_have_run;
        let exempt = exempt || (not_sent && self.cfg.retry_limits.is_some());
        if !in_time || !(exempt || self.retry_allowed(now, slot)) {
            let code = self
                .requests
                .get(slot)
                .map_or(Code::Internal, |f| final_code(f, failure.reason, forwarded));
            let after = code
                .is_retryable()
                .then(|| self.retry_after_failure(now, slot));
            return self.refuse(slot, code, after.flatten(), out);
        }
        if let Some(entry) = self.requests.get_mut(slot) {
            entry.retry = Some(failure.reason);
        }
        self.enqueue(now, slot, out);
    }

    /// Returns whether a request may be sent once more.
    pub(crate) fn has_tries_left(&self, entry: &RequestEntry) -> bool {
        // A route limits the servers that run a request; a refusal is not a run.
        let Some(max) = entry.request.options.max_attempts else {
            return entry.attempts < self.cfg.max_attempts;
        };
        let again = |backend: &u32| !entry.is_tried(*backend);
        let has_server = entry.ran.len() < usize::from(max) || entry.ran.iter().any(again);
        has_server && entry.attempts < max.saturating_add(MAX_REFUSALS)
    }

    /// Returns whether the retry budget allows a retry, and charges it.
    ///
    /// A refusal by a leaving server, for a missing model or by another data centre costs no server
    /// any work and is not charged; the attempt limit and the deadline bound such retries.
    pub(crate) fn retry_allowed(&mut self, now: Instant, slot: u32) -> bool {
        if !self.cfg.retry_budget || self.take_from_budget(now, slot) {
            return true;
        }
        self.counts.retries_denied += 1;
        false
    }

    fn take_from_budget(&mut self, now: Instant, slot: u32) -> bool {
        let Some(limits) = self.cfg.retry_limits else {
            return self.budget.take();
        };
        let started = self.started.unwrap_or(now);
        let service = self.requests.get(slot).map(|f| usize::from(f.service));
        let window = service.and_then(|s| self.retry_windows.get_mut(s));
        window.is_some_and(|w| w.take(now, started, &limits))
    }

    /// Adds the first dispatch of a request to the retry window.
    pub(crate) fn record_first_attempt(&mut self, now: Instant, slot: u32) {
        let Some(limits) = self.cfg.retry_limits else {
            return;
        };
        let service = self.requests.get(slot).map(|f| usize::from(f.service));
        if let Some(window) = service.and_then(|s| self.retry_windows.get_mut(s)) {
            window.record_first(now, &limits);
        }
    }

    /// Refuses suspects whose slot request timed out.
    pub(crate) fn expire_slot_requests(&mut self, now: Instant, out: &mut Vec<Action>) {
        for slot in self.requests.slots() {
            let expired = self.requests.get(slot).is_some_and(|f| match f.phase {
                Phase::AwaitingSlot { until, .. } => until.is_past(now),
                _ => false,
            });
            if expired {
                self.release(now, slot, false);
                self.refuse(slot, Code::SuspectNotAdmitted, None, out);
            }
        }
    }

    /// Marks a backend server as dead because a peer or the platform reports it so.
    pub(crate) fn set_dead(&mut self, backend: u32) {
        let b = &mut self.backends[backend as usize];
        b.liveness = Liveness::Dead;
        b.others = 0;
        b.measured_total = 0;
    }
}

/// Returns the result code of a request that is not retried.
fn final_code(entry: &RequestEntry, reason: RetryReason, forwarded: bool) -> Code {
    if entry.may_have_run {
        return match reason {
            _ if forwarded => Code::ForwardFailed,
            RetryReason::Crash => Code::BackendCrashed,
            RetryReason::Mismatch => Code::AnswerMismatch,
            RetryReason::Truncated => Code::AnswerTruncated,
            RetryReason::Resume => Code::StreamInterrupted,
            RetryReason::ConnectionLost => Code::ConnectionCut,
            _ if entry.request.idempotent => Code::RetriesExhausted,
            _ => Code::ConnectionCut,
        };
    }
    match reason {
        RetryReason::NotResident => Code::NotResident,
        RetryReason::Leaving => Code::NoBackend,
        RetryReason::Refused => Code::BackendRefused,
        _ => Code::Unreachable,
    }
}
