//! State of the router and the dispatch of its events.

use std::sync::Arc;

use config::InForce;
use rand::{SeedableRng, rngs::Xoshiro256PlusPlus};
use types::{Code, Deadline, Instant, Micros, RequestId};

use crate::{
    backend::Backend,
    budget::Budget,
    counts::Counts,
    demand::Demand,
    event::{Action, Event, Fingerprint},
    flight::{Flight, Flights, Phase},
    names::Names,
    peer_load::PeerLoad,
    queue::Queue,
    remote::Remote,
    settings::{LatencyMetric, Settings},
    suspect::Suspects,
    window::RetryWindow,
};

/// Router and admission queue of one entry host.
///
/// A pure state machine: [`step`](Self::step) takes an event and appends the actions that follow.
#[derive(Debug)]
pub struct Router {
    pub(crate) cfg: Settings,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) names: Option<Names>,
    /// Backend servers by index.
    pub(crate) backends: Vec<Backend>,
    /// Backend servers of this data centre that hold a model, by index of the model.
    pub(crate) holders: Vec<Vec<u32>>,
    /// Backend servers of this data centre by index of their service.
    pub(crate) members: Vec<Vec<u32>>,
    /// Other data centres, by index.
    pub(crate) remotes: Vec<Remote>,
    pub(crate) flights: Flights,
    pub(crate) queue: Queue,
    /// Waiting requests by index of the model.
    pub(crate) waiting: Vec<u32>,
    pub(crate) budget: Budget,
    /// Retry windows by index of the service.
    pub(crate) retry_windows: Vec<RetryWindow>,
    /// Instant of the first event.
    pub(crate) started: Option<Instant>,
    /// Learned pace by index of the model; zero before anything is learned.
    pub(crate) model_paces: Vec<f32>,
    /// Last use by index of the adapter.
    pub(crate) adapter_uses: Vec<Instant>,
    /// What peers have sent, sorted by host.
    pub(crate) peer_loads: Vec<PeerLoad>,
    pub(crate) suspects: Suspects,
    /// Requests that this host gave up while a backend server may still run them.
    pub(crate) departed: Vec<Departed>,
    pub(crate) demand: Vec<Demand>,
    /// Models and adapters that were asked for, with the time until they are asked for again.
    pub(crate) wanted: Vec<(u16, Option<u16>, Deadline)>,
    /// Models and adapters that can't be placed, with the time until they are asked for again.
    pub(crate) unplaceable: Vec<(u16, Option<u16>, Deadline)>,
    pub(crate) counts: Counts,
    pub(crate) seq: u64,
    /// Latest arrival served, by priority.
    pub(crate) served: Vec<(config::Priority, u64)>,
}

/// Request that was abandoned and may still run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departed {
    pub fingerprint: Fingerprint,
    pub backend: u32,
    pub as_suspect: bool,
    pub until: Deadline,
}

/// Time for which a backend server may still run a request after this host abandoned it.
pub(crate) const DEPARTED_TTL: Micros = Micros::from_secs(10);

impl Router {
    /// Makes a router without a configuration; it refuses requests until one is in force.
    #[must_use]
    pub fn new(cfg: Settings, seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            names: None,
            backends: Vec::new(),
            holders: Vec::new(),
            members: Vec::new(),
            remotes: Vec::new(),
            flights: Flights::default(),
            queue: Queue::default(),
            waiting: Vec::new(),
            budget: Budget::new(cfg.retry_fraction, cfg.retry_burst),
            retry_windows: Vec::new(),
            started: None,
            model_paces: Vec::new(),
            adapter_uses: Vec::new(),
            peer_loads: Vec::new(),
            suspects: Suspects::default(),
            departed: Vec::new(),
            demand: Vec::new(),
            wanted: Vec::new(),
            unplaceable: Vec::new(),
            counts: Counts::default(),
            seq: 0,
            served: Vec::new(),
            cfg,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match ev {
            Event::Config(in_force) => self.configure(now, in_force, out),
            Event::Arrive(ticket) => self.arrive(now, ticket, out),
            Event::Cancel(id) => self.cancel(now, id, out),
            Event::FirstByte(id) => self.first_byte(now, id),
            Event::Finished { id, tokens, ok } => self.finished(now, id, tokens, ok, out),
            Event::Failed { id, failure } => self.failed(now, id, failure, out),
            Event::Report { backend, report } => self.report(now, &backend, &report, out),
            Event::Registered {
                backend,
                registration,
            } => self.registered(now, &backend, &registration, out),
            Event::PlacementRejected { model, adapter } => {
                self.placement_rejected(now, &model, adapter.as_ref(), out);
            }
            Event::PeerLoad { host, sent, until } => self.peer_load(host, sent, until),
            Event::PeerSlowdowns(seen) => self.peer_paces(now, &seen),
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
            } => self.hint(now, &backend, in_flight + queued, out),
            Event::Digest { backend, load, age } => self.digest(now, &backend, load, age, out),
            Event::Liveness { backend, liveness } => self.liveness(now, &backend, liveness, out),
            Event::Crashed {
                backend,
                incarnation,
            } => self.crashed(now, &backend, incarnation, out),
            Event::RemoteModels { dc, models } => self.remote(now, &dc, &models, out),
            Event::PrefixCached { backend, prefix } => self.prefix(&backend, prefix),
            Event::PrefixGap(backend) => self.prefix_gap(&backend),
            Event::Suspects(marks) => self.hear_suspects(now, &marks, out),
            Event::SlotReply { id, granted } => self.slot(now, id, granted, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn configure(&mut self, now: Instant, in_force: Arc<InForce>, out: &mut Vec<Action>) {
        let new = Names::new(in_force);
        if self
            .names
            .as_ref()
            .is_some_and(|n| n.version() >= new.version())
        {
            return;
        }
        self.apply(new, out);
        self.pump(now, Scope::All, out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.suspects.prune(now);
        self.departed.retain(|d| !d.until.is_past(now));
        self.wanted.retain(|w| !w.2.is_past(now));
        self.unplaceable.retain(|w| !w.2.is_past(now));
        self.expire_peer_loads(now);
        self.note_overdue(now);
        self.expire_asks(now, out);
        self.pump(now, Scope::All, out);
    }

    fn cancel(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let Some(slot) = self.flights.find(id) else {
            return;
        };
        let owing = self.flights.get(slot).and_then(|f| self.owing(now, f));
        if let Some(b) = owing.and_then(|at| self.backends.get_mut(at as usize)) {
            // The caller left because the server is silent.
            b.note_attempt(true, now);
        }
        let backend = self.release(now, slot, true);
        self.flights.remove(slot);
        if let Some(backend) = backend {
            self.pump(now, Scope::Backend(backend), out);
        }
    }

    fn first_byte(&mut self, now: Instant, id: RequestId) {
        if let Some(slot) = self.flights.find(id)
            && let Some(flight) = self.flights.get_mut(slot)
        {
            flight.may_have_run = true;
            flight.answering = true;
            if let Phase::Running { backend, .. } = flight.phase {
                self.prompt_read(now, slot, backend);
            }
        }
    }

    /// Takes the prompt of a request off the work that waits at its backend server.
    fn prompt_read(&mut self, now: Instant, slot: u32, backend: u32) {
        if let Some(b) = self.backends.get_mut(backend as usize) {
            b.heard = now;
        }
        if self.cfg.latency_metric == LatencyMetric::FirstToken {
            self.learn_first_token(now, slot, backend);
        }
        self.drop_work(slot, backend);
    }

    fn drop_work(&mut self, slot: u32, backend: u32) {
        let Some(flight) = self.flights.get_mut(slot) else {
            return;
        };
        let work = std::mem::take(&mut flight.work);
        if let Some(b) = self.backends.get_mut(backend as usize) {
            b.own_work -= work;
        }
    }

    fn finished(
        &mut self,
        now: Instant,
        id: RequestId,
        tokens: u32,
        ok: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.flights.find(id) else {
            return;
        };
        let backend = self.release(now, slot, false);
        let Some(flight) = self.flights.remove(slot) else {
            return;
        };
        if ok {
            self.counts.succeeded += 1;
            self.budget.earn();
        }
        if let Some(backend) = backend {
            let learns =
                flight.model.is_none() || self.cfg.latency_metric == LatencyMetric::Completion;
            if ok && learns {
                self.learn(now, &flight, backend, tokens);
            }
            if let Some(b) = self.backends.get_mut(backend as usize) {
                b.heard = now;
                b.note_attempt(false, now);
            }
            self.clear_suspect(&flight, backend, out);
            self.pump(now, Scope::Backend(backend), out);
        }
    }

    fn learn(&mut self, now: Instant, flight: &Flight, backend: u32, tokens: u32) {
        let Some(b) = self.backends.get_mut(backend as usize) else {
            return;
        };
        let pace = b.pace * flight.model.map_or(1.0, |m| b.model_pace(m));
        // The caller's estimate of the output may be wrong; only the speed is learned here.
        let expected = crate::choose::work(&self.cfg, &flight.ticket, flight.ticket.output_tokens);
        let actual = crate::choose::work(&self.cfg, &flight.ticket, tokens);
        let scale = if flight.model.is_some() && expected > 0.0 && actual > 0.0 {
            actual / expected
        } else {
            1.0
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a learned ratio"
        )]
        let elapsed = now.since(flight.dispatched).as_secs_f64() as f32;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a learned ratio"
        )]
        let predicted = flight.predicted * pace * scale as f32;
        b.learn(flight.model, elapsed / predicted);
    }

    /// Takes a request off its backend server or out of the queue.
    ///
    /// Returns the backend server that it ran on.
    pub(crate) fn release(&mut self, now: Instant, slot: u32, departs: bool) -> Option<u32> {
        let flight = self.flights.get(slot)?;
        let (phase, rank, model) = (flight.phase, flight.rank, flight.model);
        let (fingerprint, as_suspect) = (flight.ticket.fingerprint, flight.as_suspect);
        match phase {
            Phase::Queued => {
                if self.queue.remove(rank) {
                    self.count_waiting(model, false);
                }
                None
            }
            Phase::Asking { backend, .. } | Phase::Running { backend, .. } => {
                self.drop_work(slot, backend);
                let b = self.backends.get_mut(backend as usize)?;
                b.remove_own(now);
                if as_suspect {
                    b.suspects = b.suspects.saturating_sub(1);
                }
                if departs && matches!(phase, Phase::Running { .. }) {
                    self.departed.push(Departed {
                        fingerprint,
                        backend,
                        as_suspect,
                        until: Deadline::after(now, DEPARTED_TTL),
                    });
                }
                Some(backend)
            }
            Phase::Forwarded { dc } => {
                if let Some(remote) = self.remotes.get_mut(usize::from(dc)) {
                    remote.own = remote.own.saturating_sub(1);
                }
                None
            }
        }
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

    /// Removes a request and refuses it with a code that is true of its attempts.
    pub(crate) fn refuse(
        &mut self,
        slot: u32,
        code: Code,
        retry_after: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.remove(slot) else {
            return;
        };
        let code = truthful(code, &flight);
        self.counts.refuse(code);
        out.push(Action::Refuse {
            id: flight.ticket.id,
            code,
            retry_after,
        });
    }
}

/// Replaces a code that says "not run" for a request that may have run.
fn truthful(code: Code, flight: &Flight) -> Code {
    if !flight.may_have_run || code.ran() != types::Ran::No {
        return code;
    }
    match code {
        Code::CrashingRequest | Code::SuspectNotAdmitted => Code::BackendCrashed,
        _ if flight.ticket.idempotent => Code::RetriesExhausted,
        _ => Code::ConnectionCut,
    }
}

/// Waiting requests that an event may have made servable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scope {
    /// All of them.
    All,
    /// Those for a model.
    Model(u16),
    /// Those of a plain service.
    Service(u16),
    /// Those that a backend server can serve.
    Backend(u32),
}
