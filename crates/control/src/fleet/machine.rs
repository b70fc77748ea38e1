//! State machine of the placement on all workers.

use std::collections::VecDeque;

use config::{EngineSpec, RoutedService};
use engine::Server;
use orders::{OrderSpec, SequencedOutcome, SequencedWorker};
use place::{FleetChange, FleetDemand, FleetInput, FleetWorker};
use types::{
    AdapterId, BackendId, Bytes, Deadline, Epoch, HostId, Incarnation, Instant, Micros, ModelId,
    OrderOp, Registration, ServerNotice, ServiceName, WorkerState, rendezvous_score,
};

use crate::fleet::notices::WorkerNotices;

/// Interval between reports of a worker with an open order.
const OPEN_ORDER_REPORT_INTERVAL: Micros = Micros::from_millis(150);

/// Interval between reports of any other worker.
const IDLE_REPORT_INTERVAL: Micros = Micros::from_secs(4);

/// Interval between placement rounds.
const ROUND_INTERVAL: Micros = Micros::from_millis(250);

/// Time for which the demand reported by a host is valid.
const DEMAND_TTL: Micros = Micros::from_secs(4);

/// Minimum time for which a copy stays on a worker after its load was ordered.
const MIN_COPY_LIFETIME: Micros = Micros::from_secs(6);

/// Time for which a model counts as recently requested.
const RECENT_REQUEST_WINDOW: Micros = Micros::from_secs(60);

/// Longest wait for the end of the takeover delay for which a placement request is kept.
const MAX_START_WAIT: Micros = Micros::from_millis(600);

/// Time for which a placement request is kept.
const REQUEST_TTL: Micros = Micros::from_secs(4);

/// Time without use after which an adapter may be evicted for another one.
///
/// Hosts report the adapters in use every second, so one that goes unreported for longer is idle.
/// Unloading an adapter that is in use would block every other order to its worker.
const ADAPTER_IDLE_TIME: Micros = Micros::from_millis(1_800);

/// Minimum limit of concurrent loads from the weight store, however slow the store is.
///
/// One of them is reserved for models that callers wait for, so with a limit of one no model would ever
/// get an additional copy, and with two only one after the other.
const MIN_CONCURRENT_LOADS: usize = 3;

/// Maximum number of loads from the weight store within one window, each of which is remembered.
const MAX_LOADS_PER_WINDOW: usize = 10_000;

/// Demand up to which a model counts as unused, in seconds of worker time per second.
const MIN_DEMAND: f64 = 0.001;

/// Order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerOrder {
    /// Operation that the worker carries out.
    pub task: OrderSpec,
    /// Number of orders that the worker must have accepted before this one.
    pub expect: u64,
    /// Fencing token.
    pub fence: Epoch,
    /// Host that holds the lease.
    pub holder: HostId,
}

/// Request to place a model or adapter that callers wait for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlacementRequest {
    /// Model.
    pub model: ModelId,
    /// Adapter of the model, if one is requested.
    pub adapter: Option<AdapterId>,
    /// Worker that must hold the copy, or `None` for any worker.
    pub worker: Option<BackendId>,
}

/// Id of a placement request, which its reply refers to.
pub type PlacementRequestId = u64;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The services or models of the configuration changed.
    Services(Vec<RoutedService>),
    /// All registered backend servers.
    Registrations(Vec<Registration>),
    /// This host gained authority and may send orders from the given instant on.
    AuthorityGained(Epoch, Instant),
    /// This host lost authority.
    AuthorityLost,
    /// A request for the state of a worker ended; `None` if the worker did not answer.
    Report(BackendId, Option<WorkerState>),
    /// The attempt to send an order ended.
    OrderResult {
        /// Worker.
        worker: BackendId,
        /// Number of accepted orders that the order expected.
        expect: u64,
        /// Outcome of the attempt.
        outcome: SequencedOutcome,
    },
    /// A host reported the demand of its callers, in seconds of worker time per second.
    Demand(HostId, Vec<(ModelId, f64)>),
    /// A host reported which adapters its callers used recently.
    AdaptersUsed(Vec<AdapterId>),
    /// A host requested the placement of a model or adapter.
    PlacementRequested(PlacementRequestId, PlacementRequest),
    /// A worker announced something in a response.
    Announced {
        /// Worker.
        worker: BackendId,
        /// Incarnation that the request was sent to; the known one if `None`.
        incarnation: Option<Incarnation>,
        /// What it announced.
        notice: ServerNotice,
    },
    /// Time passed.
    Tick,
}

/// Output of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Send an order to a worker.
    SendOrder(Server, WorkerOrder),
    /// Fetch the state of a worker.
    FetchReport(Server),
    /// Reply to a placement request, after a delay, with the workers that hold the copy.
    Reply(PlacementRequestId, Vec<BackendId>, Micros),
}

#[derive(Debug)]
struct ManagedWorker {
    registration: Registration,
    ledger: SequencedWorker,
    report_requested: bool,
    next_report: Instant,
    /// Time of the last request or use of each adapter, sorted by id.
    adapter_uses: Vec<(AdapterId, Instant)>,
    /// Model whose load was ordered last, and when.
    last_load: Option<(ModelId, Instant)>,
}

impl ManagedWorker {
    fn server(&self) -> Server {
        Server {
            id: self.registration.id.clone(),
            addr: self.registration.addr,
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    id: PlacementRequestId,
    item: PlacementRequest,
    until: Deadline,
}

/// Demand that a host reported, and the time until which it is valid.
#[derive(Debug)]
struct HostDemand {
    host: HostId,
    until: Deadline,
    models: Vec<(ModelId, f64)>,
}

/// State of the placement on all workers; it sends orders only while this host has authority.
#[derive(Debug)]
pub struct Fleet {
    host: HostId,
    load_window: Micros,
    services: Vec<RoutedService>,
    /// Sorted by id.
    workers: Vec<ManagedWorker>,
    notices: WorkerNotices,
    demand: Vec<HostDemand>,
    requests: Vec<PendingRequest>,
    /// Time of the last request for each model, sorted by id.
    model_requests: Vec<(ModelId, Instant)>,
    /// Start times of the loads from the weight store within the window.
    store_loads: VecDeque<Instant>,
    authority: Option<(Epoch, Instant)>,
    next_round: Instant,
}

impl Fleet {
    /// Creates a state machine without authority.
    #[must_use]
    pub fn new(host: HostId, load_window: Micros) -> Self {
        Self {
            host,
            load_window,
            services: Vec::new(),
            workers: Vec::new(),
            notices: WorkerNotices::default(),
            demand: Vec::new(),
            requests: Vec::new(),
            model_requests: Vec::new(),
            store_loads: VecDeque::new(),
            authority: None,
            next_round: Instant::ZERO,
        }
    }

    /// Handles an event and appends all actions that are due after it.
    pub fn step(&mut self, now: Instant, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        self.handle_event(now, event, actions);
        self.poll(now, actions);
    }

    /// Handles an event without checking what is due after it, which [`Fleet::poll`] does.
    ///
    /// Polling visits every worker, so a driver handles all queued events first.
    pub fn handle_event(
        &mut self,
        now: Instant,
        event: FleetEvent,
        actions: &mut Vec<FleetAction>,
    ) {
        match event {
            FleetEvent::Services(services) => self.services = services,
            FleetEvent::Registrations(registrations) => self.update_registrations(registrations),
            FleetEvent::AuthorityGained(epoch, from) => self.gain_authority(now, epoch, from),
            FleetEvent::AuthorityLost => self.lose_authority(actions),
            FleetEvent::Report(worker, state) => self.handle_report(&worker, state),
            FleetEvent::OrderResult {
                worker,
                expect,
                outcome,
            } => self.handle_order_result(now, &worker, expect, outcome, actions),
            FleetEvent::Demand(host, demand) => self.update_demand(now, host, demand),
            FleetEvent::AdaptersUsed(adapters) => self.record_adapter_use(now, &adapters),
            FleetEvent::PlacementRequested(id, item) => self.add_request(now, id, item),
            FleetEvent::Announced {
                worker,
                incarnation,
                notice,
            } => {
                if let Some(incarnation) = incarnation.or_else(|| self.incarnation(&worker)) {
                    self.notices.record(now, &worker, incarnation, notice);
                }
            }
            FleetEvent::Tick => {}
        }
    }

    /// Returns whether a worker leaves, by its registration or its own announcement.
    fn is_leaving(&self, worker: &ManagedWorker) -> bool {
        let registration = &worker.registration;
        let state = worker.ledger.state();
        registration.leaving || self.notices.is_leaving(&registration.id, state)
    }

    /// Returns whether a worker wants no orders and calls now.
    fn is_held_off(&self, now: Instant, worker: &ManagedWorker) -> bool {
        let state = worker.ledger.state();
        self.notices
            .is_held_off(now, &worker.registration.id, state)
    }

    /// Returns the epoch under which orders may be sent now, if any.
    #[must_use]
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        let (epoch, from) = self.authority?;
        (now >= from).then_some(epoch)
    }

    fn gain_authority(&mut self, now: Instant, epoch: Epoch, from: Instant) {
        self.authority = Some((epoch, from));
        for worker in &mut self.workers {
            worker.ledger = SequencedWorker::default();
            worker
                .ledger
                .apply_registration(worker.registration.state.clone());
            worker.report_requested = false;
            worker.next_report = now;
        }
        // The former holder may have used up the rate limit of the whole window until its end.
        self.store_loads.clear();
        if from > now {
            let allowed = self.loads_per_window();
            self.store_loads.extend(std::iter::repeat_n(now, allowed));
        }
    }

    fn lose_authority(&mut self, actions: &mut Vec<FleetAction>) {
        self.authority = None;
        let empty_reply = |r: PendingRequest| FleetAction::Reply(r.id, Vec::new(), Micros::ZERO);
        actions.extend(self.requests.drain(..).map(empty_reply));
    }

    fn engine_spec(&self, service: &ServiceName) -> Option<&EngineSpec> {
        let at = self
            .services
            .binary_search_by(|s| s.name.cmp(service))
            .ok()?;
        self.services[at].engine.as_ref()
    }

    fn position(&self, worker: &BackendId) -> Option<usize> {
        let found = self
            .workers
            .binary_search_by(|w| w.registration.id.cmp(worker));
        found.ok()
    }

    fn update_registrations(&mut self, registrations: Vec<Registration>) {
        let mut old = std::mem::take(&mut self.workers);
        for registration in registrations {
            if self.engine_spec(&registration.service).is_none() {
                continue;
            }
            let known = old
                .iter()
                .position(|w| w.registration.id == registration.id);
            let mut worker = match known {
                Some(at) => old.swap_remove(at),
                None => ManagedWorker {
                    registration: registration.clone(),
                    ledger: SequencedWorker::default(),
                    report_requested: false,
                    next_report: Instant::ZERO,
                    adapter_uses: Vec::new(),
                    last_load: None,
                },
            };
            let (last, new) = (&worker.registration.state, &registration.state);
            if new.incarnation < last.incarnation {
                // Registrations follow the order of the platform, so the last one was not the
                // worker's own.
                worker.ledger = SequencedWorker::default();
            }
            worker.ledger.apply_registration(registration.state.clone());
            worker.registration = registration;
            self.workers.push(worker);
        }
        self.workers
            .sort_by(|a, b| a.registration.id.cmp(&b.registration.id));
    }

    fn handle_report(&mut self, worker: &BackendId, state: Option<WorkerState>) {
        let Some(at) = self.position(worker) else {
            return;
        };
        self.workers[at].report_requested = false;
        if let Some(state) = state {
            self.workers[at].ledger.apply_report(state);
        }
    }

    fn handle_order_result(
        &mut self,
        now: Instant,
        worker: &BackendId,
        expect: u64,
        outcome: SequencedOutcome,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(at) = self.position(worker) else {
            return;
        };
        self.workers[at].next_report = now + OPEN_ORDER_REPORT_INTERVAL;
        let Some(task) = self.workers[at].ledger.finish_send(expect, outcome) else {
            return;
        };
        if task.op != OrderOp::LoadAdapter {
            return;
        }
        let is_done = |r: &PendingRequest| {
            let on_worker = r
                .item
                .worker
                .as_ref()
                .is_none_or(|required| required == worker);
            on_worker && r.item.model == task.model && r.item.adapter == task.adapter
        };
        for request in self.requests.extract_if(.., |r| is_done(r)) {
            let after = SequencedWorker::adapter_delay();
            actions.push(FleetAction::Reply(request.id, vec![worker.clone()], after));
        }
    }

    fn update_demand(&mut self, now: Instant, host: HostId, demand: Vec<(ModelId, f64)>) {
        for (model, load) in &demand {
            if *load > MIN_DEMAND {
                self.record_model_request(now, model);
            }
        }
        let until = Deadline::after(now, DEMAND_TTL);
        self.demand
            .retain(|n| n.host != host && !n.until.is_past(now));
        self.demand.push(HostDemand {
            host,
            until,
            models: demand,
        });
    }

    fn record_adapter_use(&mut self, now: Instant, adapters: &[AdapterId]) {
        for worker in &mut self.workers {
            for adapter in adapters {
                if let Ok(at) = worker
                    .adapter_uses
                    .binary_search_by(|(a, _)| a.cmp(adapter))
                {
                    worker.adapter_uses[at].1 = now;
                }
            }
        }
    }

    fn add_request(&mut self, now: Instant, id: PlacementRequestId, item: PlacementRequest) {
        self.record_model_request(now, &item.model);
        let latest_start = now + MAX_START_WAIT;
        let until = match self.authority {
            Some((_, from)) if from <= latest_start => Deadline::after(now, REQUEST_TTL),
            // Fails at the next poll; waiting for the end of the takeover delay would be in vain.
            _ => Deadline::at(now),
        };
        self.requests.push(PendingRequest { id, item, until });
    }

    fn record_model_request(&mut self, now: Instant, model: &ModelId) {
        match self.model_requests.binary_search_by(|(m, _)| m.cmp(model)) {
            Ok(at) => self.model_requests[at].1 = now,
            Err(at) => self.model_requests.insert(at, (model.clone(), now)),
        }
    }

    /// Appends all actions that are due.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        self.answer_requests(now, actions);
        if self.epoch(now).is_none() {
            return;
        }
        self.fetch_reports(now, actions);
        self.resend_orders(now, actions);
        self.place_adapters(now, actions);
        if now >= self.next_round {
            self.next_round = now + ROUND_INTERVAL;
            self.place_models(now, actions);
        }
    }

    /// Returns the usable workers that hold a model and, if one is given, an adapter of it.
    fn holders(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Vec<usize> {
        let holds = |w: &ManagedWorker| {
            let held = w.ledger.state().model(model);
            let unloading = w
                .ledger
                .model_order()
                .is_some_and(|t| t.op == OrderOp::Unload && t.model == *model);
            held.is_some_and(|h| adapter.is_none_or(|a| h.adapters.binary_search(a).is_ok()))
                && !unloading
                && !self.is_leaving(w)
        };
        let workers = self.workers.iter().enumerate();
        workers
            .filter(|(_, w)| holds(w))
            .map(|(at, _)| at)
            .collect()
    }

    fn answer_requests(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain(|request| {
            let mut holders = self.holders(&request.item.model, request.item.adapter.as_ref());
            if let Some(required) = &request.item.worker {
                holders.retain(|at| self.workers[*at].registration.id == *required);
            }
            if holders.is_empty() && !request.until.is_past(now) {
                return true;
            }
            let ids = holders
                .iter()
                .map(|at| self.workers[*at].registration.id.clone());
            actions.push(FleetAction::Reply(request.id, ids.collect(), Micros::ZERO));
            false
        });
        self.requests = requests;
    }

    fn fetch_reports(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        for worker in &mut self.workers {
            let (id, state) = (&worker.registration.id, worker.ledger.state());
            if self.notices.is_held_off(now, id, state) {
                continue;
            }
            // No order of a leaving worker is sent again, so none needs to be settled soon.
            let open = worker.ledger.awaits_report() && !self.notices.is_leaving(id, state);
            if open {
                worker.next_report = worker.next_report.min(now + OPEN_ORDER_REPORT_INTERVAL);
            }
            if worker.report_requested || now < worker.next_report {
                continue;
            }
            worker.report_requested = true;
            worker.next_report = now
                + if open {
                    OPEN_ORDER_REPORT_INTERVAL
                } else {
                    IDLE_REPORT_INTERVAL
                };
            actions.push(FleetAction::FetchReport(worker.server()));
        }
    }

    fn worker_order(&self, task: OrderSpec, expect: u64, fence: Epoch) -> WorkerOrder {
        WorkerOrder {
            task,
            expect,
            fence,
            holder: self.host.clone(),
        }
    }

    fn resend_orders(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let Some(fence) = self.epoch(now) else {
            return;
        };
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if self.is_leaving(worker) || self.is_held_off(now, worker) {
                continue;
            }
            if let Some((task, expect)) = self.workers[at].ledger.take_resend(now) {
                let server = self.workers[at].server();
                actions.push(FleetAction::SendOrder(
                    server,
                    self.worker_order(task, expect, fence),
                ));
            }
        }
    }

    fn issue(&mut self, now: Instant, at: usize, task: OrderSpec, actions: &mut Vec<FleetAction>) {
        let Some(fence) = self.epoch(now) else {
            return;
        };
        let worker = &mut self.workers[at];
        let expect = worker.ledger.begin_send(now, task.clone());
        let server = worker.server();
        actions.push(FleetAction::SendOrder(
            server,
            self.worker_order(task, expect, fence),
        ));
    }

    /// Orders loads of the adapters that callers wait for.
    fn place_adapters(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let wanted = self.requests.iter().map(|r| r.item.clone());
        let mut wanted: Vec<PlacementRequest> = wanted.filter(|i| i.adapter.is_some()).collect();
        wanted.sort();
        wanted.dedup();
        for item in wanted {
            let task = OrderSpec {
                op: OrderOp::LoadAdapter,
                model: item.model,
                adapter: item.adapter,
            };
            if !self.is_being_sent(now, &task) {
                self.place_adapter(now, task, item.worker.as_ref(), actions);
            }
        }
    }

    /// Returns whether an order was sent, has an unknown effect and will be sent again.
    fn is_being_sent(&self, now: Instant, task: &OrderSpec) -> bool {
        let mut pending = self.workers.iter().filter(|w| w.ledger.is_pending(task));
        pending.any(|w| !self.is_leaving(w) && !self.is_held_off(now, w))
    }

    fn place_adapter(
        &mut self,
        now: Instant,
        task: OrderSpec,
        required: Option<&BackendId>,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(adapter) = task.adapter.clone() else {
            return;
        };
        let mut eligible = self.holders(&task.model, None);
        eligible.retain(|at| {
            let worker = &self.workers[*at];
            let on_worker = required.is_none_or(|id| worker.registration.id == *id);
            on_worker && worker.ledger.may_order_adapter() && !self.is_held_off(now, worker)
        });
        let rank = |at: &usize| {
            let id = self.workers[*at].registration.id.as_str();
            rendezvous_score(adapter.as_str(), id, 1.0)
        };
        eligible.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let free = eligible
            .iter()
            .copied()
            .find(|at| self.free_adapter_slots(*at) > 0);
        if let Some(at) = free {
            self.record_use_on_worker(at, &adapter, now);
            return self.issue(now, at, task, actions);
        }
        let candidates = eligible
            .iter()
            .filter_map(|at| self.least_recently_used_adapter(*at, now));
        if let Some((_, at, unload)) = candidates.min_by_key(|(used, ..)| *used) {
            self.issue(now, at, unload, actions);
        }
    }

    fn free_adapter_slots(&self, at: usize) -> usize {
        let worker = &self.workers[at];
        let engine = self.engine_spec(&worker.registration.service);
        let slots = engine.map_or(0, |e| e.adapter_slots as usize);
        slots.saturating_sub(worker.ledger.state().adapters())
    }

    fn record_use_on_worker(&mut self, at: usize, adapter: &AdapterId, now: Instant) {
        let uses = &mut self.workers[at].adapter_uses;
        match uses.binary_search_by(|(a, _)| a.cmp(adapter)) {
            Ok(found) => uses[found].1 = now,
            Err(place) => uses.insert(place, (adapter.clone(), now)),
        }
    }

    /// Returns the last use of the least recently used adapter of a worker, and the task that
    /// unloads it.
    ///
    /// Returns `None` if every adapter was used within [`ADAPTER_IDLE_TIME`].
    fn least_recently_used_adapter(
        &self,
        at: usize,
        now: Instant,
    ) -> Option<(Instant, usize, OrderSpec)> {
        let worker = &self.workers[at];
        let last_use = |adapter: &AdapterId| {
            let found = worker
                .adapter_uses
                .binary_search_by(|(a, _)| a.cmp(adapter));
            found.map_or(Instant::ZERO, |found| worker.adapter_uses[found].1)
        };
        let held = worker.ledger.state().models.iter();
        let held = held.flat_map(|m| m.adapters.iter().map(move |a| (&m.id, a)));
        let (used, model, adapter) = held
            .map(|(m, a)| (last_use(a), m, a))
            .min_by_key(|(used, ..)| *used)?;
        let is_idle = now.since(used) >= ADAPTER_IDLE_TIME;
        is_idle.then(|| {
            let task = OrderSpec {
                op: OrderOp::UnloadAdapter,
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            (used, at, task)
        })
    }

    fn engine_specs(&self) -> impl Iterator<Item = &EngineSpec> {
        self.services.iter().filter_map(|s| s.engine.as_ref())
    }

    /// Returns the number of loads from the weight store that may start within one window.
    fn loads_per_window(&self) -> usize {
        let rate: f64 = self.engine_specs().map(|e| e.loads_per_second).sum();
        let allowed = truncate(rate * self.load_window.as_secs_f64());
        allowed.saturating_add(1).min(MAX_LOADS_PER_WINDOW)
    }

    /// Returns the number of concurrent loads that the weight store serves without slowing down.
    fn concurrent_loads(&self) -> usize {
        let at_once: f64 = self
            .engine_specs()
            .map(EngineSpec::concurrent_store_loads)
            .sum();
        truncate(at_once.round()).max(MIN_CONCURRENT_LOADS)
    }

    /// Returns the number of loads from the weight store that may start now.
    fn available_store_loads(&mut self, now: Instant) -> u32 {
        while self
            .store_loads
            .front()
            .is_some_and(|began| now.since(*began) >= self.load_window)
        {
            self.store_loads.pop_front();
        }
        let loading = self.workers.iter().filter(|w| {
            let task = w.ledger.model_order().filter(|t| t.op == OrderOp::Load);
            task.is_some_and(|t| !w.ledger.state().has_cached_copy(&t.model))
        });
        let free = self.concurrent_loads().saturating_sub(loading.count());
        let in_window = self
            .loads_per_window()
            .saturating_sub(self.store_loads.len());
        u32::try_from(free.min(in_window)).unwrap_or(u32::MAX)
    }

    /// Returns the total demand of all hosts, sorted by model.
    fn total_demand(&self, now: Instant) -> Vec<FleetDemand> {
        let fresh = self.demand.iter().filter(|n| !n.until.is_past(now));
        let mut all: Vec<(&ModelId, f64)> = fresh
            .flat_map(|n| n.models.iter().map(|(m, load)| (m, *load)))
            .collect();
        let waiting = |model: &ModelId| {
            let waits = |r: &PendingRequest| r.item.model == *model && r.item.adapter.is_none();
            self.requests.iter().any(waits)
        };
        all.extend(self.requests.iter().map(|r| (&r.item.model, 0.0)));
        let recent = |at: &Instant| now.since(*at) < RECENT_REQUEST_WINDOW;
        let recent_requests = self.model_requests.iter().filter(|(_, at)| recent(at));
        all.extend(recent_requests.map(|(model, _)| (model, 0.0)));
        all.sort_by(|a, b| a.0.cmp(b.0));
        let groups = all.chunk_by(|a, b| a.0 == b.0);
        let needs = groups.map(|group| FleetDemand {
            model: group[0].0.clone(),
            offered_load: group.iter().map(|g| g.1).sum(),
            waiting: waiting(group[0].0),
            recently_requested: true,
        });
        needs.collect()
    }

    /// Orders the placement changes whose gain exceeds their cost.
    fn place_models(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let store_loads = self.available_store_loads(now);
        let needs = self.total_demand(now);
        let services = self.services.iter();
        let changes: Vec<FleetChange> = services
            .filter_map(|s| Some((&s.name, s.engine.as_ref()?)))
            .flat_map(|(name, engine)| {
                place::plan_fleet(&FleetInput {
                    engine,
                    workers: self.fleet_workers(now, name, engine, &needs),
                    demand: &needs,
                    store_load_budget: store_loads,
                })
            })
            .collect();
        for change in changes {
            self.order_change(now, change, actions);
        }
    }

    fn fleet_workers<'a>(
        &'a self,
        now: Instant,
        service: &ServiceName,
        engine: &'a EngineSpec,
        needs: &[FleetDemand],
    ) -> Vec<FleetWorker<'a>> {
        let of_service = self.workers.iter();
        let of_service = of_service.filter(|w| w.registration.service == *service);
        of_service
            .map(|w| {
                let size = |m: &ModelId| engine.model(m.as_str()).map_or(Bytes::ZERO, |s| s.bytes);
                let held = held_models(w);
                FleetWorker {
                    id: &w.registration.id,
                    schedulable: !self.is_leaving(w),
                    accepts_orders: w.ledger.may_order_model() && !self.is_held_off(now, w),
                    used_memory: w.ledger.reserved(size),
                    state: w.ledger.state(),
                    utilization: self.worker_load(&held, needs),
                    recently_loaded: recently_loaded(w, now),
                    models: held,
                }
            })
            .collect()
    }

    /// Returns the share of its time that a worker spends on the models that it holds.
    fn worker_load(&self, held: &[&ModelId], needs: &[FleetDemand]) -> f64 {
        let share = |model: &&ModelId| {
            let at = needs.binary_search_by(|n| n.model.cmp(model)).ok()?;
            let copies = self.holders(model, None).len().max(1);
            Some(needs[at].offered_load / copies as f64)
        };
        held.iter().filter_map(share).sum()
    }

    fn order_change(&mut self, now: Instant, change: FleetChange, actions: &mut Vec<FleetAction>) {
        let (worker, model, op) = match change {
            FleetChange::Load {
                worker,
                model,
                from_store,
            } => {
                if from_store {
                    self.store_loads.push_back(now);
                }
                if let Some(at) = self.position(&worker) {
                    self.workers[at].last_load = Some((model.clone(), now));
                }
                (worker, model, OrderOp::Load)
            }
            FleetChange::Unload { worker, model } => (worker, model, OrderOp::Unload),
        };
        let Some(at) = self.position(&worker) else {
            return;
        };
        let task = OrderSpec {
            op,
            model,
            adapter: None,
        };
        self.issue(now, at, task, actions);
    }

    /// Returns the known incarnation of a worker.
    #[must_use]
    pub fn incarnation(&self, worker: &BackendId) -> Option<Incarnation> {
        let at = self.position(worker)?;
        Some(self.workers[at].ledger.state().incarnation)
    }
}

/// Returns the model whose load was ordered too recently for its copy to be removed.
fn recently_loaded(worker: &ManagedWorker, now: Instant) -> Option<&ModelId> {
    let (model, at) = worker.last_load.as_ref()?;
    (now.since(*at) < MIN_COPY_LIFETIME).then_some(model)
}

/// Returns the integer part of a non-negative number.
fn truncate(number: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, and the number is not negative"
    )]
    let truncated = number as usize;
    truncated
}

/// Returns the models that a worker serves or is loading, except one that it is unloading.
fn held_models(worker: &ManagedWorker) -> Vec<&ModelId> {
    let task = worker.ledger.model_order();
    let unloading = task.filter(|t| t.op == OrderOp::Unload).map(|t| &t.model);
    let loading = task.filter(|t| t.op == OrderOp::Load).map(|t| &t.model);
    let held = worker.ledger.state().models.iter().map(|m| &m.id);
    let mut held: Vec<&ModelId> = held
        .chain(loading)
        .filter(|m| Some(*m) != unloading)
        .collect();
    held.sort();
    held.dedup();
    held
}
