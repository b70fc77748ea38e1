//! Production policies and baselines behind a common interface.

use std::collections::BTreeMap;

use config::Deployment;
use place::{CopyState, Move, Placement, PlanInput};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use route::{Action, Event, Router, RoutingRequest, Settings, Target};
use types::{BackendId, Code, DataCentreId, Instant, ModelId, RequestId, RetryReason};

use crate::spec::{BASE_TOKENS_PER_SECOND, HALF_RATE_BATCH, MAX_BATCH, PROMPT_WEIGHT};

/// Routing policy of an entry host.
pub trait RoutingPolicy {
    fn step(&mut self, now: Instant, ev: Event, actions: &mut Vec<Action>);
    /// Returns the demanded and the missed tokens per second of each model.
    fn demand(&self, now: Instant) -> Vec<(f64, f64)>;
    /// Returns the load of each backend server to send to peers.
    fn digest(&self, now: Instant) -> Vec<Event>;
    fn retries(&self) -> u64;
}

/// Routing policy of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingKind {
    Production,
    RoundRobin,
    LeastInFlight,
    TwoRandom,
}

/// Placement policy of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementKind {
    Production,
    Static,
    Lru,
    Proportional,
}

impl RoutingKind {
    pub const BASELINES: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::TwoRandom];

    pub fn name(self) -> &'static str {
        match self {
            Self::Production => "real",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::TwoRandom => "two random",
        }
    }

    /// Creates the routing policy of an entry host.
    pub fn host(self, dc: DataCentreId, seed: u64) -> Box<dyn RoutingPolicy> {
        if self == Self::Production {
            let settings = Settings {
                dc: Some(dc),
                base_tokens_per_second: BASE_TOKENS_PER_SECOND,
                half_rate_batch: HALF_RATE_BATCH,
                prompt_weight: PROMPT_WEIGHT,
                ..Settings::default()
            };
            return Box::new(Router::new(settings, seed));
        }
        Box::new(BaselineRouter::new(self, dc, seed))
    }
}

impl PlacementKind {
    pub const BASELINES: [Self; 3] = [Self::Static, Self::Lru, Self::Proportional];

    pub fn name(self) -> &'static str {
        match self {
            Self::Production => "real",
            Self::Static => "static",
            Self::Lru => "lru",
            Self::Proportional => "proportional",
        }
    }

    /// Plans the moves of a round; `requested` lists the models that had no ready copy.
    pub fn plan(
        self,
        input: &PlanInput,
        requested: &[ModelId],
        used: &dyn Fn(&Placement) -> Instant,
    ) -> Vec<Move> {
        if self == Self::Production {
            return place::plan(input);
        }
        let mut without_demand = input.clone();
        for demand in &mut without_demand.demand {
            demand.tokens_per_second = 0.0;
            demand.missed_per_second = 0.0;
        }
        let mut moves = place::plan(&without_demand);
        if !moves.is_empty() {
            return moves;
        }
        match self {
            Self::Lru => lru(input, requested, used, &mut moves),
            Self::Proportional => proportional(input, &mut moves),
            Self::Production | Self::Static => {}
        }
        moves
    }
}

impl RoutingPolicy for Router {
    fn step(&mut self, now: Instant, ev: Event, actions: &mut Vec<Action>) {
        Router::step(self, now, ev, actions);
    }

    fn demand(&self, now: Instant) -> Vec<(f64, f64)> {
        let each = Router::demand(self, now);
        each.map(|d| (d.tokens_per_second, d.missed_per_second))
            .collect()
    }

    fn digest(&self, now: Instant) -> Vec<Event> {
        let observed = self.backends(now).filter(|b| b.local && b.observed);
        observed
            .map(|b| Event::Digest {
                backend: b.id.clone(),
                load: b.load,
                age: b.age,
            })
            .collect()
    }

    fn retries(&self) -> u64 {
        self.counts().retried.iter().map(|r| r.1).sum()
    }
}

/// Returns the workers that hold or load a copy of each model.
fn copies(input: &PlanInput) -> BTreeMap<&ModelId, Vec<usize>> {
    let mut copies: BTreeMap<&ModelId, Vec<usize>> = BTreeMap::new();
    for (w, worker) in input.workers.iter().enumerate().filter(|(_, w)| w.live) {
        for held in worker
            .copies
            .iter()
            .filter(|h| h.state != CopyState::Unloading)
        {
            copies.entry(&held.model).or_default().push(w);
        }
    }
    copies
}

/// Loads a model on the worker whose last necessary eviction ranks lowest in the given order.
fn load_with_evictions(
    input: &PlanInput,
    m: usize,
    order: &dyn Fn(&Placement) -> (u64, ModelId),
    moves: &mut Vec<Move>,
) {
    let demand = &input.demand[m];
    let copies = copies(input);
    let holds = |w: usize| copies.get(&demand.model).is_some_and(|c| c.contains(&w));
    let mut best: Option<(u64, usize, Vec<Move>)> = None;
    for (w, worker) in input.workers.iter().enumerate() {
        let ordered = moves.iter().any(|m| match m {
            Move::Load { worker: w, .. } | Move::Unload { worker: w, .. } => *w == worker.id,
        });
        let busy = ordered || worker.copies.iter().any(|h| h.state != CopyState::Ready);
        if !worker.live || busy || holds(w) {
            continue;
        }
        let used: types::Bytes = worker.copies.iter().map(|h| h.bytes).sum();
        let mut free = worker.memory.saturating_sub(used);
        let mut held: Vec<_> = worker.copies.iter().collect();
        held.retain(|h| {
            let floor = input.floor.iter().filter(|c| c.model == h.model).count();
            copies.get(&h.model).is_some_and(|c| c.len() > floor.max(1))
        });
        let key = |h: &place::ModelCopy| {
            let (worker, model) = (worker.id.clone(), h.model.clone());
            order(&Placement { worker, model })
        };
        held.sort_by_key(|h| key(h));
        let (mut evictions, mut last_rank) = (Vec::new(), 0);
        for h in held {
            if free >= demand.bytes {
                break;
            }
            free += h.bytes;
            last_rank = key(h).0;
            let (worker, model, version) = (worker.id.clone(), h.model.clone(), h.version.clone());
            evictions.push(Move::Unload {
                worker,
                model,
                version,
            });
        }
        if free >= demand.bytes && best.as_ref().is_none_or(|b| (last_rank, w) < (b.0, b.1)) {
            best = Some((last_rank, w, evictions));
        }
    }
    let Some((_, w, evictions)) = best else {
        return;
    };
    if evictions.is_empty() {
        moves.push(Move::Load {
            worker: input.workers[w].id.clone(),
            model: demand.model.clone(),
            version: demand.version.clone(),
            bytes: demand.bytes,
        });
    }
    moves.extend(evictions);
}

/// Loads the requested models and evicts the least recently used ones.
fn lru(
    input: &PlanInput,
    requested: &[ModelId],
    used: &dyn Fn(&Placement) -> Instant,
    moves: &mut Vec<Move>,
) {
    for model in requested.iter().take(input.max_loads as usize) {
        if let Ok(m) = input.demand.binary_search_by(|d| d.model.cmp(model)) {
            let order = |c: &Placement| (used(c).as_micros(), c.model.clone());
            load_with_evictions(input, m, &order, moves);
        }
    }
}

/// Adjusts the number of copies of each model to its share of the demand.
fn proportional(input: &PlanInput, moves: &mut Vec<Move>) {
    let total: f64 = input.demand.iter().map(|d| d.tokens_per_second).sum();
    let copies = copies(input);
    let places: f64 = copies.values().map(|c| c.len() as f64).sum::<f64>() + 3.0;
    let missing = |m: usize| {
        let d = &input.demand[m];
        let wanted = places * d.tokens_per_second / total.max(1.0);
        let workers = input.workers.len() as f64;
        wanted.min(workers) - copies.get(&d.model).map_or(0.0, |c| c.len() as f64)
    };
    let mut order: Vec<usize> = (0..input.demand.len()).collect();
    order.sort_by(|a, b| missing(*b).total_cmp(&missing(*a)));
    for m in order.into_iter().take(input.max_loads as usize) {
        if missing(m) >= 0.5 {
            let rank = |c: &Placement| {
                let at = input.demand.binary_search_by(|d| d.model.cmp(&c.model));
                let surplus = at.map_or(0.0, |m| 1_000.0 + missing(m) * 10.0);
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "the rank is small and positive"
                )]
                let rank = surplus.max(0.0) as u64;
                (rank, c.model.clone())
            };
            load_with_evictions(input, m, &rank, moves);
        }
    }
}

/// Baseline routing policy with a first-in, first-out queue.
struct BaselineRouter {
    kind: RoutingKind,
    dc: DataCentreId,
    rng: Xoshiro256PlusPlus,
    deployment: Option<std::sync::Arc<Deployment>>,
    /// Models, requests in flight from this host, and liveness of each backend server.
    backends: BTreeMap<BackendId, (Vec<String>, u32, bool)>,
    remote: BTreeMap<DataCentreId, Vec<ModelId>>,
    requests: BTreeMap<RequestId, (RoutingRequest, Option<BackendId>, u8)>,
    queue: Vec<RequestId>,
    next: usize,
    retries: u64,
    demand: BTreeMap<ModelId, (f64, Instant)>,
}

impl BaselineRouter {
    fn new(kind: RoutingKind, dc: DataCentreId, seed: u64) -> Self {
        Self {
            kind,
            dc,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            deployment: None,
            backends: BTreeMap::new(),
            remote: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            next: 0,
            retries: 0,
            demand: BTreeMap::new(),
        }
    }

    fn holders(&self, model: &ModelId) -> Vec<BackendId> {
        let holds = |b: &&(Vec<String>, u32, bool)| b.2 && b.0.iter().any(|m| m == model.as_str());
        let each = self.backends.iter().filter(|(_, b)| holds(b));
        each.map(|(id, _)| id.clone()).collect()
    }

    fn choose_backend(&mut self, holders: &[BackendId]) -> BackendId {
        let in_flight = |id: &BackendId| self.backends[id].1;
        match self.kind {
            RoutingKind::RoundRobin => {
                self.next += 1;
                holders[self.next % holders.len()].clone()
            }
            RoutingKind::TwoRandom => {
                let a = &holders[self.rng.random_range(0..holders.len())];
                let b = &holders[self.rng.random_range(0..holders.len())];
                if in_flight(b) < in_flight(a) {
                    b.clone()
                } else {
                    a.clone()
                }
            }
            RoutingKind::LeastInFlight | RoutingKind::Production => {
                let least = holders.iter().min_by_key(|id| in_flight(id));
                least.expect("a holder").clone()
            }
        }
    }

    fn dispatch(
        &mut self,
        id: RequestId,
        retry: Option<RetryReason>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some((request, ..)) = self.requests.get(&id) else {
            return true;
        };
        let Target::Model { model, .. } = request.target.clone() else {
            return true;
        };
        let forwarded = request.forwarded;
        let holders = self.holders(&model);
        if holders.is_empty() {
            let dcs: Vec<_> = self
                .remote
                .iter()
                .filter(|(_, m)| m.contains(&model))
                .collect();
            if forwarded || dcs.is_empty() {
                self.requests.remove(&id);
                let (code, retry_after) = (Code::NotResident, None);
                actions.push(Action::Refuse {
                    id,
                    code,
                    retry_after,
                });
            } else {
                self.next += 1;
                let dc = dcs[self.next % dcs.len()].0.clone();
                actions.push(Action::Forward { id, dc });
            }
            actions.push(Action::RequestPlacement {
                model,
                adapter: None,
            });
            return true;
        }
        let backend = self.choose_backend(&holders);
        if self.backends[&backend].1 >= MAX_BATCH {
            actions.push(Action::RequestPlacement {
                model,
                adapter: None,
            });
            return false;
        }
        self.backends
            .entry(backend.clone())
            .and_modify(|b| b.1 += 1);
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.1 = Some(backend.clone());
            tracked.2 += 1;
        }
        self.retries += u64::from(retry.is_some());
        actions.push(Action::Dispatch {
            id,
            backend,
            retry,
            first_byte: types::Micros::ZERO,
        });
        true
    }

    fn remove(&mut self, id: RequestId) -> Option<(RoutingRequest, Option<BackendId>, u8)> {
        self.queue.retain(|q| *q != id);
        let tracked = self.requests.remove(&id)?;
        if let Some(b) = tracked.1.as_ref().and_then(|b| self.backends.get_mut(b)) {
            b.1 -= 1;
        }
        Some(tracked)
    }

    fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        let mut at = 0;
        while at < self.queue.len().min(16) {
            let id = self.queue[at];
            if self.dispatch(id, None, actions) {
                self.queue.remove(at);
            } else {
                at += 1;
            }
        }
    }
}

impl RoutingPolicy for BaselineRouter {
    fn step(&mut self, now: Instant, ev: Event, actions: &mut Vec<Action>) {
        match ev {
            Event::Config(active) => {
                for b in active
                    .deployment
                    .backends
                    .iter()
                    .filter(|b| b.dc == self.dc)
                {
                    self.backends
                        .entry(b.id.clone())
                        .or_insert((Vec::new(), 0, true));
                }
                self.deployment = Some(std::sync::Arc::clone(&active.deployment));
            }
            Event::Arrive(request) => {
                let id = request.id;
                if let Target::Model { model, .. } = &request.target {
                    let entry = self.demand.entry(model.clone()).or_insert((0.0, now));
                    let age = now.since(entry.1).as_secs_f64();
                    let work = f64::from(request.output_tokens)
                        + PROMPT_WEIGHT * f64::from(request.prompt_tokens);
                    *entry = (entry.0 * (-age / 15.0).exp() + work / 15.0, now);
                }
                self.requests.insert(id, (request, None, 0));
                if !self.dispatch(id, None, actions) {
                    self.queue.push(id);
                }
            }
            Event::Cancel(id) | Event::Finished { id, .. } => {
                self.remove(id);
                self.dispatch_queued(actions);
            }
            Event::Failed { id, failure } => {
                if let Some((request, _, attempts)) = self.remove(id) {
                    let may_retry = request.idempotent || !failure.may_have_run;
                    if may_retry && attempts < 3 && !request.deadline.is_past(now) {
                        self.requests.insert(id, (request, None, attempts + 1));
                        if !self.dispatch(id, Some(failure.reason), actions) {
                            self.queue.push(id);
                        }
                    } else {
                        let (code, retry_after) = (Code::RetriesExhausted, None);
                        actions.push(Action::Refuse {
                            id,
                            code,
                            retry_after,
                        });
                    }
                }
            }
            Event::Report { backend, report } => {
                if let Some(b) = self.backends.get_mut(&backend) {
                    b.0 = report.residents.iter().map(|r| r.name.clone()).collect();
                }
                self.dispatch_queued(actions);
            }
            Event::Crashed { backend, .. } => {
                self.backends.entry(backend).and_modify(|b| b.2 = false);
            }
            Event::RemoteModels { dc, models } => {
                self.remote.insert(dc, models);
            }
            _ => {}
        }
    }

    fn demand(&self, now: Instant) -> Vec<(f64, f64)> {
        let models = self.deployment.iter().flat_map(|d| &d.models);
        let rate = |m: &ModelId| {
            let found = self.demand.get(m);
            found.map_or(0.0, |d| d.0 * (-now.since(d.1).as_secs_f64() / 15.0).exp())
        };
        models.map(|m| (rate(&m.id), 0.0)).collect()
    }

    fn digest(&self, _now: Instant) -> Vec<Event> {
        Vec::new()
    }

    fn retries(&self) -> u64 {
        self.retries
    }
}
