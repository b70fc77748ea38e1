//! Takeover of a request from a backend server that has stalled.
//!
//! A server that falls silent may still go on, so its attempt ends only once another server has begun
//! to respond. Until then the request counts at both servers.

use types::{Instant, RequestId, RetryReason};

use crate::{
    choose::{Estimate, Selection},
    event::{Action, Failure},
    requests::{Phase, RequestEntry, ResponseProgress},
    router::{AbandonedRequest, Router, Scope},
};

/// Failure of a stalled server whose request another server has taken over.
const SILENT: Failure = Failure {
    reason: RetryReason::Silent,
    may_have_run: true,
    answered: false,
    resumes: false,
};

/// Attempt that goes on at a stalled server while another server is tried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StalledAttempt {
    pub phase: Phase,
    pub dispatched: Instant,
    pub baseline: f32,
    pub expected: f32,
    pub response: ResponseProgress,
}

impl StalledAttempt {
    /// Returns the backend server that the attempt was sent to.
    pub(crate) fn backend(&self) -> Option<u32> {
        match self.phase {
            Phase::Running { backend, .. } => Some(backend),
            _ => None,
        }
    }
}

impl Router {
    /// Sends a stalled request to another server, if one can take it now. Its attempt goes on.
    pub(crate) fn stalled(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Phase::Running { backend, .. } = entry.phase else {
            return;
        };
        if !self.may_take_over(now, backend, entry) {
            return;
        }
        let deadline = entry.request.deadline;
        let Some((other, estimate)) = self.select_other(now, slot, backend) else {
            return;
        };
        if self.misses_deadline(deadline, estimate.completion, now)
            || !self.retry_allowed(now, slot)
        {
            return;
        }
        self.remove_pending_prefill(slot, backend);
        if let Some(entry) = self.requests.get_mut(slot) {
            entry.stalled = Some(StalledAttempt {
                phase: entry.phase,
                dispatched: entry.dispatched,
                baseline: entry.baseline,
                expected: entry.expected,
                response: entry.response,
            });
            entry.retry = Some(RetryReason::Silent);
        }
        self.dispatch(now, slot, other, estimate, out);
    }

    fn may_take_over(&self, now: Instant, backend: u32, entry: &RequestEntry) -> bool {
        let suspect = entry.as_suspect
            || self.suspect_state(&entry.request, now).is_some()
            || self.blocked_suspect(&entry.request).is_some();
        let may_run_elsewhere = entry.request.options.max_attempts.is_none_or(|max| {
            let others = entry.ran.iter().filter(|b| **b != backend);
            others.clone().count() + 1 < usize::from(max)
                || others.clone().any(|b| !entry.is_tried(*b))
        });
        entry.stalled.is_none()
            && !suspect
            && entry.withdrawn.is_none()
            && entry.request.idempotent
            && !entry.request.deadline.is_past(now)
            && may_run_elsewhere
            && self.has_tries_left(entry)
    }

    /// Selects a server besides the one that runs the request.
    fn select_other(&mut self, now: Instant, slot: u32, backend: u32) -> Option<(u32, Estimate)> {
        let entry = self.requests.get_mut(slot)?;
        let (ran, tried) = (entry.ran.clone(), entry.tried.clone());
        entry.add_tried(backend, true);
        let selection = self.select(slot, now, false);
        let entry = self.requests.get_mut(slot)?;
        (entry.ran, entry.tried) = (ran, tried);
        match selection {
            Selection::Available { backend, estimate } => Some((backend, estimate)),
            _ => None,
        }
    }

    /// Ends the attempt at the stalled server.
    ///
    /// `failure` is `None` if the other server has begun to respond, or that of the stalled attempt.
    pub(crate) fn taken_over(
        &mut self,
        now: Instant,
        id: RequestId,
        failure: Option<Failure>,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let Some(stalled) = self.requests.get(slot).and_then(|entry| entry.stalled) else {
            return;
        };
        let is_silent = failure.is_none();
        let failure = failure.unwrap_or(SILENT);
        if failure.reason == RetryReason::Crash {
            self.record_crash_failure(now, slot, stalled.phase, out);
        }
        let Some(backend) = self.release_stalled(now, slot) else {
            return;
        };
        self.record_break(stalled.phase, failure.reason);
        self.record_failure(now, backend, slot, failure.reason);
        if let Some(entry) = self.requests.get_mut(slot) {
            if is_silent {
                entry.add_silent(backend);
            } else {
                entry.add_tried(backend, failure.may_have_run);
            }
            entry.may_have_run |= failure.may_have_run;
        }
        self.dispatch_queued(now, Scope::Backend(backend), out);
    }

    /// Ends the attempt at the other server; the one at the stalled server goes on.
    ///
    /// `failure` is `None` if the stalled server went on before the other one responded.
    pub(crate) fn takeover_failed(
        &mut self,
        now: Instant,
        id: RequestId,
        failure: Option<Failure>,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        if self.requests.get(slot).is_none_or(|e| e.stalled.is_none()) {
            return;
        }
        let Some(phase) = self.requests.get(slot).map(|e| e.phase) else {
            return;
        };
        if failure.is_some_and(|f| f.reason == RetryReason::Crash) {
            self.record_crash_failure(now, slot, phase, out);
        }
        let may_have_run = failure.is_none_or(|f| f.may_have_run);
        let backend = self.release(now, slot, may_have_run);
        if let Some(failure) = failure {
            self.record_break(phase, failure.reason);
        }
        if let (Some(backend), Some(failure)) = (backend, failure) {
            self.record_failure(now, backend, slot, failure.reason);
        }
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        match (backend, failure) {
            (Some(backend), Some(failure)) => entry.add_tried(backend, failure.may_have_run),
            // A server whose attempt was cancelled did not fail and may be tried again.
            (Some(backend), None) => entry.add_run(backend),
            (None, _) => {}
        }
        entry.may_have_run |= may_have_run;
        if !may_have_run {
            // A refused takeover leaves the attempts for failures of the server that goes on.
            entry.attempts = entry.attempts.saturating_sub(1);
        }
        if let Some(stalled) = entry.stalled.take() {
            entry.phase = stalled.phase;
            entry.dispatched = stalled.dispatched;
            entry.baseline = stalled.baseline;
            entry.expected = stalled.expected;
            entry.response = stalled.response;
        }
        if let Some(backend) = backend {
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    /// Removes the attempt at a stalled server, which may still run the request. Returns the server.
    pub(crate) fn release_stalled(&mut self, now: Instant, slot: u32) -> Option<u32> {
        let stalled = self.requests.get_mut(slot)?.stalled.take()?;
        let backend = stalled.backend()?;
        let entry = self.requests.get(slot)?;
        let abandoned =
            self.abandoned_attempt(now, entry, stalled.phase, stalled.response.is_sustained)?;
        self.abandoned.push(AbandonedRequest {
            as_suspect: false,
            ..abandoned
        });
        self.backends.get_mut(backend as usize)?.remove_own(now);
        Some(backend)
    }
}
