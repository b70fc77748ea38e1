//! Runs one load case in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use config::{ActiveConfig, Deployment};
use place::{CopyState, ModelCopy};
use route::{Action, Event, Failure, RoutingRequest, SlotTable, Target};
use types::{
    Code, ConfigVersion, DataCentreId, Deadline, ExecutionStatus, Incarnation, Instant, LoadReport,
    Micros, ModelId, RequestId, RetryReason,
};

use crate::{
    load::{STEP, arrivals},
    policy::{Place, Route, Routing},
    spec::{Case, SECONDS, Spec},
    worker::{Running, Worker},
};

/// Entry hosts.
pub const HOSTS: usize = 7;
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
pub(crate) struct Job {
    pub(crate) ticket: RoutingRequest,
    pub(crate) origin: usize,
    pub(crate) host: usize,
    pub(crate) worker: Option<usize>,
    pub(crate) open: bool,
}

/// Order that takes effect later.
pub(crate) struct Pending {
    pub(crate) at: Instant,
    pub(crate) worker: usize,
    pub(crate) held: ModelCopy,
}

pub(crate) struct World<'a> {
    pub(crate) spec: &'a Spec,
    pub(crate) case: Case,
    pub(crate) place: Place,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) hosts: Vec<Box<dyn Routing>>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) reports: Vec<(Instant, usize, Arc<LoadReport>)>,
    pub(crate) pending: Vec<Pending>,
    pub(crate) store: Vec<Instant>,
    pub(crate) adapter_wants: Vec<(usize, usize, ModelId)>,
    pub(crate) adapter_loads: Vec<(Instant, usize, usize, ModelId)>,
    pub(crate) wants: Vec<Vec<ModelId>>,
    pub(crate) slots: SlotTable,
    pub(crate) without: BTreeMap<ModelId, (bool, f64)>,
    pub(crate) now: Instant,
    pub(crate) out: Measures,
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
            world.workers[index(copy.worker.as_str())]
                .held
                .push(ModelCopy {
                    model: copy.model,
                    version,
                    bytes,
                    state: CopyState::Ready,
                });
        }
        world
    }

    fn configure(&mut self, version: u64) {
        let in_force = Arc::new(ActiveConfig {
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

    pub(crate) fn hosts_of(&self, dc: usize) -> impl Iterator<Item = usize> + use<> {
        let dcs = self.spec.dcs;
        (0..HOSTS).filter(move |h| h % dcs == dc)
    }

    /// Gives an event to a host and carries out its actions.
    pub(crate) fn tell(&mut self, host: usize, ev: Event) {
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
            Action::RequestSlot {
                id,
                fingerprint,
                backend,
            } => {
                let granted = self.slots.grant(self.now, fingerprint, &backend);
                self.tell(host, Event::SlotReply { id, granted });
            }
            Action::ShareSuspects(marks) => {
                self.slots.apply(&marks);
                for peer in (0..HOSTS).filter(|p| *p != host) {
                    self.tell(peer, Event::Suspects(marks.clone()));
                }
            }
            Action::RequestPlacement { model, adapter } => {
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
            // The router of this bench estimates finish times and asks for no second copy.
            Action::RequestReplica { .. } => {}
        }
    }

    fn arrive(&mut self, host: usize, ticket: &RoutingRequest) {
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
            let (origin, ran) = (job.origin, code.ran() != ExecutionStatus::No);
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
        let hint = Event::LoadHeaders {
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
                    Event::RemoteModels {
                        dc: dc_id(dc),
                        models,
                    },
                );
            }
        }
    }

    pub(crate) fn ready_in(&self, dc: usize, model: &ModelId) -> bool {
        self.workers.iter().any(|w| w.dc == dc && w.is_ready(model))
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
        resumes: false,
    };
    Event::Failed { id, failure }
}

pub(crate) fn dc_id(dc: usize) -> DataCentreId {
    format!("dc{dc}").parse().expect("a name")
}

/// Number at the end of a name such as `w07`.
pub(crate) fn index(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("names of the bench end in a number")
}

fn number(id: RequestId) -> usize {
    let id = u128::from_str_radix(&id.to_string(), 16).expect("an id is hexadecimal");
    usize::try_from(id).expect("a small number") - 1
}
