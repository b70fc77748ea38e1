//! State machine of the placement over all workers.

use std::collections::VecDeque;

use config::{EngineSpec, RoutedService};
use engine::Server;
use orders::{OrderSpec, SequencedOutcome, SequencedWorker};
use place::{FleetChange, FleetDemand, FleetInput, FleetWorker};
use types::{
    AdapterId, BackendId, Bytes, Deadline, Epoch, HostId, Incarnation, Instant, Micros, ModelId,
    OrderOp, Registration, ServiceName, WorkerState, score,
};

/// Time between two reports of a worker with an open order.
const OPEN_REPORT: Micros = Micros::from_millis(150);

/// Time between two reports of any other worker.
const IDLE_REPORT: Micros = Micros::from_secs(4);

/// Time between two rounds of placement.
const ROUND: Micros = Micros::from_millis(250);

/// Time for which the demand that a host told counts.
const NEED_TTL: Micros = Micros::from_secs(4);

/// Time for which a copy stays after it was loaded.
const SETTLE: Micros = Micros::from_secs(6);

/// Time for which a model counts as asked for lately.
const RECENT: Micros = Micros::from_secs(60);

/// Time before the first order within which wants are kept for it.
const SOON: Micros = Micros::from_millis(600);

/// Time for which a want is kept.
const WANT_TTL: Micros = Micros::from_secs(4);

/// Time without use after which an adapter is given up for another one.
///
/// Hosts tell the adapters in use every second, so one that was silent for longer is free; the
/// unload of one in use would hold up every other order to its worker.
const ADAPTER_REST: Micros = Micros::from_millis(1_800);

/// Loads from the weight store that may be under way at once, however slow it is.
///
/// Some are left for models that callers wait for, so fewer would never give a model another copy.
const MIN_LOADS_AT_ONCE: usize = 3;

/// Demand of a model below which it counts as none, in seconds of a worker a second.
const MIN_NEED: f64 = 0.001;

/// Order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerOrder {
    /// What is asked for.
    pub task: OrderSpec,
    /// Number of orders that the worker must have accepted before.
    pub expect: u64,
    /// Fencing token.
    pub fence: Epoch,
    /// Host that holds the lease.
    pub holder: HostId,
}

/// What callers wait for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlacementRequest {
    /// Model.
    pub model: ModelId,
    /// Adapter of it, if one is wanted.
    pub adapter: Option<AdapterId>,
    /// Worker that must hold it; without one, any may.
    pub worker: Option<BackendId>,
}

/// Number by which a want is answered.
pub type PlacementRequestId = u64;

/// Input of the machine.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Services and models changed.
    Services(Vec<RoutedService>),
    /// Registered backend servers, all of them.
    Registrations(Vec<Registration>),
    /// Authority began, and orders may be sent from an instant on.
    AuthorityGained(Epoch, Instant),
    /// Authority ended.
    AuthorityLost,
    /// A worker reported; nothing when it did not answer.
    Report(BackendId, Option<WorkerState>),
    /// Sending an order ended.
    OrderResult {
        /// Worker.
        worker: BackendId,
        /// Number of orders that it expected.
        expect: u64,
        /// How it ended.
        outcome: SequencedOutcome,
    },
    /// A host told the demand of its callers, in seconds of a worker a second.
    Demand(HostId, Vec<(ModelId, f64)>),
    /// A host told which adapters its callers used lately.
    AdaptersUsed(Vec<AdapterId>),
    /// Callers wait for a model or adapter.
    PlacementRequested(PlacementRequestId, PlacementRequest),
    /// Time passed.
    Tick,
}

/// Output of the machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Send an order to a worker.
    SendOrder(Server, WorkerOrder),
    /// Ask a worker for its report.
    FetchReport(Server),
    /// Answer a want with the workers that hold what it asks for, after a time.
    Reply(PlacementRequestId, Vec<BackendId>, Micros),
}

#[derive(Debug)]
struct Managed {
    registration: Registration,
    ledger: SequencedWorker,
    asking: bool,
    next_report: Instant,
    /// When adapters were last asked for or used, sorted by id.
    used: Vec<(AdapterId, Instant)>,
    /// Model that was ordered last, and when.
    loaded: Option<(ModelId, Instant)>,
}

impl Managed {
    fn server(&self) -> Server {
        Server {
            id: self.registration.id.clone(),
            addr: self.registration.addr,
        }
    }
}

#[derive(Debug)]
struct Want {
    id: PlacementRequestId,
    item: PlacementRequest,
    until: Deadline,
}

/// Demand that a host told, and the time until which it counts.
#[derive(Debug)]
struct HostNeeds {
    host: HostId,
    until: Deadline,
    models: Vec<(ModelId, f64)>,
}

/// Placement over all workers, as long as this host has authority.
#[derive(Debug)]
pub struct Fleet {
    host: HostId,
    load_window: Micros,
    services: Vec<RoutedService>,
    /// Sorted by id.
    workers: Vec<Managed>,
    needs: Vec<HostNeeds>,
    wants: Vec<Want>,
    /// When models were last asked for, sorted by id.
    asked: Vec<(ModelId, Instant)>,
    /// Starts of loads from the weight store within the window.
    store_loads: VecDeque<Instant>,
    authority: Option<(Epoch, Instant)>,
    next_round: Instant,
}

impl Fleet {
    /// Makes a machine without authority.
    #[must_use]
    pub fn new(host: HostId, load_window: Micros) -> Self {
        Self {
            host,
            load_window,
            services: Vec::new(),
            workers: Vec::new(),
            needs: Vec::new(),
            wants: Vec::new(),
            asked: Vec::new(),
            store_loads: VecDeque::new(),
            authority: None,
            next_round: Instant::ZERO,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, now: Instant, ev: FleetEvent, out: &mut Vec<FleetAction>) {
        self.handle_event(now, ev, out);
        self.poll(now, out);
    }

    /// Takes an event; what is due because of it is done by [`Fleet::act`].
    ///
    /// Looking for what is due visits every worker, so a driver takes all events that wait first.
    pub fn handle_event(&mut self, now: Instant, ev: FleetEvent, out: &mut Vec<FleetAction>) {
        match ev {
            FleetEvent::Services(services) => self.services = services,
            FleetEvent::Registrations(all) => self.registered(all),
            FleetEvent::AuthorityGained(epoch, from) => self.begin(now, epoch, from),
            FleetEvent::AuthorityLost => self.end(out),
            FleetEvent::Report(worker, state) => self.reported(&worker, state),
            FleetEvent::OrderResult {
                worker,
                expect,
                outcome,
            } => self.answered(now, &worker, expect, outcome, out),
            FleetEvent::Demand(host, needs) => self.told(now, host, needs),
            FleetEvent::AdaptersUsed(adapters) => self.used(now, &adapters),
            FleetEvent::PlacementRequested(id, item) => self.want(now, id, item),
            FleetEvent::Tick => {}
        }
    }

    /// Returns the epoch under which orders may be sent now.
    #[must_use]
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        let (epoch, from) = self.authority?;
        (now >= from).then_some(epoch)
    }

    fn begin(&mut self, now: Instant, epoch: Epoch, from: Instant) {
        self.authority = Some((epoch, from));
        for worker in &mut self.workers {
            worker.ledger = SequencedWorker::default();
            worker
                .ledger
                .apply_registration(worker.registration.state.clone());
            worker.asking = false;
            worker.next_report = now;
        }
        // A former holder may have used the whole window up to its end.
        self.store_loads.clear();
        if from > now {
            let allowed = self.allowed_loads();
            self.store_loads.extend(std::iter::repeat_n(now, allowed));
        }
    }

    fn end(&mut self, out: &mut Vec<FleetAction>) {
        self.authority = None;
        let nowhere = |w: Want| FleetAction::Reply(w.id, Vec::new(), Micros::ZERO);
        out.extend(self.wants.drain(..).map(nowhere));
    }

    fn engine(&self, service: &ServiceName) -> Option<&EngineSpec> {
        let at = self
            .services
            .binary_search_by(|s| s.name.cmp(service))
            .ok()?;
        self.services[at].engine.as_ref()
    }

    fn find(&self, worker: &BackendId) -> Option<usize> {
        let found = self
            .workers
            .binary_search_by(|w| w.registration.id.cmp(worker));
        found.ok()
    }

    fn registered(&mut self, all: Vec<Registration>) {
        let mut old = std::mem::take(&mut self.workers);
        for registration in all {
            if self.engine(&registration.service).is_none() {
                continue;
            }
            let known = old
                .iter()
                .position(|w| w.registration.id == registration.id);
            let mut worker = match known {
                Some(at) => old.swap_remove(at),
                None => Managed {
                    registration: registration.clone(),
                    ledger: SequencedWorker::default(),
                    asking: false,
                    next_report: Instant::ZERO,
                    used: Vec::new(),
                    loaded: None,
                },
            };
            worker.ledger.apply_registration(registration.state.clone());
            worker.registration = registration;
            self.workers.push(worker);
        }
        self.workers
            .sort_by(|a, b| a.registration.id.cmp(&b.registration.id));
    }

    fn reported(&mut self, worker: &BackendId, state: Option<WorkerState>) {
        let Some(at) = self.find(worker) else {
            return;
        };
        self.workers[at].asking = false;
        if let Some(state) = state {
            self.workers[at].ledger.apply_report(state);
        }
    }

    fn answered(
        &mut self,
        now: Instant,
        worker: &BackendId,
        expect: u64,
        outcome: SequencedOutcome,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(at) = self.find(worker) else {
            return;
        };
        self.workers[at].next_report = now + OPEN_REPORT;
        let Some(task) = self.workers[at].ledger.finish_send(expect, outcome) else {
            return;
        };
        if task.op != OrderOp::LoadAdapter {
            return;
        }
        let done = |w: &Want| {
            let here = w.item.worker.as_ref().is_none_or(|on| on == worker);
            here && w.item.model == task.model && w.item.adapter == task.adapter
        };
        for want in self.wants.extract_if(.., |w| done(w)) {
            let after = SequencedWorker::adapter_delay();
            out.push(FleetAction::Reply(want.id, vec![worker.clone()], after));
        }
    }

    fn told(&mut self, now: Instant, host: HostId, needs: Vec<(ModelId, f64)>) {
        for (model, load) in &needs {
            if *load > MIN_NEED {
                self.note_asked(now, model);
            }
        }
        let until = Deadline::after(now, NEED_TTL);
        self.needs
            .retain(|n| n.host != host && !n.until.is_past(now));
        self.needs.push(HostNeeds {
            host,
            until,
            models: needs,
        });
    }

    fn used(&mut self, now: Instant, adapters: &[AdapterId]) {
        for worker in &mut self.workers {
            for adapter in adapters {
                if let Ok(at) = worker.used.binary_search_by(|(a, _)| a.cmp(adapter)) {
                    worker.used[at].1 = now;
                }
            }
        }
    }

    fn want(&mut self, now: Instant, id: PlacementRequestId, item: PlacementRequest) {
        self.note_asked(now, &item.model);
        let soon = now + SOON;
        let until = match self.authority {
            Some((_, from)) if from <= soon => Deadline::after(now, WANT_TTL),
            // Waiting for the end of the gap between two holders would be in vain.
            _ => Deadline::at(now),
        };
        self.wants.push(Want { id, item, until });
    }

    fn note_asked(&mut self, now: Instant, model: &ModelId) {
        match self.asked.binary_search_by(|(m, _)| m.cmp(model)) {
            Ok(at) => self.asked[at].1 = now,
            Err(at) => self.asked.insert(at, (model.clone(), now)),
        }
    }

    /// Does everything that is due.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        self.answer_wants(now, out);
        if self.epoch(now).is_none() {
            return;
        }
        self.ask_reports(now, out);
        self.repeat_orders(now, out);
        self.place_adapters(now, out);
        if now >= self.next_round {
            self.next_round = now + ROUND;
            self.place_models(now, out);
        }
    }

    /// Returns the usable workers that hold a model, and an adapter of it if one is named.
    fn holders(&self, model: &ModelId, adapter: Option<&AdapterId>) -> Vec<usize> {
        let holds = |w: &Managed| {
            let held = w.ledger.state().model(model);
            let leaves = w
                .ledger
                .model_order()
                .is_some_and(|t| t.op == OrderOp::Unload && t.model == *model);
            held.is_some_and(|h| adapter.is_none_or(|a| h.adapters.binary_search(a).is_ok()))
                && !leaves
                && !w.registration.leaving
        };
        let workers = self.workers.iter().enumerate();
        workers
            .filter(|(_, w)| holds(w))
            .map(|(at, _)| at)
            .collect()
    }

    fn answer_wants(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        let mut wants = std::mem::take(&mut self.wants);
        wants.retain(|want| {
            let mut holders = self.holders(&want.item.model, want.item.adapter.as_ref());
            if let Some(on) = &want.item.worker {
                holders.retain(|at| self.workers[*at].registration.id == *on);
            }
            if holders.is_empty() && !want.until.is_past(now) {
                return true;
            }
            let ids = holders
                .iter()
                .map(|at| self.workers[*at].registration.id.clone());
            out.push(FleetAction::Reply(want.id, ids.collect(), Micros::ZERO));
            false
        });
        self.wants = wants;
    }

    fn ask_reports(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        for worker in &mut self.workers {
            let open = worker.ledger.awaits_report();
            if open {
                worker.next_report = worker.next_report.min(now + OPEN_REPORT);
            }
            if worker.asking || now < worker.next_report {
                continue;
            }
            worker.asking = true;
            worker.next_report = now + if open { OPEN_REPORT } else { IDLE_REPORT };
            out.push(FleetAction::FetchReport(worker.server()));
        }
    }

    fn order(&self, task: OrderSpec, expect: u64, fence: Epoch) -> WorkerOrder {
        WorkerOrder {
            task,
            expect,
            fence,
            holder: self.host.clone(),
        }
    }

    fn repeat_orders(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        let Some(fence) = self.epoch(now) else {
            return;
        };
        for at in 0..self.workers.len() {
            if let Some((task, expect)) = self.workers[at].ledger.take_resend(now) {
                let server = self.workers[at].server();
                out.push(FleetAction::SendOrder(
                    server,
                    self.order(task, expect, fence),
                ));
            }
        }
    }

    fn issue(&mut self, now: Instant, at: usize, task: OrderSpec, out: &mut Vec<FleetAction>) {
        let Some(fence) = self.epoch(now) else {
            return;
        };
        let worker = &mut self.workers[at];
        let expect = worker.ledger.begin_send(now, task.clone());
        let server = worker.server();
        out.push(FleetAction::SendOrder(
            server,
            self.order(task, expect, fence),
        ));
    }

    /// Orders the adapters that callers wait for.
    fn place_adapters(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        let wanted = self.wants.iter().map(|w| w.item.clone());
        let mut wanted: Vec<PlacementRequest> = wanted.filter(|i| i.adapter.is_some()).collect();
        wanted.sort();
        wanted.dedup();
        for item in wanted {
            let task = OrderSpec {
                op: OrderOp::LoadAdapter,
                model: item.model,
                adapter: item.adapter,
            };
            if !self.is_pending(&task) {
                self.place_adapter(now, task, item.worker.as_ref(), out);
            }
        }
    }

    fn is_pending(&self, task: &OrderSpec) -> bool {
        self.workers.iter().any(|w| w.ledger.is_pending(task))
    }

    fn place_adapter(
        &mut self,
        now: Instant,
        task: OrderSpec,
        on: Option<&BackendId>,
        out: &mut Vec<FleetAction>,
    ) {
        let Some(adapter) = task.adapter.clone() else {
            return;
        };
        let mut able = self.holders(&task.model, None);
        able.retain(|at| {
            let worker = &self.workers[*at];
            let here = on.is_none_or(|on| worker.registration.id == *on);
            here && worker.ledger.may_order_adapter()
        });
        let rank = |at: &usize| {
            let id = self.workers[*at].registration.id.as_str();
            score(adapter.as_str(), id, 1.0)
        };
        able.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let free = able
            .iter()
            .copied()
            .find(|at| self.free_adapter_slots(*at) > 0);
        if let Some(at) = free {
            self.note_used(at, &adapter, now);
            return self.issue(now, at, task, out);
        }
        let oldest = able.iter().filter_map(|at| self.oldest_adapter(*at, now));
        if let Some((_, at, unload)) = oldest.min_by_key(|(used, ..)| *used) {
            self.issue(now, at, unload, out);
        }
    }

    fn free_adapter_slots(&self, at: usize) -> usize {
        let worker = &self.workers[at];
        let engine = self.engine(&worker.registration.service);
        let slots = engine.map_or(0, |e| e.adapter_slots as usize);
        slots.saturating_sub(worker.ledger.state().adapters())
    }

    fn note_used(&mut self, at: usize, adapter: &AdapterId, now: Instant) {
        let used = &mut self.workers[at].used;
        match used.binary_search_by(|(a, _)| a.cmp(adapter)) {
            Ok(found) => used[found].1 = now,
            Err(place) => used.insert(place, (adapter.clone(), now)),
        }
    }

    /// Returns the adapter of a worker that was not used for the longest time.
    fn oldest_adapter(&self, at: usize, now: Instant) -> Option<(Instant, usize, OrderSpec)> {
        let worker = &self.workers[at];
        let last_use = |adapter: &AdapterId| {
            let found = worker.used.binary_search_by(|(a, _)| a.cmp(adapter));
            found.map_or(Instant::ZERO, |found| worker.used[found].1)
        };
        let held = worker.ledger.state().models.iter();
        let held = held.flat_map(|m| m.adapters.iter().map(move |a| (&m.id, a)));
        let (used, model, adapter) = held
            .map(|(m, a)| (last_use(a), m, a))
            .min_by_key(|(used, ..)| *used)?;
        let rested = now.since(used) >= ADAPTER_REST;
        rested.then(|| {
            let task = OrderSpec {
                op: OrderOp::UnloadAdapter,
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            (used, at, task)
        })
    }

    fn engines(&self) -> impl Iterator<Item = &EngineSpec> {
        self.services.iter().filter_map(|s| s.engine.as_ref())
    }

    /// Returns the loads from the weight store that may begin in one window.
    fn allowed_loads(&self) -> usize {
        let rate: f64 = self.engines().map(|e| e.loads_per_second).sum();
        whole(rate * self.load_window.as_secs_f64()) + 1
    }

    /// Returns the loads that the weight store serves at once without slowing down.
    fn loads_at_once(&self) -> usize {
        let at_once: f64 = self.engines().map(EngineSpec::store_loads_at_once).sum();
        whole(at_once.round()).max(MIN_LOADS_AT_ONCE)
    }

    /// Returns the loads from the weight store that may begin now.
    fn free_store_loads(&mut self, now: Instant) -> u32 {
        while self
            .store_loads
            .front()
            .is_some_and(|began| now.since(*began) >= self.load_window)
        {
            self.store_loads.pop_front();
        }
        let under_way = self.workers.iter().filter(|w| {
            let task = w.ledger.model_order().filter(|t| t.op == OrderOp::Load);
            task.is_some_and(|t| !w.ledger.state().has_copy(&t.model))
        });
        let at_once = self.loads_at_once().saturating_sub(under_way.count());
        let in_window = self.allowed_loads().saturating_sub(self.store_loads.len());
        u32::try_from(at_once.min(in_window)).unwrap_or(u32::MAX)
    }

    /// Returns the demand over all hosts, sorted by model.
    fn total_needs(&self, now: Instant) -> Vec<FleetDemand> {
        let fresh = self.needs.iter().filter(|n| !n.until.is_past(now));
        let mut all: Vec<(&ModelId, f64)> = fresh
            .flat_map(|n| n.models.iter().map(|(m, load)| (m, *load)))
            .collect();
        let waiting = |model: &ModelId| {
            let waits = |w: &Want| w.item.model == *model && w.item.adapter.is_none();
            self.wants.iter().any(waits)
        };
        all.extend(self.wants.iter().map(|w| (&w.item.model, 0.0)));
        let recent = |at: &Instant| now.since(*at) < RECENT;
        let asked = self.asked.iter().filter(|(_, at)| recent(at));
        all.extend(asked.map(|(model, _)| (model, 0.0)));
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

    /// Orders the changes of placement that are worth their cost.
    fn place_models(&mut self, now: Instant, out: &mut Vec<FleetAction>) {
        let store_loads = self.free_store_loads(now);
        let needs = self.total_needs(now);
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
            self.order_change(now, change, out);
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
                    schedulable: !w.registration.leaving,
                    accepts_orders: w.ledger.may_order_model(),
                    used_memory: w.ledger.reserved(size),
                    state: w.ledger.state(),
                    utilization: self.load_of(&held, needs),
                    recently_loaded: settling(w, now),
                    models: held,
                }
            })
            .collect()
    }

    /// Returns the share of a worker's time that its models take.
    fn load_of(&self, held: &[&ModelId], needs: &[FleetDemand]) -> f64 {
        let share = |model: &&ModelId| {
            let at = needs.binary_search_by(|n| n.model.cmp(model)).ok()?;
            let copies = self.holders(model, None).len().max(1);
            Some(needs[at].offered_load / copies as f64)
        };
        held.iter().filter_map(share).sum()
    }

    fn order_change(&mut self, now: Instant, change: FleetChange, out: &mut Vec<FleetAction>) {
        let (worker, model, op) = match change {
            FleetChange::Load {
                worker,
                model,
                from_store,
            } => {
                if from_store {
                    self.store_loads.push_back(now);
                }
                if let Some(at) = self.find(&worker) {
                    self.workers[at].loaded = Some((model.clone(), now));
                }
                (worker, model, OrderOp::Load)
            }
            FleetChange::Unload { worker, model } => (worker, model, OrderOp::Unload),
        };
        let Some(at) = self.find(&worker) else {
            return;
        };
        let task = OrderSpec {
            op,
            model,
            adapter: None,
        };
        self.issue(now, at, task, out);
    }

    /// Returns the life of a worker, for the log.
    #[must_use]
    pub fn incarnation(&self, worker: &BackendId) -> Option<Incarnation> {
        let at = self.find(worker)?;
        Some(self.workers[at].ledger.state().incarnation)
    }
}

/// Returns the model whose copy was loaded so lately that it stays.
fn settling(worker: &Managed, now: Instant) -> Option<&ModelId> {
    let (model, at) = worker.loaded.as_ref()?;
    (now.since(*at) < SETTLE).then_some(model)
}

/// Returns the whole part of a number that is not negative.
fn whole(number: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, and the number is not negative"
    )]
    let whole = number as usize;
    whole
}

/// Returns the models that a worker serves or loads, without one that it unloads.
fn held_models(worker: &Managed) -> Vec<&ModelId> {
    let task = worker.ledger.model_order();
    let leaves = task.filter(|t| t.op == OrderOp::Unload).map(|t| &t.model);
    let comes = task.filter(|t| t.op == OrderOp::Load).map(|t| &t.model);
    let held = worker.ledger.state().models.iter().map(|m| &m.id);
    let mut held: Vec<&ModelId> = held.chain(comes).filter(|m| Some(*m) != leaves).collect();
    held.sort();
    held.dedup();
    held
}
