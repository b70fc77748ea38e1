//! Simulates a load case in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use config::{ActiveConfig, Deployment};
use place::{CopyState, ModelCopy};
use route::{Action, Event, Failure, RoutingRequest, SlotTable, Target, TrialReply};
use types::{
    Code, ConfigVersion, DataCentreId, Deadline, ExecutionStatus, Incarnation, Instant, LoadReport,
    Micros, ModelId, RequestId, RetryReason,
};

use crate::{
    load::{STEP, arrivals},
    policy::{PlacementKind, RoutingKind, RoutingPolicy},
    spec::{Case, DeploymentSpec, RUN_SECONDS},
    worker::{Worker, WorkerRequest},
};

/// Entry hosts.
pub const HOSTS: usize = 7;
/// Second in which a server is lost or a new configuration is applied.
const DISTURBANCE_SECOND: u64 = 40;
/// Seeds per case; with one seed the best of nine baselines varies too much by chance.
const SEEDS: u64 = 3;
const STEPS_PER_SECOND: u64 = 1_000_000 / STEP.get();

/// Results of the runs of a case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Requests and requests answered in time, by priority.
    pub by_priority: [(u64, u64); 3],
    pub moves: u64,
    pub refused: BTreeMap<Code, u64>,
    pub retries: u64,
    pub adapter_loads: usize,
    /// Longest time without a ready copy of a model that had one before, in seconds.
    pub longest_outage_seconds: f64,
}

impl Metrics {
    fn merge(&mut self, other: &Self) {
        for (sum, more) in self.by_priority.iter_mut().zip(&other.by_priority) {
            *sum = (sum.0 + more.0, sum.1 + more.1);
        }
        for (code, n) in &other.refused {
            *self.refused.entry(*code).or_insert(0) += n;
        }
        self.moves += other.moves;
        self.retries += other.retries;
        self.adapter_loads = self.adapter_loads.max(other.adapter_loads);
        self.longest_outage_seconds = self
            .longest_outage_seconds
            .max(other.longest_outage_seconds);
    }

    pub fn attainment(&self) -> f64 {
        let sum = |f: fn(&(u64, u64)) -> u64| self.by_priority.iter().map(f).sum::<u64>() as f64;
        sum(|p| p.1) / sum(|p| p.0).max(1.0)
    }
}

/// State of a request, with the hosts and the worker that handle it.
pub(crate) struct RequestState {
    pub(crate) request: RoutingRequest,
    pub(crate) origin: usize,
    pub(crate) host: usize,
    pub(crate) worker: Option<usize>,
    pub(crate) open: bool,
}

/// Order that is not yet complete.
pub(crate) struct PendingOrder {
    pub(crate) at: Instant,
    pub(crate) worker: usize,
    pub(crate) copy: ModelCopy,
}

pub(crate) struct Simulation<'a> {
    pub(crate) spec: &'a DeploymentSpec,
    pub(crate) case: Case,
    pub(crate) place: PlacementKind,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) hosts: Vec<Box<dyn RoutingPolicy>>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) requests: Vec<RequestState>,
    pub(crate) reports: Vec<(Instant, usize, Arc<LoadReport>)>,
    pub(crate) pending: Vec<PendingOrder>,
    pub(crate) weight_loads: Vec<Instant>,
    pub(crate) adapter_requests: Vec<(usize, usize, ModelId)>,
    pub(crate) adapter_loads: Vec<(Instant, usize, usize, ModelId)>,
    pub(crate) placement_requests: Vec<Vec<ModelId>>,
    pub(crate) slots: SlotTable,
    pub(crate) outages: BTreeMap<ModelId, (bool, f64)>,
    pub(crate) now: Instant,
    pub(crate) metrics: Metrics,
}

/// Runs a load case with the given policies once for each seed and merges the results.
pub fn run(spec: &DeploymentSpec, case: Case, route: RoutingKind, place: PlacementKind) -> Metrics {
    let mut sum = Metrics::default();
    for seed in 0..SEEDS {
        sum.merge(&run_once(spec, case, route, place, seed));
    }
    sum
}

fn run_once(
    spec: &DeploymentSpec,
    case: Case,
    route: RoutingKind,
    place: PlacementKind,
    seed: u64,
) -> Metrics {
    let deployment = spec.deployment(1);
    let load = arrivals(case, seed, spec, &deployment, HOSTS);
    let mut sim = Simulation::new(spec, case, route, place, seed, deployment);
    sim.configure(1);
    let mut next = 0;
    for step in 0..RUN_SECONDS * STEPS_PER_SECOND {
        sim.now = sim.now + STEP;
        while let Some((_, host, request)) = load.get(next).filter(|a| a.0 <= step) {
            sim.arrive(*host, request);
            next += 1;
        }
        sim.step(step);
    }
    sim.metrics.retries = sim.hosts.iter().map(|h| h.retries()).sum();
    sim.metrics
}

impl<'a> Simulation<'a> {
    fn new(
        spec: &'a DeploymentSpec,
        case: Case,
        route: RoutingKind,
        place: PlacementKind,
        seed: u64,
        deployment: Arc<Deployment>,
    ) -> Self {
        let hosts = (0..HOSTS).map(|h| route.host(dc_id(h % spec.dcs), 10 * seed + h as u64));
        let workers = deployment.backends.iter().enumerate().map(|(at, b)| {
            let speed_factor = [1.0, 0.85, 1.1][at % 3];
            let memory = b.memory.saturating_sub(b.adapter_pool);
            Worker::new(at % spec.dcs, b.speed, speed_factor, memory)
        });
        let mut sim = Self {
            spec,
            case,
            place,
            hosts: hosts.collect(),
            workers: workers.collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            pending: Vec::new(),
            weight_loads: Vec::new(),
            adapter_requests: Vec::new(),
            adapter_loads: Vec::new(),
            placement_requests: vec![Vec::new(); spec.dcs],
            slots: SlotTable::new(Micros::from_secs(60)),
            outages: BTreeMap::new(),
            now: Instant::from_micros(10_000_000),
            metrics: Metrics::default(),
            deployment,
        };
        for copy in sim.floor() {
            let model = sim.deployment.models.iter().find(|m| m.id == copy.model);
            let model = model.expect("a model of the deployment");
            let (version, bytes) = (model.version.clone(), model.bytes);
            sim.workers[name_index(copy.worker.as_str())]
                .copies
                .push(ModelCopy {
                    model: copy.model,
                    version,
                    bytes,
                    state: CopyState::Ready,
                });
        }
        sim
    }

    fn configure(&mut self, version: u64) {
        let active = Arc::new(ActiveConfig {
            version: ConfigVersion::new(version),
            deployment: Arc::clone(&self.deployment),
        });
        for host in 0..HOSTS {
            self.send_event(host, Event::Config(Arc::clone(&active)));
        }
        self.exchange();
        for w in 0..self.workers.len() {
            let report = self.report(w, Micros::ZERO);
            self.deliver(w, &report);
        }
    }

    fn step(&mut self, step: u64) {
        let now = self.now;
        if step == DISTURBANCE_SECOND * STEPS_PER_SECOND {
            self.apply_disturbance();
        }
        for w in 0..self.workers.len() {
            for request in self.workers[w].advance(now, STEP.as_secs_f64()) {
                self.finish(w, request);
            }
        }
        self.expire();
        self.complete_adapter_loads();
        self.complete_orders();
        if step.is_multiple_of(50) {
            self.publish();
        }
        while let Some(at) = self.reports.iter().position(|r| r.0 <= now) {
            let (_, w, report) = self.reports.remove(at);
            self.deliver(w, &report);
        }
        if step.is_multiple_of(100) {
            self.exchange();
            self.run_placement();
        }
        if step.is_multiple_of(5) {
            for host in 0..HOSTS {
                self.send_event(host, Event::Tick);
            }
        }
        self.record_outages();
    }

    pub(crate) fn hosts_of(&self, dc: usize) -> impl Iterator<Item = usize> + use<> {
        let dcs = self.spec.dcs;
        (0..HOSTS).filter(move |h| h % dcs == dc)
    }

    /// Passes an event to a host and performs the resulting actions.
    pub(crate) fn send_event(&mut self, host: usize, ev: Event) {
        let mut actions = Vec::new();
        self.hosts[host].step(self.now, ev, &mut actions);
        for action in actions {
            self.perform(host, action);
        }
    }

    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Dispatch { id, backend, .. } => {
                self.dispatch(host, id, name_index(backend.as_str()));
            }
            Action::Forward { id, dc } => self.forward(id, name_index(dc.as_str())),
            Action::Refuse { id, code, .. } => self.record_refusal(host, id, code),
            Action::RequestSlot {
                id,
                fingerprint,
                backend,
            } => {
                let granted = self.slots.grant(self.now, fingerprint, &backend);
                self.send_event(host, Event::SlotReply { id, granted });
            }
            Action::ShareSuspects(suspects) => {
                self.slots.apply(&suspects);
                for peer in (0..HOSTS).filter(|p| *p != host) {
                    self.send_event(peer, Event::Suspects(suspects.clone()));
                }
            }
            Action::ShareCrashes(update) => {
                for peer in (0..HOSTS).filter(|p| *p != host) {
                    self.send_event(peer, Event::CrashUpdate(update.clone()));
                }
            }
            Action::RequestTrial { id, trial } => {
                let suspect = trial.suspect;
                let reply = TrialReply::Granted;
                self.send_event(host, Event::TrialReply { id, suspect, reply });
            }
            Action::RequestPlacement { model, adapter } => {
                let dc = host % self.spec.dcs;
                if let Some(adapter) = adapter {
                    let wanted = (dc, name_index(adapter.as_str()), model);
                    if !self.adapter_requests.contains(&wanted) {
                        self.adapter_requests.push(wanted);
                    }
                } else if !self.placement_requests[dc].contains(&model) {
                    self.placement_requests[dc].push(model);
                }
            }
            // The router of this bench estimates finish times and asks for no second copy.
            Action::RequestReplica { .. } | Action::LogCrash { .. } | Action::LogVerdict { .. } => {
            }
        }
    }

    fn arrive(&mut self, host: usize, request: &RoutingRequest) {
        let mut request = request.clone();
        let length = Micros::new(request.deadline.instant().as_micros());
        request.deadline = Deadline::after(self.now, length);
        self.metrics.by_priority[usize::from(request.priority.get())].0 += 1;
        self.requests.push(RequestState {
            request: request.clone(),
            origin: host,
            host,
            worker: None,
            open: true,
        });
        self.send_event(host, Event::Arrive(request));
    }

    fn dispatch(&mut self, host: usize, id: RequestId, w: usize) {
        let request = self.requests[request_index(id)].request.clone();
        let Target::Model { model, adapter } = &request.target else {
            return;
        };
        if !self.workers[w].is_ready(model) {
            let reason = if self.workers[w].live {
                RetryReason::NotResident
            } else {
                RetryReason::Unreachable
            };
            return self.send_event(host, failed(id, reason, false));
        }
        let adapter_ready = adapter.as_ref().map_or(self.now, |a| {
            self.ensure_adapter(w, name_index(a.as_str()), model)
        });
        self.requests[request_index(id)].worker = Some(w);
        let req = WorkerRequest {
            request: request_index(id),
            priority: request.priority.get(),
            remaining_work: 0.0,
            adapter_ready,
        };
        let now = self.now;
        let worker = &mut self.workers[w];
        worker.use_model(model, now);
        worker.enqueue(
            req,
            request.output_tokens,
            request.prompt_tokens,
            &request.prefixes,
        );
    }

    fn forward(&mut self, id: RequestId, dc: usize) {
        let hosts: Vec<usize> = self.hosts_of(dc).collect();
        let host = hosts[request_index(id) % hosts.len()];
        let state = &mut self.requests[request_index(id)];
        state.host = host;
        let mut request = state.request.clone();
        request.forwarded = true;
        self.send_event(host, Event::Arrive(request));
    }

    fn record_refusal(&mut self, host: usize, id: RequestId, code: Code) {
        let state = &mut self.requests[request_index(id)];
        if host != state.origin {
            state.host = state.origin;
            let (origin, ran) = (state.origin, code.ran() != ExecutionStatus::No);
            return self.send_event(origin, failed(id, RetryReason::Refused, ran));
        }
        if std::mem::replace(&mut state.open, false) {
            *self.metrics.refused.entry(code).or_insert(0) += 1;
        }
    }

    fn finish(&mut self, w: usize, at: usize) {
        let state = &mut self.requests[at];
        let (id, host, origin) = (state.request.id, state.host, state.origin);
        let tokens = state.request.output_tokens;
        if std::mem::replace(&mut state.open, false) && !state.request.deadline.is_past(self.now) {
            self.metrics.by_priority[usize::from(state.request.priority.get())].1 += 1;
        }
        let worker = &self.workers[w];
        #[expect(clippy::cast_possible_truncation, reason = "a batch is small")]
        let hint = Event::LoadHeaders {
            backend: self.deployment.backends[w].id.clone(),
            in_flight: worker.running.len() as u32 + 1,
            queued: worker.waiting.len() as u32,
        };
        self.send_event(host, hint);
        let done = |id| Event::Finished {
            id,
            tokens,
            ok: true,
            is_harmless: true,
        };
        self.send_event(host, done(id));
        if origin != host {
            self.send_event(origin, done(id));
        }
    }

    /// Cancels the requests whose deadline has passed, as the driver does.
    fn expire(&mut self) {
        for at in 0..self.requests.len() {
            let state = &mut self.requests[at];
            if !state.open || !state.request.deadline.is_past(self.now) {
                continue;
            }
            state.open = false;
            *self
                .metrics
                .refused
                .entry(Code::DeadlineExceeded)
                .or_insert(0) += 1;
            let (id, host, origin) = (state.request.id, state.host, state.origin);
            if let Some(w) = state.worker {
                self.workers[w].cancel(at);
            }
            self.send_event(host, Event::Cancel(id));
            if origin != host {
                self.send_event(origin, Event::Cancel(id));
            }
        }
    }

    /// Sends load digests and resident models to all other hosts.
    fn exchange(&mut self) {
        for from in 0..HOSTS {
            for ev in self.hosts[from].digest(self.now) {
                for to in (0..HOSTS).filter(|to| *to != from) {
                    self.send_event(to, ev.clone());
                }
            }
        }
        for dc in 0..self.spec.dcs {
            let models = self.deployment.models.iter().map(|m| &m.id);
            let models: Vec<ModelId> = models.filter(|m| self.ready_in(dc, m)).cloned().collect();
            for host in (0..HOSTS).filter(|h| h % self.spec.dcs != dc) {
                let models = models.clone();
                self.send_event(
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

    /// Fails one of the fastest servers or applies a new configuration.
    fn apply_disturbance(&mut self) {
        if self.case == Case::ConfigChange {
            self.deployment = self.spec.deployment(2);
            self.configure(2);
        }
        if self.case != Case::ServerLost {
            return;
        }
        let w = 1;
        let worker = &mut self.workers[w];
        worker.live = false;
        worker.copies.clear();
        let lost: Vec<usize> = worker
            .running
            .drain(..)
            .chain(worker.waiting.drain(..))
            .map(|r| r.request)
            .collect();
        self.pending.retain(|p| p.worker != w);
        let backend = self.deployment.backends[w].id.clone();
        let incarnation = Incarnation::new(1);
        for host in self.hosts_of(self.workers[w].dc) {
            self.send_event(
                host,
                Event::Crashed {
                    backend: backend.clone(),
                    incarnation,
                },
            );
        }
        for at in lost {
            let (id, host) = (self.requests[at].request.id, self.requests[at].host);
            self.send_event(host, failed(id, RetryReason::Crash, true));
        }
    }

    /// Records how long each model that had a ready copy has been without one.
    fn record_outages(&mut self) {
        for m in &self.deployment.models {
            let ready = self.workers.iter().any(|w| w.is_ready(&m.id));
            let (had, time) = self.outages.entry(m.id.clone()).or_insert((false, 0.0));
            *had |= ready;
            if *had && !ready {
                *time += STEP.as_secs_f64();
                self.metrics.longest_outage_seconds =
                    self.metrics.longest_outage_seconds.max(*time);
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

/// Returns the number at the end of a name such as `w07`.
pub(crate) fn name_index(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("names of the bench end in a number")
}

fn request_index(id: RequestId) -> usize {
    let id = u128::from_str_radix(&id.to_string(), 16).expect("an id is hexadecimal");
    usize::try_from(id).expect("a small number") - 1
}
