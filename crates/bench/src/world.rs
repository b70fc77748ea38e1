//! Runs one load case in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use config::{Deployment, InForce};
use place::{CopyState, Demand, Held, Input, Move};
use route::{Action, Event, Failure, SlotTable, Target, Ticket};
use types::{
    Bytes, Code, ConfigVersion, DataCentreId, Deadline, Epoch, Incarnation, Instant, LoadReport,
    Micros, ModelId, Ran, RequestId, Resident, RetryReason,
};

use crate::{
    load::{STEP, arrivals},
    policy::{Place, Route, Routing},
    spec::{BASE_TOKENS, Case, GIB, SECONDS, Spec},
    worker::{Running, Worker},
};

/// Entry hosts.
pub const HOSTS: usize = 7;
/// Memory that second copies of the floor leave free on a worker, for replicas and new versions.
const SPARE: Bytes = Bytes::new(16 * GIB);
/// Second in which a server is lost or a new file is applied.
const EVENT_SECOND: u64 = 40;
/// Runs of each case; the best of nine baselines of one run is too much a matter of luck.
const SEEDS: u64 = 3;
const STEPS_PER_SECOND: u64 = 1_000_000 / STEP.get();

/// What a run measures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measures {
    /// Requests and those answered in time, by priority.
    pub by_priority: [(u64, u64); 3],
    pub moves: u64,
    pub refused: BTreeMap<Code, u64>,
    pub retries: u64,
    pub adapter_loads: usize,
    /// Longest time for which a model that had a copy had none, in seconds.
    pub without_copy: f64,
}

impl Measures {
    fn add(&mut self, other: &Self) {
        for (sum, more) in self.by_priority.iter_mut().zip(&other.by_priority) {
            *sum = (sum.0 + more.0, sum.1 + more.1);
        }
        for (code, n) in &other.refused {
            *self.refused.entry(*code).or_insert(0) += n;
        }
        self.moves += other.moves;
        self.retries += other.retries;
        self.adapter_loads = self.adapter_loads.max(other.adapter_loads);
        self.without_copy = self.without_copy.max(other.without_copy);
    }

    pub fn attainment(&self) -> f64 {
        let sum = |f: fn(&(u64, u64)) -> u64| self.by_priority.iter().map(f).sum::<u64>() as f64;
        sum(|p| p.1) / sum(|p| p.0).max(1.0)
    }
}

/// Request with the hosts and the worker that handle it.
struct Job {
    ticket: Ticket,
    origin: usize,
    host: usize,
    worker: Option<usize>,
    open: bool,
}

/// Order that takes effect later.
struct Pending {
    at: Instant,
    worker: usize,
    held: Held,
}

struct World<'a> {
    spec: &'a Spec,
    case: Case,
    place: Place,
    deployment: Arc<Deployment>,
    hosts: Vec<Box<dyn Routing>>,
    workers: Vec<Worker>,
    jobs: Vec<Job>,
    reports: Vec<(Instant, usize, Arc<LoadReport>)>,
    pending: Vec<Pending>,
    store: Vec<Instant>,
    adapter_wants: Vec<(usize, usize, ModelId)>,
    adapter_loads: Vec<(Instant, usize, usize, ModelId)>,
    wants: Vec<Vec<ModelId>>,
    slots: SlotTable,
    without: BTreeMap<ModelId, (bool, f64)>,
    now: Instant,
    out: Measures,
}

/// Runs a load case with the given policies, once for each seed, and adds up the measures.
pub fn run(spec: &Spec, case: Case, route: Route, place: Place) -> Measures {
    let mut sum = Measures::default();
    for seed in 0..SEEDS {
        sum.add(&run_once(spec, case, route, place, seed));
    }
    sum
}

fn run_once(spec: &Spec, case: Case, route: Route, place: Place, seed: u64) -> Measures {
    let deployment = spec.deployment(1);
    let load = arrivals(case, seed, spec, &deployment, HOSTS);
    let mut world = World::new(spec, case, route, place, seed, deployment);
    world.configure(1);
    let mut next = 0;
    for step in 0..SECONDS * STEPS_PER_SECOND {
        world.now = world.now + STEP;
        while let Some((_, host, ticket)) = load.get(next).filter(|a| a.0 <= step) {
            world.arrive(*host, ticket);
            next += 1;
        }
        world.step(step);
    }
    world.out.retries = world.hosts.iter().map(|h| h.retries()).sum();
    world.out
}

impl<'a> World<'a> {
    fn new(
        spec: &'a Spec,
        case: Case,
        route: Route,
        place: Place,
        seed: u64,
        deployment: Arc<Deployment>,
    ) -> Self {
        let hosts = (0..HOSTS).map(|h| route.host(dc_id(h % spec.dcs), 10 * seed + h as u64));
        let workers = deployment.backends.iter().enumerate().map(|(at, b)| {
            let bias = [1.0, 0.85, 1.1][at % 3];
            let memory = b.memory.saturating_sub(b.adapter_pool);
            Worker::new(at % spec.dcs, b.speed, bias, memory)
        });
        let mut world = Self {
            spec,
            case,
            place,
            hosts: hosts.collect(),
            workers: workers.collect(),
            jobs: Vec::new(),
            reports: Vec::new(),
            pending: Vec::new(),
            store: Vec::new(),
            adapter_wants: Vec::new(),
            adapter_loads: Vec::new(),
            wants: vec![Vec::new(); spec.dcs],
            slots: SlotTable::new(Micros::from_secs(60)),
            without: BTreeMap::new(),
            now: Instant::from_micros(10_000_000),
            out: Measures::default(),
            deployment,
        };
        for copy in world.floor() {
            let model = world.deployment.models.iter().find(|m| m.id == copy.model);
            let model = model.expect("a model of the file");
            let (version, bytes) = (model.version.clone(), model.bytes);
            world.workers[index(copy.worker.as_str())].held.push(Held {
                model: copy.model,
                version,
                bytes,
                state: CopyState::Ready,
            });
        }
        world
    }

    fn floor(&self) -> Vec<place::Copy> {
        place::floor(&self.deployment, SPARE).expect("the reference deployments fit")
    }

    fn configure(&mut self, version: u64) {
        let in_force = Arc::new(InForce {
            version: ConfigVersion::new(version),
            deployment: Arc::clone(&self.deployment),
        });
        for host in 0..HOSTS {
            self.tell(host, Event::Config(Arc::clone(&in_force)));
        }
        self.exchange();
        for w in 0..self.workers.len() {
            let report = self.report(w, Micros::ZERO);
            self.deliver(w, &report);
        }
    }

    fn step(&mut self, step: u64) {
        let now = self.now;
        if step == EVENT_SECOND * STEPS_PER_SECOND {
            self.disturb();
        }
        for w in 0..self.workers.len() {
            for job in self.workers[w].advance(now, STEP.as_secs_f64()) {
                self.finish(w, job);
            }
        }
        self.expire();
        self.finish_adapters();
        self.finish_orders();
        if step.is_multiple_of(50) {
            self.publish();
        }
        while let Some(at) = self.reports.iter().position(|r| r.0 <= now) {
            let (_, w, report) = self.reports.remove(at);
            self.deliver(w, &report);
        }
        if step.is_multiple_of(100) {
            self.exchange();
            self.place();
        }
        if step.is_multiple_of(5) {
            for host in 0..HOSTS {
                self.tell(host, Event::Tick);
            }
        }
        self.observe();
    }

    fn hosts_of(&self, dc: usize) -> impl Iterator<Item = usize> + use<> {
        let dcs = self.spec.dcs;
        (0..HOSTS).filter(move |h| h % dcs == dc)
    }

    /// Gives an event to a host and carries out its actions.
    fn tell(&mut self, host: usize, ev: Event) {
        let mut out = Vec::new();
        self.hosts[host].step(self.now, ev, &mut out);
        for action in out {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Dispatch { id, backend, .. } => {
                self.dispatch(host, id, index(backend.as_str()));
            }
            Action::Forward { id, dc } => self.forward(id, index(dc.as_str())),
            Action::Refuse { id, code, .. } => self.refused(host, id, code),
            Action::AskSlot {
                id,
                fingerprint,
                backend,
            } => {
                let granted = self.slots.grant(self.now, fingerprint, &backend);
                self.tell(host, Event::Slot { id, granted });
            }
            Action::ShareSuspects(marks) => {
                self.slots.hear(&marks);
                for peer in (0..HOSTS).filter(|p| *p != host) {
                    self.tell(peer, Event::Suspects(marks.clone()));
                }
            }
            Action::Want { model, adapter } => {
                let dc = host % self.spec.dcs;
                if let Some(adapter) = adapter {
                    let want = (dc, index(adapter.as_str()), model);
                    if !self.adapter_wants.contains(&want) {
                        self.adapter_wants.push(want);
                    }
                } else if !self.wants[dc].contains(&model) {
                    self.wants[dc].push(model);
                }
            }
        }
    }

    fn arrive(&mut self, host: usize, ticket: &Ticket) {
        let mut ticket = ticket.clone();
        let length = Micros::new(ticket.deadline.instant().as_micros());
        ticket.deadline = Deadline::after(self.now, length);
        self.out.by_priority[usize::from(ticket.priority.get())].0 += 1;
        self.jobs.push(Job {
            ticket: ticket.clone(),
            origin: host,
            host,
            worker: None,
            open: true,
        });
        self.tell(host, Event::Arrive(ticket));
    }

    fn dispatch(&mut self, host: usize, id: RequestId, w: usize) {
        let ticket = self.jobs[number(id)].ticket.clone();
        let Target::Model { model, adapter } = &ticket.target else {
            return;
        };
        if !self.workers[w].is_ready(model) {
            let reason = if self.workers[w].live {
                RetryReason::NotResident
            } else {
                RetryReason::Unreachable
            };
            return self.tell(host, failed(id, reason, false));
        }
        let gate = adapter
            .as_ref()
            .map_or(self.now, |a| self.gate(w, index(a.as_str()), model));
        self.jobs[number(id)].worker = Some(w);
        let req = Running {
            job: number(id),
            priority: ticket.priority.get(),
            left: 0.0,
            gate,
        };
        let now = self.now;
        let worker = &mut self.workers[w];
        worker.use_model(model, now);
        worker.take(
            req,
            ticket.output_tokens,
            ticket.prompt_tokens,
            &ticket.prefixes,
        );
    }

    /// Returns when an adapter is loaded, and loads it if it is not.
    fn gate(&mut self, w: usize, adapter: usize, model: &ModelId) -> Instant {
        if self.workers[w].touch_adapter(adapter) {
            return self.now;
        }
        let loading = self
            .adapter_loads
            .iter()
            .find(|l| l.1 == w && l.2 == adapter);
        if let Some(loading) = loading {
            return loading.0;
        }
        self.load_adapter(w, adapter, model.clone())
    }

    fn load_adapter(&mut self, w: usize, adapter: usize, model: ModelId) -> Instant {
        let in_flight = self.adapter_loads.len() + 1;
        let limit = u64::from(self.spec.adapter_limit);
        let done = self.now + Micros::new(5_000 * (in_flight as u64).max(limit) / limit);
        self.adapter_loads.push((done, w, adapter, model));
        self.out.adapter_loads = self.out.adapter_loads.max(in_flight);
        done
    }

    fn finish_adapters(&mut self) {
        let now = self.now;
        while let Some(at) = self.adapter_loads.iter().position(|l| l.0 <= now) {
            let (_, w, adapter, model) = self.adapter_loads.remove(at);
            self.workers[w].add_adapter(adapter);
            for host in self.hosts_of(self.workers[w].dc) {
                let ev = Event::Resident {
                    backend: self.deployment.backends[w].id.clone(),
                    model: model.clone(),
                    adapter: Some(self.deployment.adapters[adapter].id.clone()),
                };
                self.tell(host, ev);
            }
        }
        let share = self.spec.adapter_limit as usize / self.spec.dcs;
        for (dc, adapter, model) in std::mem::take(&mut self.adapter_wants) {
            let here = |l: &&(Instant, usize, usize, ModelId)| self.workers[l.1].dc == dc;
            if self.adapter_loads.iter().filter(here).count() >= share {
                self.adapter_wants.push((dc, adapter, model));
                continue;
            }
            let holders = (0..self.workers.len())
                .filter(|&w| self.workers[w].dc == dc && self.workers[w].is_ready(&model));
            let target = holders.min_by_key(|&w| (self.workers[w].running.len(), w));
            if let Some(w) = target {
                self.load_adapter(w, adapter, model);
            }
        }
    }

    fn forward(&mut self, id: RequestId, dc: usize) {
        let hosts: Vec<usize> = self.hosts_of(dc).collect();
        let host = hosts[number(id) % hosts.len()];
        let job = &mut self.jobs[number(id)];
        job.host = host;
        let mut ticket = job.ticket.clone();
        ticket.forwarded = true;
        self.tell(host, Event::Arrive(ticket));
    }

    fn refused(&mut self, host: usize, id: RequestId, code: Code) {
        let job = &mut self.jobs[number(id)];
        if host != job.origin {
            job.host = job.origin;
            let (origin, ran) = (job.origin, code.ran() != Ran::No);
            return self.tell(origin, failed(id, RetryReason::Refused, ran));
        }
        if std::mem::replace(&mut job.open, false) {
            *self.out.refused.entry(code).or_insert(0) += 1;
        }
    }

    fn finish(&mut self, w: usize, at: usize) {
        let job = &mut self.jobs[at];
        let (id, host, origin) = (job.ticket.id, job.host, job.origin);
        let tokens = job.ticket.output_tokens;
        if std::mem::replace(&mut job.open, false) && !job.ticket.deadline.is_past(self.now) {
            self.out.by_priority[usize::from(job.ticket.priority.get())].1 += 1;
        }
        let worker = &self.workers[w];
        #[expect(clippy::cast_possible_truncation, reason = "a batch is small")]
        let hint = Event::Hint {
            backend: self.deployment.backends[w].id.clone(),
            in_flight: worker.running.len() as u32 + 1,
            queued: worker.waiting.len() as u32,
        };
        self.tell(host, hint);
        let done = |id| Event::Finished {
            id,
            tokens,
            ok: true,
        };
        self.tell(host, done(id));
        if origin != host {
            self.tell(origin, done(id));
        }
    }

    /// Cancels the requests whose deadline has passed, as the driver does.
    fn expire(&mut self) {
        for at in 0..self.jobs.len() {
            let job = &mut self.jobs[at];
            if !job.open || !job.ticket.deadline.is_past(self.now) {
                continue;
            }
            job.open = false;
            *self.out.refused.entry(Code::DeadlineExceeded).or_insert(0) += 1;
            let (id, host, origin) = (job.ticket.id, job.host, job.origin);
            if let Some(w) = job.worker {
                self.workers[w].drop_job(at);
            }
            self.tell(host, Event::Cancel(id));
            if origin != host {
                self.tell(origin, Event::Cancel(id));
            }
        }
    }

    fn report(&self, w: usize, age: Micros) -> Arc<LoadReport> {
        let worker = &self.workers[w];
        let resident = |name: &str, bytes, adapter| Resident {
            name: name.to_owned(),
            version: "v1".parse().expect("a name"),
            bytes,
            adapter,
        };
        let ready = worker.held.iter().filter(|h| h.state == CopyState::Ready);
        let models = ready.map(|h| resident(h.model.as_str(), h.bytes, false));
        let name = |a: &usize| self.deployment.adapters[*a].id.as_str();
        let adapters = worker
            .adapters
            .iter()
            .map(|a| resident(name(a), Bytes::new(GIB), true));
        #[expect(clippy::cast_possible_truncation, reason = "a batch is small")]
        Arc::new(LoadReport {
            incarnation: Incarnation::new(1),
            leaving: false,
            memory: worker.memory,
            used: worker.used(),
            in_flight: worker.running.len() as u32,
            queued: worker.waiting.len() as u32,
            tokens_per_second: 0.0,
            residents: models.chain(adapters).collect(),
            orders: Vec::new(),
            age_ms: age.get() / 1_000,
            fence: Epoch::default(),
        })
    }

    fn publish(&mut self) {
        let age = self.case.report_age();
        for w in 0..self.workers.len() {
            if self.workers[w].live {
                let report = self.report(w, age);
                self.reports.push((self.now + age, w, report));
            }
        }
    }

    fn deliver(&mut self, w: usize, report: &Arc<LoadReport>) {
        if !self.workers[w].live {
            return;
        }
        for host in self.hosts_of(self.workers[w].dc) {
            let backend = self.deployment.backends[w].id.clone();
            let report = Arc::clone(report);
            self.tell(host, Event::Report { backend, report });
        }
    }

    /// Shares digests and residents between all hosts.
    fn exchange(&mut self) {
        for from in 0..HOSTS {
            for ev in self.hosts[from].digest(self.now) {
                for to in (0..HOSTS).filter(|to| *to != from) {
                    self.tell(to, ev.clone());
                }
            }
        }
        for dc in 0..self.spec.dcs {
            let models = self.deployment.models.iter().map(|m| &m.id);
            let models: Vec<ModelId> = models.filter(|m| self.ready_in(dc, m)).cloned().collect();
            for host in (0..HOSTS).filter(|h| h % self.spec.dcs != dc) {
                let models = models.clone();
                self.tell(
                    host,
                    Event::Remote {
                        dc: dc_id(dc),
                        models,
                    },
                );
            }
        }
    }

    fn ready_in(&self, dc: usize, model: &ModelId) -> bool {
        self.workers.iter().any(|w| w.dc == dc && w.is_ready(model))
    }

    fn place(&mut self) {
        let now = self.now;
        self.store.retain(|done| *done > now);
        for dc in 0..self.spec.dcs {
            let input = self.input(dc);
            let wants = std::mem::take(&mut self.wants[dc]);
            let used = |c: &place::Copy| {
                let last = self.workers[index(c.worker.as_str())].last_used.iter();
                last.filter(|l| l.0 == c.model)
                    .map(|l| l.1)
                    .max()
                    .unwrap_or_default()
            };
            for m in self.place.plan(&input, &wants, &used) {
                self.order(m);
            }
        }
    }

    fn input(&self, dc: usize) -> Input {
        let mut rates = vec![(0.0, 0.0); self.deployment.models.len()];
        for host in self.hosts_of(dc) {
            for (sum, rate) in rates.iter_mut().zip(self.hosts[host].demand(self.now)) {
                *sum = (sum.0 + rate.0, sum.1 + rate.1);
            }
        }
        let demand = self
            .deployment
            .models
            .iter()
            .zip(rates)
            .map(|(m, rate)| Demand {
                model: m.id.clone(),
                version: m.version.clone(),
                bytes: m.bytes,
                priority: m.priority.get(),
                tokens_per_second: rate.0,
                missed_per_second: rate.1,
            });
        let workers = self.workers.iter().enumerate().filter(|(_, w)| w.dc == dc);
        let workers = workers.map(|(at, w)| place::Worker {
            id: self.deployment.backends[at].id.clone(),
            dc: dc_id(dc),
            memory: w.memory,
            accelerators: 1,
            speed: w.speed,
            live: w.live,
            held: w.held.clone(),
        });
        let others = |m: &&ModelId| (0..self.spec.dcs).any(|d| d != dc && self.ready_in(d, m));
        let models = self.deployment.models.iter().map(|m| &m.id);
        let mut floor = self.floor();
        floor.retain(|c| self.workers[index(c.worker.as_str())].dc == dc);
        Input {
            objective: self.spec.objective,
            workers: workers.collect(),
            demand: demand.collect(),
            floor,
            ready_elsewhere: models.filter(others).cloned().collect(),
            base_tokens_per_second: BASE_TOKENS * 0.8,
            loads: u32::try_from(self.store.len())
                .map_or(0, |busy| self.spec.slots.saturating_sub(busy)),
        }
    }

    fn order(&mut self, m: Move) {
        self.out.moves += 1;
        match m {
            Move::Load {
                worker,
                model,
                version,
                bytes,
            } => {
                // Loads beyond the slots wait for the earliest that ends.
                let length = Micros::new(u64::from(self.spec.slots) * 1_000_000 * 10 / 14);
                self.store.sort_unstable();
                let queued = self.store.len().checked_sub(self.spec.slots as usize);
                let start = queued.map_or(self.now, |at| self.store[at]);
                self.store.push(start + length);
                let state = CopyState::Loading;
                let held = Held {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.set(start + length, index(worker.as_str()), held);
            }
            Move::Unload {
                worker,
                model,
                version,
            } => {
                let w = index(worker.as_str());
                let is = |h: &&Held| h.model == model && h.version == version;
                let bytes = self.workers[w]
                    .held
                    .iter()
                    .find(is)
                    .map_or(Bytes::ZERO, |h| h.bytes);
                let state = CopyState::Unloading;
                let held = Held {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.set(self.now + Micros::from_millis(500), w, held);
            }
        }
    }

    /// Enters an order and checks that the worker's memory holds it.
    fn set(&mut self, at: Instant, w: usize, held: Held) {
        let worker = &mut self.workers[w];
        worker
            .held
            .retain(|h| h.model != held.model || h.version != held.version);
        worker.held.push(held.clone());
        worker
            .held
            .sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
        assert!(
            worker.used() <= worker.memory,
            "memory of worker {w} is overcommitted"
        );
        self.pending.push(Pending {
            at,
            worker: w,
            held,
        });
    }

    fn finish_orders(&mut self) {
        let now = self.now;
        while let Some(at) = self.pending.iter().position(|p| p.at <= now) {
            let order = self.pending.remove(at);
            let held = &mut self.workers[order.worker].held;
            let same = |h: &Held| h.model == order.held.model && h.version == order.held.version;
            if order.held.state == CopyState::Unloading {
                held.retain(|h| !same(h));
            } else if let Some(h) = held.iter_mut().find(|h| same(h)) {
                h.state = CopyState::Ready;
            }
        }
    }

    /// Loses the fastest server or applies a new file.
    fn disturb(&mut self) {
        if self.case == Case::NewFile {
            self.deployment = self.spec.deployment(2);
            self.configure(2);
        }
        if self.case != Case::Lost {
            return;
        }
        let w = 1;
        let worker = &mut self.workers[w];
        worker.live = false;
        worker.held.clear();
        let lost: Vec<usize> = worker
            .running
            .drain(..)
            .chain(worker.waiting.drain(..))
            .map(|r| r.job)
            .collect();
        self.pending.retain(|p| p.worker != w);
        let backend = self.deployment.backends[w].id.clone();
        let incarnation = Incarnation::new(1);
        for host in self.hosts_of(self.workers[w].dc) {
            self.tell(
                host,
                Event::Crashed {
                    backend: backend.clone(),
                    incarnation,
                },
            );
        }
        for at in lost {
            let (id, host) = (self.jobs[at].ticket.id, self.jobs[at].host);
            self.tell(host, failed(id, RetryReason::Crash, true));
        }
    }

    /// Measures the time without a copy of each model that had one.
    fn observe(&mut self) {
        for m in &self.deployment.models {
            let ready = self.workers.iter().any(|w| w.is_ready(&m.id));
            let (had, time) = self.without.entry(m.id.clone()).or_insert((false, 0.0));
            *had |= ready;
            if *had && !ready {
                *time += STEP.as_secs_f64();
                self.out.without_copy = self.out.without_copy.max(*time);
            }
        }
    }
}

fn failed(id: RequestId, reason: RetryReason, may_have_run: bool) -> Event {
    let failure = Failure {
        reason,
        may_have_run,
        answered: false,
    };
    Event::Failed { id, failure }
}

fn dc_id(dc: usize) -> DataCentreId {
    format!("dc{dc}").parse().expect("a name")
}

/// Number at the end of a name such as `w07`.
fn index(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("names of the bench end in a number")
}

fn number(id: RequestId) -> usize {
    let id = u128::from_str_radix(&id.to_string(), 16).expect("an id is hexadecimal");
    usize::try_from(id).expect("a small number") - 1
}
