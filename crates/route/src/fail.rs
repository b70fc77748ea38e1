//! Failed attempts: retry within the budget, or refusal.

use types::{Code, Deadline, Instant, Micros, RequestId, RetryReason};

use crate::{
    backend::LeavingBy,
    event::{Action, Failure, Liveness},
    flight::{Flight, Phase},
    router::{Router, Scope},
};

/// Time for which a backend server that could not be reached gets no work; it doubles with each
/// further failure up to a bound.
const SHUN_UNREACHABLE: Micros = Micros::from_millis(500);
const MAX_SHUN_DOUBLINGS: u8 = 2;
/// Time for which a backend server that refused a request gets no work.
const SHUN_REFUSING: Micros = Micros::from_millis(100);
/// Refusals by backend servers after which a request is not offered to another one.
const MAX_REFUSALS: u8 = 2;

impl Router {
    pub(crate) fn failed(
        &mut self,
        now: Instant,
        id: RequestId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.flights.find(id) else {
            return;
        };
        let Some(flight) = self.flights.get(slot) else {
            return;
        };
        let phase = flight.phase;
        if phase == Phase::Queued {
            return;
        }
        if failure.reason == RetryReason::Crash {
            self.crash_seen(now, slot, out);
        }
        let backend = self.release(now, slot, failure.may_have_run);
        if let Some(backend) = backend {
            self.blame(now, backend, slot, failure.reason);
        }
        self.settle(now, slot, backend, failure, out);
        if let Some(backend) = backend {
            self.pump(now, Scope::Backend(backend), out);
        }
    }

    /// Learns from the failure what the backend server can't do now.
    fn blame(&mut self, now: Instant, backend: u32, slot: u32, reason: RetryReason) {
        let Some(b) = self.backends.get_mut(backend as usize) else {
            return;
        };
        let failed = !matches!(
            reason,
            RetryReason::Leaving | RetryReason::NotResident | RetryReason::Refused
        );
        b.note_attempt(failed, now);
        if !failed {
            b.heard = now;
        }
        match reason {
            RetryReason::Unreachable => {
                let time = Micros::new(SHUN_UNREACHABLE.get() << b.unreachable);
                b.shunned = Deadline::after(now, time);
                b.unreachable = (b.unreachable + 1).min(MAX_SHUN_DOUBLINGS);
            }
            RetryReason::Refused => b.shunned = Deadline::after(now, SHUN_REFUSING),
            RetryReason::Leaving => b.leave(LeavingBy::Server),
            RetryReason::NotResident => self.forget_resident(backend, slot),
            _ => {}
        }
    }

    /// Drops what the backend server turned out not to hold until its next report.
    fn forget_resident(&mut self, backend: u32, slot: u32) {
        let Some(flight) = self.flights.get(slot) else {
            return;
        };
        let (model, adapter) = (flight.model, flight.adapter);
        let b = &mut self.backends[backend as usize];
        let held = adapter.and_then(|a| b.adapters.binary_search(&a).ok());
        if let Some(at) = held {
            b.adapters.remove(at);
        } else if let Some(model) = model {
            b.residents.retain(|r| r.model != model);
            self.holders[usize::from(model)].retain(|&h| h != backend);
        }
    }

    /// Decides between a retry and a refusal.
    fn settle(
        &mut self,
        now: Instant,
        slot: u32,
        backend: Option<u32>,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let most = self.cfg.max_attempts;
        let at_most_once = self.cfg.at_most_once;
        let Some(flight) = self.flights.get_mut(slot) else {
            return;
        };
        flight.runs += u8::from(failure.may_have_run);
        // A route bounds the servers that run a request; a refusal is no run.
        let tries_left = match flight.ticket.options.max_attempts {
            Some(runs) => flight.runs < runs && flight.attempts < runs.saturating_add(MAX_REFUSALS),
            None => flight.attempts < most,
        };
        flight.may_have_run |= failure.may_have_run;
        flight.as_suspect = false;
        let forwarded = if let Phase::Forwarded { dc } = flight.phase {
            flight.tried_dcs.push(dc);
            true
        } else {
            false
        };
        flight.tried.extend(backend);
        let repeatable = flight.ticket.idempotent || !flight.may_have_run || !at_most_once;
        if failure.answered && !failure.resumes {
            return self.refuse(slot, Code::StreamInterrupted, None, out);
        }
        if flight.withdrawn && repeatable {
            return self.refuse(slot, Code::UnknownModel, None, out);
        }
        if !repeatable {
            let code = outcome(flight, failure.reason, forwarded);
            return self.refuse(slot, code, None, out);
        }
        let in_time = !flight.ticket.deadline.is_past(now) && tries_left;
        let free = !failure.may_have_run
            && self.cfg.retry_limits.is_none()
            && (forwarded
                || matches!(
                    failure.reason,
                    RetryReason::Leaving | RetryReason::NotResident
                ));
        let unsent = failure.reason == RetryReason::Unreachable && !failure.may_have_run;
        let free = free || (unsent && self.cfg.retry_limits.is_some());
        if !in_time || !(free || self.covered(now, slot)) {
            let code = self
                .flights
                .get(slot)
                .map_or(Code::Internal, |f| outcome(f, failure.reason, forwarded));
            let after = code
                .may_resend()
                .then(|| self.retry_after_failure(now, slot));
            return self.refuse(slot, code, after.flatten(), out);
        }
        if let Some(flight) = self.flights.get_mut(slot) {
            flight.retry = Some(failure.reason);
        }
        self.enqueue(now, slot, out);
    }

    /// Takes a retry from the budget.
    ///
    /// A refusal by a leaving server, for a missing model or by another data centre costs no server
    /// any work and is not charged; the number of attempts and the deadline bound it.
    fn covered(&mut self, now: Instant, slot: u32) -> bool {
        if !self.cfg.retry_budget || self.take_retry(now, slot) {
            return true;
        }
        self.counts.retries_denied += 1;
        false
    }

    fn take_retry(&mut self, now: Instant, slot: u32) -> bool {
        let Some(limits) = self.cfg.retry_limits else {
            return self.budget.take();
        };
        let started = self.started.unwrap_or(now);
        let service = self.flights.get(slot).map(|f| usize::from(f.service));
        let window = service.and_then(|s| self.retry_windows.get_mut(s));
        window.is_some_and(|w| w.take(now, started, &limits))
    }

    /// Counts the first dispatch of a request for the retry budget.
    pub(crate) fn count_first(&mut self, now: Instant, slot: u32) {
        let Some(limits) = self.cfg.retry_limits else {
            return;
        };
        let service = self.flights.get(slot).map(|f| usize::from(f.service));
        if let Some(window) = service.and_then(|s| self.retry_windows.get_mut(s)) {
            window.first(now, &limits);
        }
    }

    /// Refuses suspects whose question for a slot got no answer.
    pub(crate) fn expire_asks(&mut self, now: Instant, out: &mut Vec<Action>) {
        for slot in self.flights.slots() {
            let expired = self.flights.get(slot).is_some_and(|f| match f.phase {
                Phase::Asking { until, .. } => until.is_past(now),
                _ => false,
            });
            if expired {
                self.release(now, slot, false);
                self.refuse(slot, Code::SuspectNotAdmitted, None, out);
            }
        }
    }

    /// Drops a backend server that a peer or the platform says is gone from the candidates.
    pub(crate) fn set_dead(&mut self, backend: u32) {
        let b = &mut self.backends[backend as usize];
        b.liveness = Liveness::Dead;
        b.others = 0;
        b.measured_total = 0;
    }
}

/// Returns the code of a request that is not retried.
fn outcome(flight: &Flight, reason: RetryReason, forwarded: bool) -> Code {
    if flight.may_have_run {
        return match reason {
            _ if forwarded => Code::ForwardFailed,
            RetryReason::Crash => Code::BackendCrashed,
            RetryReason::Mismatch => Code::AnswerMismatch,
            RetryReason::Truncated => Code::AnswerTruncated,
            RetryReason::Resume => Code::StreamInterrupted,
            RetryReason::Cut => Code::ConnectionCut,
            _ if flight.ticket.idempotent => Code::RetriesExhausted,
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
