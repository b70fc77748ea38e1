//! State machine of the placement on all workers.

mod adapters;
mod models;

use std::collections::VecDeque;

use config::{EngineSpec, RoutedService};
use engine::Server;
use orders::{OrderSpec, SequencedOutcome, SequencedWorker};
use types::{
    AdapterId, BackendId, Deadline, Epoch, HostId, Incarnation, Instant, Micros, ModelId, OrderOp,
    Registration, ServerNotice, ServiceName, WorkerState,
};

use crate::fleet::notices::WorkerNotices;

/// Interval between reports of a worker with an open order.
const OPEN_ORDER_REPORT_INTERVAL: Micros = Micros::from_millis(150);

/// Interval between reports of any other worker.
const IDLE_REPORT_INTERVAL: Micros = Micros::from_secs(4);

/// Interval between reports of a worker that does not respond, after which it is known to be back.
const UNRESPONSIVE_REPORT_INTERVAL: Micros = Micros::from_secs(1);

/// Minimum time between two checks whether a worker has crashed. Many hosts report the same crash.
const CRASH_CHECK_INTERVAL: Micros = Micros::from_secs(1);

/// Interval between placement rounds.
const ROUND_INTERVAL: Micros = Micros::from_millis(250);

/// Time for which the demand reported by a host is valid.
const DEMAND_TTL: Micros = Micros::from_secs(4);

/// Longest wait for the end of the takeover delay for which a placement request is kept.
const MAX_START_WAIT: Micros = Micros::from_millis(600);

/// Time for which a placement request is kept.
const REQUEST_TTL: Micros = Micros::from_secs(4);

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
    /// Callers' requests show that an incarnation of a worker may have crashed.
    Crashed {
        /// Worker.
        worker: BackendId,
        /// Incarnation that may have ended.
        incarnation: Incarnation,
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
    /// Whether the last request for a report got no response.
    report_failed: bool,
    /// Whether callers' requests show a crash that no report has refuted.
    may_have_crashed: bool,
    /// Time until which further reports of a crash are ignored.
    next_crash_check: Deadline,
    /// Time of the last request or use of each adapter, sorted by id.
    adapter_uses: Vec<(AdapterId, Instant)>,
    /// Model whose load was ordered last, and when.
    last_load: Option<(ModelId, Instant)>,
}

impl ManagedWorker {
    /// Returns whether the worker does not respond, so that its copies serve nobody.
    ///
    /// The platform lists a worker that has crashed until its entry expires. A report that fails is not enough: the
    /// network of this host may be cut, and other hosts use the copies.
    fn is_unresponsive(&self) -> bool {
        self.may_have_crashed && self.report_failed
    }

    fn record_response(&mut self) {
        self.report_failed = false;
        self.may_have_crashed = false;
    }

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
            FleetEvent::Report(worker, state) => self.handle_report(now, &worker, state),
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
            FleetEvent::Crashed {
                worker,
                incarnation,
            } => self.check_crashed(now, &worker, incarnation),
            FleetEvent::Tick => {}
        }
    }

    /// Returns whether a worker leaves, by its registration or its own announcement.
    fn is_leaving(&self, worker: &ManagedWorker) -> bool {
        let registration = &worker.registration;
        let state = worker.ledger.state();
        registration.leaving || self.notices.is_leaving(&registration.id, state)
    }

    /// Returns whether callers can use what a worker holds and loads.
    fn is_usable(&self, worker: &ManagedWorker) -> bool {
        !self.is_leaving(worker) && !worker.is_unresponsive()
    }

    /// Fetches a report of a worker that may have crashed at once.
    fn check_crashed(&mut self, now: Instant, worker: &BackendId, incarnation: Incarnation) {
        if let Some(at) = self.position(worker)
            && self.workers[at].ledger.state().incarnation == incarnation
            && self.workers[at].next_crash_check.is_past(now)
            && !self.workers[at].is_unresponsive()
        {
            let worker = &mut self.workers[at];
            worker.may_have_crashed = true;
            worker.report_failed = false;
            worker.next_report = now;
            worker.next_crash_check = Deadline::after(now, CRASH_CHECK_INTERVAL);
        }
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
            worker.record_response();
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
                    report_failed: false,
                    may_have_crashed: false,
                    next_crash_check: Deadline::at(Instant::ZERO),
                    adapter_uses: Vec::new(),
                    last_load: None,
                },
            };
            let last = worker.registration.state.incarnation;
            let new = registration.state.incarnation;
            if new != last {
                worker.record_response();
                worker.next_crash_check = Deadline::at(Instant::ZERO);
            }
            if new < last {
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

    fn handle_report(&mut self, now: Instant, worker: &BackendId, state: Option<WorkerState>) {
        let Some(at) = self.position(worker) else {
            return;
        };
        let worker = &mut self.workers[at];
        worker.report_requested = false;
        if let Some(state) = state {
            worker.record_response();
            worker.ledger.apply_report(state);
            return;
        }
        worker.report_failed = true;
        if worker.is_unresponsive() {
            worker.next_report = now + UNRESPONSIVE_REPORT_INTERVAL;
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
        if !self.workers[at].is_unresponsive() {
            self.workers[at].next_report = now + OPEN_ORDER_REPORT_INTERVAL;
        }
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
                && self.is_usable(w)
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
            let open = worker.ledger.awaits_report()
                && !self.notices.is_leaving(id, state)
                && !worker.is_unresponsive();
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
            if !self.is_usable(worker) || self.is_held_off(now, worker) {
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

    /// Returns the known incarnation of a worker.
    #[must_use]
    pub fn incarnation(&self, worker: &BackendId) -> Option<Incarnation> {
        let at = self.position(worker)?;
        Some(self.workers[at].ledger.state().incarnation)
    }
}
