//! Admission of requests, the admission queue and dispatch to backend servers.

use rand::RngExt;
use types::{AdapterId, Code, Deadline, Instant, Micros, ModelId};

use crate::{
    blocking::SuspectAdmission,
    choose::{Estimate, Selection, request_work},
    event::{Action, RoutingRequest, SuspectState, Target},
    queue::Rank,
    requests::{Phase, RequestEntry},
    router::{Router, Scope},
    settings::LatencyMetric,
};

/// Retry-after time of a refusal, unless it is estimated.
const RETRY_AFTER: Micros = Micros::from_secs(1);
/// Bounds of an estimated retry-after time.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(200);
const MAX_RETRY_AFTER: Micros = Micros::from_secs(3);
/// Load of another data centre below which it gets requests that cannot be served here in time.
const MAX_FORWARD_LOAD: f64 = 0.8;
/// Initial backoff before a request is forwarded again to data centres that refused it.
const FORWARD_BACKOFF: Micros = Micros::from_millis(200);
/// Load of another data centre below which it gets requests that would have to queue here.
const MAX_OVERFLOW_LOAD: f64 = 0.5;

/// Result of an attempt to dispatch a queued request.
enum OfferOutcome {
    /// The request left the queue.
    Dequeued,
    /// The request stays queued and blocks all later requests for the same model.
    Blocked,
    /// The request stays queued for a reason of its own and blocks no other.
    Waiting,
}

impl Router {
    pub(crate) fn arrive(&mut self, now: Instant, request: RoutingRequest, out: &mut Vec<Action>) {
        if self.requests.find(request.id).is_some() {
            return;
        }
        self.counts.arrived += 1;
        let id = request.id;
        match self.admit(now, request) {
            Ok(slot) => self.enqueue(now, slot, out),
            Err(code) => {
                self.counts.refuse(code);
                let retry_after = code.is_retryable().then_some(RETRY_AFTER);
                out.push(Action::Refuse {
                    id,
                    code,
                    retry_after,
                });
            }
        }
    }

    /// Resolves the names in a request and adds it to the request table.
    fn admit(&mut self, now: Instant, request: RoutingRequest) -> Result<u32, Code> {
        let names = self.names.as_ref().ok_or(Code::NotReady)?;
        let service = names
            .service(&request.service)
            .ok_or(Code::UnknownService)?;
        let (model, adapter) = match &request.target {
            Target::Plain => (None, None),
            Target::Model { model, adapter } => {
                let model = names.model(model).ok_or(Code::UnknownModel)?;
                let adapter = adapter.as_ref().map(|a| names.adapter(a));
                (
                    Some(model),
                    adapter.map(|a| a.ok_or(Code::UnknownModel)).transpose()?,
                )
            }
        };
        if self.suspect_state(&request, now) == Some(SuspectState::Confirmed) {
            return Err(Code::CrashingRequest);
        }
        if let Some(code) = self.suspect_refusal(now, &request) {
            return Err(code);
        }
        if request.deadline.is_past(now) {
            return Err(Code::DeadlineUnreachable);
        }
        self.seq += 1;
        let rank = self.rank(&request);
        Ok(self.requests.insert(RequestEntry {
            service,
            model,
            adapter,
            rank,
            phase: Phase::Queued,
            stalled: None,
            attempts: 0,
            ran: Vec::new(),
            tried: Vec::new(),
            responds_since: None,
            may_have_run: false,
            retry: None,
            as_suspect: false,
            trial: None,
            withdrawn: None,
            no_forward: request.forwarded,
            forward_rounds: 0,
            tried_dcs: Vec::new(),
            denials: 0,
            not_before: Deadline::at(Instant::ZERO),
            dispatched: now,
            baseline: 0.0,
            expected: 0.0,
            prefill_seconds: 0.0,
            request,
        }))
    }

    fn rank(&self, request: &RoutingRequest) -> Rank {
        if self.cfg.ordered_queue {
            Rank {
                priority: request.priority,
                deadline: request.deadline,
                seq: self.seq,
            }
        } else {
            Rank {
                priority: config::Priority::default(),
                deadline: Deadline::NEVER,
                seq: self.seq,
            }
        }
    }

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

    fn dequeue(&mut self, rank: Rank, slot: u32) {
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
                if self.misses_deadline(deadline, estimate.completion, now) {
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

    pub(crate) fn misses_deadline(&self, deadline: Deadline, seconds: f64, now: Instant) -> bool {
        let left = deadline.remaining(now).as_secs_f64();
        self.cfg.early_refusal && seconds * self.cfg.deadline_margin > left
    }

    fn refuse_queued(
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

    /// Returns the time after which a request that is refused now may be served.
    ///
    /// It is the pending prefill time of the least loaded server, with random jitter so that
    /// callers who are refused together do not retry together.
    fn retry_after(&mut self, now: Instant, slot: u32) -> Micros {
        if self.cfg.latency_metric == LatencyMetric::Completion {
            return RETRY_AFTER;
        }
        let Some(entry) = self.requests.get(slot) else {
            return RETRY_AFTER;
        };
        let servers = match entry.model {
            Some(m) => &self.holders[usize::from(m)],
            None => &self.members[usize::from(entry.service)],
        };
        let backlog = |b: &u32| {
            let b = &self.backends[*b as usize];
            b.own_work + b.others_work
        };
        let live = servers
            .iter()
            .filter(|b| self.backends[**b as usize].takes_work(now));
        let held_off = servers.iter().filter_map(|b| {
            let until = self.backends[*b as usize].held_off_until;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "single precision suffices for an estimate"
            )]
            let seconds = until.remaining(now).as_secs_f64() as f32;
            (!until.is_past(now)).then_some(seconds)
        });
        let soonest = live
            .map(backlog)
            .chain(held_off)
            .fold(f32::INFINITY, f32::min);
        let load = self.cfg.load_on_demand.unwrap_or(RETRY_AFTER).as_secs_f64();
        let wait = if soonest.is_finite() {
            f64::from(soonest)
        } else {
            load
        };
        let spread = 1.0 + self.rng.random::<f64>();
        micros(wait * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the retry-after time of a request that failed on its servers, if it can be
    /// estimated.
    pub(crate) fn retry_after_failure(&mut self, now: Instant, slot: u32) -> Option<Micros> {
        let estimated = self.cfg.latency_metric == LatencyMetric::FirstToken;
        estimated.then(|| self.retry_after(now, slot))
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

    /// Handles a request that no backend server of this data centre can serve.
    fn handle_no_candidate(
        &mut self,
        now: Instant,
        rank: Rank,
        slot: u32,
        code: Code,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        if code == Code::NotResident && self.lacks_adapter_only(now, slot) {
            if self.is_placement_rejected(now, slot) {
                return self.refuse_queued(now, rank, slot, code, out);
            }
            if self.has_unreachable_holder(now, slot) {
                // The adapter is placed already, so that no placement would follow.
                self.request_reachable_replica(now, slot, out);
                self.record_demand(now, slot, true);
                return self.refuse_queued(now, rank, slot, code, out);
            }
            self.request_placement(now, slot, true, out);
            return OfferOutcome::Waiting;
        }
        if let Some(dc) = self.forward_target(now, slot, f64::INFINITY) {
            self.dequeue(rank, slot);
            self.forward(now, slot, dc, out);
            return OfferOutcome::Dequeued;
        }
        if code == Code::NotResident {
            if self.backs_off_forwarding(now, slot) {
                return OfferOutcome::Waiting;
            }
            if !self.is_placement_rejected(now, slot) {
                self.request_placement(now, slot, false, out);
            }
            if self.waits_for_load(now, slot) {
                return OfferOutcome::Waiting;
            }
        }
        self.record_demand(now, slot, true);
        let elsewhere = self
            .requests
            .get(slot)
            .is_some_and(|f| f.forward_rounds > 0);
        let code = if elsewhere {
            Code::DeadlineUnreachable
        } else {
            code
        };
        self.refuse_queued(now, rank, slot, code, out)
    }

    /// Returns whether a request should wait until its model is loaded.
    fn waits_for_load(&self, now: Instant, slot: u32) -> bool {
        let Some(load) = self.cfg.load_on_demand else {
            return false;
        };
        let entry = self.requests.get(slot);
        let in_time = entry.is_some_and(|f| f.request.deadline.remaining(now) > load);
        in_time && !self.is_placement_rejected(now, slot)
    }

    /// Returns whether the controller has recently rejected the placement that a request needs.
    fn is_placement_rejected(&self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get(slot) else {
            return false;
        };
        let same = |u: &(u16, Option<u16>, Deadline)| {
            Some(u.0) == entry.model && (u.1.is_none() || u.1 == entry.adapter)
        };
        self.rejected_placements
            .iter()
            .any(|u| same(u) && !u.2.is_past(now))
    }

    /// Refuses the queued requests for a model or adapter that the controller cannot place.
    pub(crate) fn placement_rejected(
        &mut self,
        now: Instant,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        out: &mut Vec<Action>,
    ) {
        let Some(names) = &self.names else {
            return;
        };
        let Some(model) = names.model(model) else {
            return;
        };
        let adapter = adapter.and_then(|a| names.adapter(a));
        let until = Deadline::after(now, self.cfg.placement_retry_interval);
        self.rejected_placements.push((model, adapter, until));
        self.dispatch_queued(now, Scope::Model(model), out);
    }

    /// Keeps a request queued after all data centres with its model have refused it for lack of
    /// capacity.
    ///
    /// The backoff doubles each time, which limits the repeated requests under overload.
    fn backs_off_forwarding(&mut self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get_mut(slot) else {
            return false;
        };
        if !entry.not_before.is_past(now) {
            return true;
        }
        let pause = Micros::new(FORWARD_BACKOFF.get() << entry.forward_rounds);
        let late = entry.request.deadline.remaining(now) <= pause;
        if entry.tried_dcs.is_empty() || entry.may_have_run || late {
            return false;
        }
        entry.forward_rounds += 1;
        entry.tried_dcs.clear();
        entry.not_before = Deadline::after(now, pause);
        true
    }

    /// Returns whether only the adapter is missing; adapters load within milliseconds, so the
    /// request can wait.
    fn lacks_adapter_only(&self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get(slot) else {
            return false;
        };
        let live = |b: &u32| self.backends[*b as usize].takes_work(now);
        let holders = entry.model.map(|m| &self.holders[usize::from(m)]);
        entry.adapter.is_some() && holders.is_some_and(|h| h.iter().any(live))
    }

    /// Asks the controller to place the missing model or adapter.
    fn request_placement(&mut self, now: Instant, slot: u32, adapter: bool, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Some(model) = entry.model else {
            return;
        };
        let adapter = entry.adapter.filter(|_| adapter);
        let asked = |w: &&(u16, Option<u16>, Deadline)| w.0 == model && w.1 == adapter;
        if self
            .placement_requests
            .iter()
            .find(asked)
            .is_none_or(|w| w.2.is_past(now))
        {
            self.placement_requests
                .retain(|w| w.0 != model || w.1 != adapter);
            let again = Deadline::after(now, self.cfg.placement_retry_interval);
            self.placement_requests.push((model, adapter, again));
            if let Some(names) = &self.names {
                out.push(Action::RequestPlacement {
                    model: names.model_id(model).clone(),
                    adapter: adapter.map(|a| names.adapter_id(a).clone()),
                });
            }
        }
    }

    /// Sends a request to a backend server.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        slot: u32,
        backend: u32,
        estimate: Estimate,
        out: &mut Vec<Action>,
    ) {
        let b = &mut self.backends[backend as usize];
        b.add_own(now);
        let incarnation = b.incarnation;
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::Running {
            backend,
            incarnation,
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for an estimate"
        )]
        let [baseline, expected, prefill_seconds] = [
            estimate.baseline,
            estimate.first_byte,
            estimate.prefill_seconds,
        ]
        .map(|s| s as f32);
        entry.baseline = baseline;
        entry.expected = expected;
        entry.prefill_seconds = prefill_seconds;
        b.own_work += prefill_seconds;
        entry.dispatched = now;
        entry.responds_since = None;
        // A trial is one dispatch; a repetition needs another one.
        entry.trial = None;
        entry.attempts += 1;
        if self.cfg.prefix_hints {
            for &prefix in &entry.request.prefixes {
                b.prefixes.insert(prefix);
            }
        }
        if let Some(adapter) = entry.adapter
            && let Some(used) = self.adapter_uses.get_mut(usize::from(adapter))
        {
            *used = now;
        }
        let (id, retry) = (entry.request.id, entry.retry.take());
        let (priority, seq, first) = (entry.request.priority, entry.rank.seq, entry.attempts == 1);
        self.record_served(priority, seq);
        self.counts.dispatched += 1;
        if let Some(reason) = retry {
            self.counts.retry(reason);
        }
        if first {
            self.record_demand(now, slot, false);
            self.record_first_attempt(now, slot);
        }
        if let Some(names) = &self.names {
            out.push(Action::Dispatch {
                id,
                backend: names.backend_id(backend).clone(),
                retry,
                first_byte: micros(estimate.first_byte),
            });
        }
    }

    fn record_served(&mut self, priority: config::Priority, seq: u64) {
        match self.served.binary_search_by_key(&priority, |s| s.0) {
            Ok(at) => self.served[at].1 = self.served[at].1.max(seq),
            Err(at) => self.served.insert(at, (priority, seq)),
        }
    }

    /// Adds a served or refused request to the demand for its model.
    fn record_demand(&mut self, now: Instant, slot: u32, missed: bool) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Some(model) = entry.model else {
            return;
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a smoothed rate"
        )]
        let amount = match self.cfg.latency_metric {
            LatencyMetric::Completion => {
                request_work(&self.cfg, &entry.request, entry.request.output_tokens)
            }
            LatencyMetric::FirstToken => self.demand_seconds(entry, model),
        } as f32;
        let half_life = self.cfg.demand_half_life;
        let missed = f32::from(u8::from(missed));
        self.demand[usize::from(model)].add(amount, missed, now, half_life);
    }
}

/// Converts estimated seconds to microseconds.
pub(crate) fn micros(seconds: f64) -> Micros {
    let time = std::time::Duration::try_from_secs_f64(seconds).unwrap_or_default();
    Micros::new(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
