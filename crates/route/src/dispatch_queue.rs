//! Dispatch of queued requests in queue order.

use types::{Code, Deadline, Instant};

use crate::{
    choose::Selection,
    crash::blocking::SuspectAdmission,
    crash::suspect::SuspectState,
    event::Action,
    queue::Rank,
    requests::Phase,
    retry_after::RETRY_AFTER,
    router::{Router, Scope},
};

/// Load of another data centre below which it gets requests that cannot be served here in time.
const MAX_FORWARD_LOAD: f64 = 0.8;
/// Load of another data centre below which it gets requests that would have to queue here.
const MAX_OVERFLOW_LOAD: f64 = 0.5;

/// Result of an attempt to dispatch a queued request.
pub(crate) enum OfferOutcome {
    /// The request left the queue.
    Dequeued,
    /// The request stays queued and blocks all later requests for the same model.
    Blocked,
    /// The request stays queued for a reason of its own and blocks no other.
    Waiting,
}

impl Router {
    /// Queues a request and dispatches the queued requests of its model or service in queue order.
    pub(crate) fn enqueue(&mut self, now: Instant, slot: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::Queued;
        let (rank, model, service) = (entry.rank, entry.model, entry.service);
        self.queue.insert(rank, slot);
        self.count_waiting(model, true);
        self.dispatch_queued(
            now,
            model.map_or(Scope::Service(service), Scope::Model),
            out,
        );
        self.enforce_queue_limit(out);
    }

    /// Refuses the requests of lowest rank that exceed the configured queue length.
    fn enforce_queue_limit(&mut self, out: &mut Vec<Action>) {
        let bound = self
            .names
            .as_ref()
            .map_or(0, |n| n.deployment().limits.queue as usize);
        while self.queue.len() > bound {
            let Some((rank, slot)) = self.queue.last() else {
                return;
            };
            self.dequeue(rank, slot);
            self.record_starved(rank);
            self.refuse(slot, Code::QueueFull, Some(RETRY_AFTER), out);
        }
    }

    pub(crate) fn dequeue(&mut self, rank: Rank, slot: u32) {
        if self.queue.remove(rank) {
            let model = self.requests.get(slot).and_then(|f| f.model);
            self.count_waiting(model, false);
        }
    }

    /// Counts a request that leaves the queue unserved after a later request of better priority was
    /// served.
    fn record_starved(&mut self, rank: Rank) {
        let mut better = self.served.iter().take_while(|s| s.0 < rank.priority);
        if better.any(|s| s.1 > rank.seq) {
            self.counts.starved += 1;
        }
    }

    /// Tries to dispatch the queued requests of a scope in queue order.
    pub(crate) fn dispatch_queued(&mut self, now: Instant, scope: Scope, out: &mut Vec<Action>) {
        let mut blocked: Vec<(u16, Option<u16>)> = Vec::new();
        let mut at = 0;
        while let Some((rank, slot)) = self.queue.get(at) {
            let key = self.requests.get(slot).map(|f| (f.service, f.model));
            let Some(key) = key.filter(|k| self.in_scope(scope, *k) && !blocked.contains(k)) else {
                at += 1;
                continue;
            };
            match self.try_dispatch(now, rank, slot, out) {
                // Removal shifted the next request to this index.
                OfferOutcome::Dequeued => {}
                OfferOutcome::Blocked => {
                    blocked.push(key);
                    at += 1;
                }
                OfferOutcome::Waiting => at += 1,
            }
        }
    }

    fn in_scope(&self, scope: Scope, (service, model): (u16, Option<u16>)) -> bool {
        match scope {
            Scope::All => true,
            Scope::Model(m) => model == Some(m),
            Scope::Service(s) => model.is_none() && service == s,
            Scope::Backend(b) => self.backends.get(b as usize).is_some_and(|b| {
                b.service == service && model.is_none_or(|m| b.resident(m).is_some())
            }),
        }
    }

    fn try_dispatch(
        &mut self,
        now: Instant,
        rank: Rank,
        slot: u32,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let Some(entry) = self.requests.get(slot) else {
            return OfferOutcome::Waiting;
        };
        let state = self.suspect_state(&entry.request, now);
        let deadline = entry.request.deadline;
        if state == Some(SuspectState::Confirmed) {
            return self.refuse_queued(now, rank, slot, Code::CrashingRequest, out);
        }
        if deadline.is_past(now) {
            return self.refuse_queued(now, rank, slot, Code::DeadlineUnreachable, out);
        }
        let admission = self.suspect_admission(now, entry);
        if let SuspectAdmission::Refused(code) = admission {
            return self.refuse_queued(now, rank, slot, code, out);
        }
        let suspect = state.is_some() && self.cfg.suspect_slots;
        if suspect && (!entry.not_before.is_past(now) || self.has_active_duplicate(slot)) {
            return OfferOutcome::Waiting;
        }
        match self.select(slot, now, suspect) {
            Selection::Available { backend, estimate } => {
                if self.begins_too_late(slot, estimate.first_byte, now)
                    || self.misses_deadline(deadline, estimate.completion, now)
                {
                    return self.forward_or_refuse(now, rank, slot, Code::DeadlineUnreachable, out);
                }
                match admission {
                    SuspectAdmission::NeedsTrial(suspect) => {
                        self.request_trial(now, slot, suspect, out);
                        return OfferOutcome::Waiting;
                    }
                    SuspectAdmission::AwaitsTrial => return OfferOutcome::Waiting,
                    SuspectAdmission::Admitted | SuspectAdmission::Refused(_) => {}
                }
                self.request_replica(now, slot, estimate.first_byte, out);
                self.dequeue(rank, slot);
                if suspect {
                    self.request_slot(now, slot, backend, estimate.baseline, out);
                } else {
                    self.dispatch(now, slot, backend, estimate, out);
                }
                OfferOutcome::Dequeued
            }
            Selection::Full { seconds } if self.misses_deadline(deadline, seconds, now) => {
                self.forward_or_refuse(now, rank, slot, Code::DeadlineUnreachable, out)
            }
            Selection::Full { .. } if suspect => OfferOutcome::Waiting,
            Selection::Full { .. } => {
                if let Some(dc) = self.forward_target(now, slot, MAX_OVERFLOW_LOAD) {
                    self.dequeue(rank, slot);
                    self.forward(now, slot, dc, out);
                    return OfferOutcome::Dequeued;
                }
                OfferOutcome::Blocked
            }
            Selection::NoCandidate(code) => self.handle_no_candidate(now, rank, slot, code, out),
        }
    }

    /// Returns whether the caller of a request would leave before its response begins.
    ///
    /// Such a request would take the place of others at a loaded server without being served.
    fn begins_too_late(&self, slot: u32, first_byte: f64, now: Instant) -> bool {
        let entry = self.requests.get(slot);
        let by = entry.and_then(|entry| entry.request.options.first_byte_by);
        by.is_some_and(|by| self.misses_deadline(by, first_byte, now))
    }

    pub(crate) fn misses_deadline(&self, deadline: Deadline, seconds: f64, now: Instant) -> bool {
        let left = deadline.remaining(now).as_secs_f64();
        self.cfg.early_refusal && seconds * self.cfg.deadline_margin > left
    }

    pub(crate) fn refuse_queued(
        &mut self,
        now: Instant,
        rank: Rank,
        slot: u32,
        code: Code,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        self.dequeue(rank, slot);
        self.record_starved(rank);
        let retry_after = code.is_retryable().then(|| self.retry_after(now, slot));
        self.refuse(slot, code, retry_after, out);
        OfferOutcome::Dequeued
    }

    /// Forwards a request that would miss its deadline here to a data centre with spare capacity,
    /// or refuses it.
    fn forward_or_refuse(
        &mut self,
        now: Instant,
        rank: Rank,
        slot: u32,
        code: Code,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        if let Some(dc) = self.forward_target(now, slot, MAX_FORWARD_LOAD) {
            self.dequeue(rank, slot);
            self.forward(now, slot, dc, out);
            return OfferOutcome::Dequeued;
        }
        self.record_demand(now, slot, true);
        self.refuse_queued(now, rank, slot, code, out)
    }
}
