//! State of the router and handling of its events.

use std::sync::Arc;

use config::ActiveConfig;
use rand::{SeedableRng, rngs::Xoshiro256PlusPlus};
use types::{Code, Deadline, Incarnation, Instant, Micros, RequestId};

use crate::{
    backend::Backend,
    budget::RetryBudget,
    counts::Counts,
    crash::evidence::Evidence,
    crash::suspect::Suspect,
    crash::suspect_records::SuspectRecords,
    demand::Demand,
    departed::{DepartedServers, RemovedServers},
    event::{Action, Event, Fingerprint},
    names::NameIndex,
    peer_load::PeerLoad,
    queue::Queue,
    remote::RemoteDc,
    requests::{Phase, RequestEntry, RequestTable},
    settings::{LatencyMetric, Settings},
    window::RetryWindow,
};

/// Router and admission queue of one entry host.
///
/// The router is a pure state machine: [`step`](Self::step) takes an event and appends the
/// resulting actions.
#[derive(Debug)]
pub struct Router {
    pub(crate) cfg: Settings,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) names: Option<NameIndex>,
    /// Backend servers by their index.
    pub(crate) backends: Vec<Backend>,
    pub(crate) departed: DepartedServers,
    pub(crate) removed: RemovedServers,
    /// Backend servers of this data centre that hold a model, by model index.
    pub(crate) holders: Vec<Vec<u32>>,
    /// Backend servers of this data centre by service index.
    pub(crate) members: Vec<Vec<u32>>,
    /// Data centres by their index.
    pub(crate) remote_dcs: Vec<RemoteDc>,
    pub(crate) requests: RequestTable,
    pub(crate) queue: Queue,
    /// Number of queued requests by model index.
    pub(crate) waiting: Vec<u32>,
    pub(crate) budget: RetryBudget,
    /// Retry windows by service index.
    pub(crate) retry_windows: Vec<RetryWindow>,
    /// Time of the first event.
    pub(crate) started: Option<Instant>,
    /// Learned slowdown by model index; zero before the first observation.
    pub(crate) model_slowdowns: Vec<f32>,
    /// Time of the last use by adapter index.
    pub(crate) adapter_uses: Vec<Instant>,
    /// Load that peers have sent, sorted by host.
    pub(crate) peer_loads: Vec<PeerLoad>,
    /// Records of the requests suspected of crashing backend servers.
    pub(crate) suspect_records: SuspectRecords,
    /// Evidence from all hosts of what crashes backend servers.
    pub(crate) evidence: Evidence,
    /// Requests that this host abandoned while a backend server may still run them.
    pub(crate) abandoned: Vec<AbandonedRequest>,
    pub(crate) demand: Vec<Demand>,
    /// Requested models and adapters, with the time until which the request is not repeated.
    pub(crate) placement_requests: Vec<(u16, Option<u16>, Deadline)>,
    /// Models and adapters whose placement was rejected, with the time until which the rejection
    /// holds.
    pub(crate) rejected_placements: Vec<(u16, Option<u16>, Deadline)>,
    pub(crate) counts: Counts,
    pub(crate) seq: u64,
    /// Latest sequence number served, by priority.
    pub(crate) served: Vec<(config::Priority, u64)>,
}

/// Request that was abandoned and may still run.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedRequest {
    pub fingerprint: Fingerprint,
    pub backend: u32,
    pub incarnation: Option<Incarnation>,
    pub as_suspect: bool,
    /// What may crash the server; empty once the response shows that nothing does.
    pub suspects: Vec<Suspect>,
    /// Whether its connection broke, so that the server may have ended.
    pub is_broken: bool,
    pub at: Instant,
    pub until: Deadline,
}

/// Time for which a backend server may still run a request after this host abandoned it.
pub(crate) const ABANDONED_TTL: Micros = Micros::from_secs(10);

impl Router {
    /// Creates a router without a configuration; it refuses requests until one is in force.
    #[must_use]
    pub fn new(cfg: Settings, seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            names: None,
            backends: Vec::new(),
            departed: DepartedServers::default(),
            removed: RemovedServers::default(),
            holders: Vec::new(),
            members: Vec::new(),
            remote_dcs: Vec::new(),
            requests: RequestTable::default(),
            queue: Queue::default(),
            waiting: Vec::new(),
            budget: RetryBudget::new(cfg.retry_fraction, cfg.retry_burst),
            retry_windows: Vec::new(),
            started: None,
            model_slowdowns: Vec::new(),
            adapter_uses: Vec::new(),
            peer_loads: Vec::new(),
            suspect_records: SuspectRecords::default(),
            evidence: Evidence::default(),
            abandoned: Vec::new(),
            demand: Vec::new(),
            placement_requests: Vec::new(),
            rejected_placements: Vec::new(),
            counts: Counts::default(),
            seq: 0,
            served: Vec::new(),
            cfg,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::Config(in_force) => self.configure(now, in_force, out),
            Event::Arrive(request) => self.arrive(now, request, out),
            Event::Cancel(id) => self.cancel(now, id, out),
            Event::FirstByte(id) => self.first_byte(now, id),
            Event::Sustained(id) => self.sustained(now, id, out),
            Event::Finished {
                id,
                tokens,
                ok,
                is_harmless,
            } => self.finished(now, id, (tokens, ok), is_harmless, out),
            Event::Failed { id, failure } => self.failed(now, id, failure, out),
            Event::Stalled(id) => self.stalled(now, id, out),
            Event::TakenOver { id, failure } => self.taken_over(now, id, failure, out),
            Event::TakeoverFailed { id, failure } => self.takeover_failed(now, id, failure, out),
            Event::Report { backend, report } => self.report(now, &backend, &report, out),
            Event::Registered {
                backend,
                registration,
            } => self.registered(now, &backend, &registration, out),
            Event::PlacementRejected { model, adapter } => {
                self.placement_rejected(now, &model, adapter.as_ref(), out);
            }
            Event::PeerLoad { host, sent, until } => self.peer_load(host, sent, until),
            Event::PeerSlowdowns(seen) => self.peer_slowdowns(now, &seen),
            Event::RetrySlack(slack) => {
                if let Some(limits) = &mut self.cfg.retry_limits {
                    limits.slack = slack;
                }
            }
            Event::Resident {
                backend,
                model,
                adapter,
            } => self.loaded(now, &backend, &model, adapter.as_ref(), out),
            Event::LoadHeaders {
                backend,
                in_flight,
                queued,
            } => self.load_headers(now, &backend, in_flight + queued, out),
            Event::Digest { backend, load, age } => self.digest(now, &backend, load, age, out),
            Event::Liveness { backend, liveness } => self.liveness(now, &backend, liveness, out),
            Event::Announced {
                backend,
                incarnation,
                notice,
            } => self.announced(now, &backend, incarnation, notice, out),
            Event::Crashed {
                backend,
                incarnation,
            } => self.crashed(now, &backend, incarnation, out),
            Event::RemoteModels { dc, models } => self.set_remote_models(now, &dc, &models, out),
            Event::PrefixCached { backend, prefix } => self.prefix(&backend, prefix),
            Event::PrefixGap(backend) => self.prefix_gap(&backend),
            Event::Suspects(records) => self.apply_suspect_records(now, &records, out),
            Event::SlotReply { id, granted } => self.slot_reply(now, id, granted, out),
            Event::CrashUpdate(update) => self.apply_crash_update(now, &update, out),
            Event::TrialReply { id, suspect, reply } => {
                self.trial_reply(now, id, suspect, reply, out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    fn configure(&mut self, now: Instant, in_force: Arc<ActiveConfig>, out: &mut Vec<Action>) {
        let new = NameIndex::new(in_force);
        if self
            .names
            .as_ref()
            .is_some_and(|n| n.version() >= new.version())
        {
            return;
        }
        self.apply(now, new, out);
        self.dispatch_queued(now, Scope::All, out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.suspect_records.prune(now);
        self.evidence.prune(now);
        self.record_sustained_responses(now, out);
        self.abandoned.retain(|a| !a.until.is_past(now));
        self.placement_requests.retain(|w| !w.2.is_past(now));
        self.rejected_placements.retain(|w| !w.2.is_past(now));
        self.expire_peer_loads(now);
        self.update_overdue(now);
        self.start_probes(now);
        self.expire_slot_requests(now, out);
        self.dispatch_queued(now, Scope::All, out);
    }

    fn cancel(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let overdue_backend = self
            .requests
            .get(slot)
            .and_then(|f| self.overdue_backend(now, f));
        if let Some(b) = overdue_backend.and_then(|at| self.backends.get_mut(at as usize)) {
            // The caller cancelled because the server did not respond in time.
            b.record_attempt(true, now);
        }
        let stalled = self.release_stalled(now, slot);
        let backend = self.release(now, slot, true);
        self.requests.remove(slot);
        if let Some(stalled) = stalled {
            self.dispatch_queued(now, Scope::Backend(stalled), out);
        }
        if let Some(backend) = backend {
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    fn first_byte(&mut self, now: Instant, id: RequestId) {
        if let Some(slot) = self.requests.find(id)
            && let Some(entry) = self.requests.get_mut(slot)
        {
            entry.may_have_run = true;
            entry.response.since.get_or_insert(now);
            if let Phase::Running { backend, .. } = entry.phase {
                self.prefill_done(now, slot, backend);
            }
        }
    }

    /// Removes the prompt of a request from the pending prefill time of its backend server.
    fn prefill_done(&mut self, now: Instant, slot: u32, backend: u32) {
        if let Some(b) = self.backends.get_mut(backend as usize) {
            b.record_response(now);
        }
        if self.cfg.latency_metric == LatencyMetric::FirstToken {
            self.learn_first_token(now, slot, backend);
        }
        self.remove_pending_prefill(slot, backend);
    }

    pub(crate) fn remove_pending_prefill(&mut self, slot: u32, backend: u32) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        let seconds = std::mem::take(&mut entry.prefill_seconds);
        if let Some(b) = self.backends.get_mut(backend as usize) {
            b.own_work -= seconds;
        }
    }

    fn finished(
        &mut self,
        now: Instant,
        id: RequestId,
        (tokens, ok): (u32, bool),
        is_harmless: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        self.release_stalled(now, slot);
        let backend = self.release(now, slot, !is_harmless);
        if !is_harmless && let Some(unclear) = self.abandoned.last_mut() {
            unclear.is_broken = true;
        }
        let Some(entry) = self.requests.remove(slot) else {
            return;
        };
        if ok {
            self.counts.succeeded += 1;
            self.budget.deposit();
            if is_harmless {
                self.record_response(now, &entry.request, out);
            }
        }
        if let Some(backend) = backend {
            // A request whose model was removed has none, but is not a plain one.
            let learns = entry.withdrawn.is_none()
                && (entry.model.is_none() || self.cfg.latency_metric == LatencyMetric::Completion);
            if ok && learns {
                self.learn(now, &entry, backend, tokens);
            }
            if let Some(b) = self.backends.get_mut(backend as usize) {
                b.record_response(now);
                b.record_attempt(false, now);
            }
            self.clear_suspect(&entry, backend, out);
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    fn learn(&mut self, now: Instant, entry: &RequestEntry, backend: u32, tokens: u32) {
        let Some(b) = self.backends.get_mut(backend as usize) else {
            return;
        };
        let slowdown = b.slowdown * entry.model.map_or(1.0, |m| b.model_slowdown(m));
        // The caller's estimate of the output may be wrong; only the speed is learned.
        let expected =
            crate::choose::request_work(&self.cfg, &entry.request, entry.request.output_tokens);
        let actual = crate::choose::request_work(&self.cfg, &entry.request, tokens);
        let scale = if entry.model.is_some() && expected > 0.0 && actual > 0.0 {
            actual / expected
        } else {
            1.0
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a learned ratio"
        )]
        let elapsed = now.since(entry.dispatched).as_secs_f64() as f32;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a learned ratio"
        )]
        let predicted = entry.baseline * slowdown * scale as f32;
        b.learn(entry.model, elapsed / predicted);
    }

    /// Removes a request from its backend server or from the queue.
    ///
    /// Returns the backend server that it was assigned to.
    pub(crate) fn release(&mut self, now: Instant, slot: u32, abandon: bool) -> Option<u32> {
        let entry = self.requests.get(slot)?;
        let (phase, rank, model) = (entry.phase, entry.rank, entry.model);
        let as_suspect = entry.as_suspect;
        let abandoned =
            abandon.then(|| self.abandoned_attempt(now, entry, phase, entry.response.is_sustained));
        match phase {
            Phase::Queued => {
                if self.queue.remove(rank) {
                    self.count_waiting(model, false);
                }
                None
            }
            Phase::AwaitingSlot { backend, .. } | Phase::Running { backend, .. } => {
                self.remove_pending_prefill(slot, backend);
                self.abandoned.extend(abandoned.flatten());
                let b = self.backends.get_mut(backend as usize)?;
                b.remove_own(now);
                if as_suspect {
                    b.suspects = b.suspects.saturating_sub(1);
                }
                Some(backend)
            }
            Phase::Forwarded { dc } => {
                if let Some(remote) = self.remote_dcs.get_mut(usize::from(dc)) {
                    remote.own = remote.own.saturating_sub(1);
                }
                None
            }
        }
    }

    /// Returns the record of an attempt that is abandoned now, if a server may run it.
    pub(crate) fn abandoned_attempt(
        &self,
        now: Instant,
        entry: &RequestEntry,
        phase: Phase,
        is_sustained: bool,
    ) -> Option<AbandonedRequest> {
        let Phase::Running {
            backend,
            incarnation,
        } = phase
        else {
            return None;
        };
        let suspects = if is_sustained {
            Vec::new()
        } else {
            self.suspects_of(&entry.request).collect()
        };
        Some(AbandonedRequest {
            fingerprint: entry.request.fingerprint,
            backend,
            incarnation,
            as_suspect: entry.as_suspect,
            suspects,
            is_broken: false,
            at: now,
            until: Deadline::after(now, ABANDONED_TTL),
        })
    }

    pub(crate) fn count_waiting(&mut self, model: Option<u16>, more: bool) {
        if let Some(waiting) = model.and_then(|m| self.waiting.get_mut(usize::from(m))) {
            *waiting = if more {
                *waiting + 1
            } else {
                waiting.saturating_sub(1)
            };
        }
    }

    /// Removes a request and refuses it with a code that is consistent with its attempts.
    pub(crate) fn refuse(
        &mut self,
        slot: u32,
        code: Code,
        retry_after: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.remove(slot) else {
            return;
        };
        let code = code_after_attempts(code, &entry);
        self.counts.refuse(code);
        out.push(Action::Refuse {
            id: entry.request.id,
            code,
            retry_after,
        });
    }
}

/// Replaces a code that says "not run" for a request that may have run.
fn code_after_attempts(code: Code, entry: &RequestEntry) -> Code {
    if !entry.may_have_run || code.ran() != types::ExecutionStatus::No {
        return code;
    }
    match code {
        Code::CrashingRequest | Code::CrashingPart | Code::SuspectNotAdmitted => {
            Code::BackendCrashed
        }
        _ if entry.request.idempotent => Code::RetriesExhausted,
        _ => Code::ConnectionCut,
    }
}

/// Queued requests that an event may have made dispatchable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scope {
    /// All queued requests.
    All,
    /// Requests for a model.
    Model(u16),
    /// Requests of a plain service.
    Service(u16),
    /// Requests that a backend server can serve.
    Backend(u32),
}
