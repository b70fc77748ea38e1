//! Changes of placement over all workers of a service, as demand moves between models.
//!
//! Every model should be resident somewhere, and a busy one on so many workers that none of them
//! is overloaded by it. A change costs a load, so a copy gives way only to one that is worth more.

use config::EngineSpec;
use types::{BackendId, Bytes, ModelId, WorkerState};

/// Share of a worker's time that one copy of a model may take before another copy is wanted.
const COPY_LOAD: f64 = 0.08;

/// The same where the memory for another copy is free.
const FREE_COPY_LOAD: f64 = 0.02;

/// Times the loss of a copy that its replacement must be worth.
const MIN_GAIN: f64 = 2.0;

/// Worth of the only copy of a model that nobody has asked for lately.
const IDLE_COPY_WORTH: f64 = 0.02;

/// Worth of the only copy of a model that callers asked for lately.
const RARE_COPY_WORTH: f64 = 0.2;

/// Worth of the only copy of a model that callers ask for, besides its demand.
const LAST_COPY_WORTH: f64 = 1.0;

/// Changes that one round starts at most.
const MAX_CHANGES: usize = 8;

/// Loads from the weight store that are left for models that callers wait for.
const SPARE_LOADS: u32 = 2;

/// Worker as a round sees it.
#[derive(Clone, Debug)]
pub struct FleetWorker<'a> {
    /// Name.
    pub id: &'a BackendId,
    /// Whether it may get a model; a leaving one may not.
    pub schedulable: bool,
    /// Whether an order on a model may be sent to it now.
    pub accepts_orders: bool,
    /// Models that it serves or loads, without those that it unloads.
    pub models: Vec<&'a ModelId>,
    /// Memory that is or may come to be in use.
    pub used_memory: Bytes,
    /// What it holds, with the copies at hand.
    pub state: &'a WorkerState,
    /// Share of its time that its present work takes.
    pub utilization: f64,
    /// Model whose copy was loaded so lately that it stays.
    pub recently_loaded: Option<&'a ModelId>,
}

/// Demand for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetDemand {
    /// Model.
    pub model: ModelId,
    /// Workers' time that callers ask for, in seconds a second.
    pub offered_load: f64,
    /// Whether callers wait for the model to be resident.
    pub waiting: bool,
    /// Whether callers asked for the model lately.
    pub recently_requested: bool,
}

/// Input of a round.
#[derive(Clone, Debug)]
pub struct FleetInput<'a> {
    /// Sizes and models.
    pub engine: &'a EngineSpec,
    /// Workers.
    pub workers: Vec<FleetWorker<'a>>,
    /// Demand, sorted by model; a model that is absent has none.
    pub demand: &'a [FleetDemand],
    /// Loads from the weight store that may begin now.
    pub store_load_budget: u32,
}

/// Change of placement on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// Load a model.
    Load {
        /// Worker.
        worker: BackendId,
        /// Model.
        model: ModelId,
        /// Whether no copy is at hand, so that the load counts against the weight store.
        from_store: bool,
    },
    /// Unload a model.
    Unload {
        /// Worker.
        worker: BackendId,
        /// Model.
        model: ModelId,
    },
}

/// Model with its demand and copies in this round.
struct Candidate<'a> {
    model: &'a ModelId,
    bytes: Bytes,
    load: f64,
    waiting: bool,
    recent: bool,
    copies: usize,
}

impl Candidate<'_> {
    /// Returns what another copy takes off each of the present ones.
    fn gain(&self) -> f64 {
        match self.copies {
            0 if self.waiting || self.load > 0.0 => LAST_COPY_WORTH + self.load,
            0 if self.recent => RARE_COPY_WORTH,
            0 => IDLE_COPY_WORTH,
            n => self.load / n as f64 - self.load / (n + 1) as f64,
        }
    }

    /// Returns what the loss of a copy adds to each of the others.
    fn loss(&self) -> f64 {
        match self.copies {
            0 => 0.0,
            1 if self.load > 0.0 || self.waiting => LAST_COPY_WORTH + self.load,
            1 if self.recent => RARE_COPY_WORTH,
            1 => IDLE_COPY_WORTH,
            n => self.load / (n - 1) as f64 - self.load / n as f64,
        }
    }

    fn load_per_copy(&self) -> f64 {
        self.load / self.copies.max(1) as f64
    }
}

struct Round<'a> {
    input: &'a FleetInput<'a>,
    /// Sorted by model.
    models: Vec<Candidate<'a>>,
    /// Whether a worker may still get an order in this round.
    open: Vec<bool>,
    store_loads: u32,
    changes: Vec<FleetChange>,
}

/// Returns the changes to order now, at most one for each worker.
#[must_use]
pub fn plan_fleet(input: &FleetInput<'_>) -> Vec<FleetChange> {
    let mut round = Round::new(input);
    let mut order: Vec<usize> = (0..round.models.len()).collect();
    order.sort_by(|&a, &b| {
        let [a, b] = [a, b].map(|m| round.models[m].gain());
        b.total_cmp(&a)
    });
    for m in order {
        if round.changes.len() == MAX_CHANGES {
            break;
        }
        round.consider(m);
    }
    round.changes
}

impl<'a> Round<'a> {
    fn new(input: &'a FleetInput<'a>) -> Self {
        let models = input.engine.models.iter().map(|spec| {
            let need = input.demand.binary_search_by(|n| n.model.cmp(&spec.id));
            let need = need.ok().map(|at| &input.demand[at]);
            let holds = |w: &&FleetWorker<'_>| w.schedulable && w.models.contains(&&spec.id);
            Candidate {
                model: &spec.id,
                bytes: spec.bytes,
                load: need.map_or(0.0, |n| n.offered_load),
                waiting: need.is_some_and(|n| n.waiting),
                recent: need.is_some_and(|n| n.recently_requested),
                copies: input.workers.iter().filter(holds).count(),
            }
        });
        Self {
            models: models.collect(),
            open: input
                .workers
                .iter()
                .map(|w| w.schedulable && w.accepts_orders)
                .collect(),
            store_loads: input.store_load_budget,
            changes: Vec::new(),
            input,
        }
    }

    /// Adds a copy of a model if it is worth its cost.
    fn consider(&mut self, m: usize) {
        let model = &self.models[m];
        let missing = model.copies == 0;
        let urgent = missing && (model.waiting || model.load > 0.0);
        if (missing || model.load_per_copy() > FREE_COPY_LOAD)
            && let Some(worker) = self.free_worker(m, urgent)
        {
            return self.load(worker, m);
        }
        if urgent || model.load_per_copy() > COPY_LOAD {
            self.make_room(m);
        }
    }

    /// Finds the best worker with free memory for a model.
    fn free_worker(&self, m: usize, urgent: bool) -> Option<usize> {
        let model = &self.models[m];
        let fits = |w: &FleetWorker<'_>| {
            let limit = self.memory_for_models();
            w.used_memory.get().saturating_add(model.bytes.get()) <= limit
        };
        let workers = self.input.workers.iter().enumerate();
        let able = workers.filter(|(at, w)| {
            self.open[*at]
                && !w.models.contains(&model.model)
                && fits(w)
                && self.may_load(w, model.model, urgent)
        });
        able.min_by(|(_, a), (_, b)| {
            let key = |w: &FleetWorker<'_>| {
                f64::from(u8::from(!w.state.has_copy(model.model))) + w.utilization
            };
            key(a).total_cmp(&key(b))
        })
        .map(|(at, _)| at)
    }

    /// Tells whether the weight store allows the load, if it is needed.
    fn may_load(&self, worker: &FleetWorker<'_>, model: &ModelId, urgent: bool) -> bool {
        let spare = if urgent { 0 } else { SPARE_LOADS };
        worker.state.has_copy(model) || self.store_loads > spare
    }

    /// Memory of a worker without what its adapters may take.
    fn memory_for_models(&self) -> u64 {
        let engine = self.input.engine;
        let largest = engine.models.iter().map(|m| m.adapter_bytes.get()).max();
        let adapters = largest.unwrap_or(0) * u64::from(engine.adapter_slots);
        engine.memory.get().saturating_sub(adapters)
    }

    fn load(&mut self, worker: usize, m: usize) {
        let w = &self.input.workers[worker];
        let model = self.models[m].model;
        let from_store = !w.state.has_copy(model);
        self.store_loads -= u32::from(from_store).min(self.store_loads);
        self.open[worker] = false;
        self.models[m].copies += 1;
        self.changes.push(FleetChange::Load {
            worker: w.id.clone(),
            model: model.clone(),
            from_store,
        });
    }

    /// Unloads the copy that is worth least, if it is worth clearly less than one of this model.
    fn make_room(&mut self, m: usize) {
        let gain = self.models[m].gain();
        let mut best: Option<(f64, usize, usize)> = None;
        for (at, w) in self.input.workers.iter().enumerate() {
            let model = &self.models[m];
            let able = self.open[at] && !w.models.contains(&model.model);
            if !able || !self.may_load(w, model.model, model.copies == 0) {
                continue;
            }
            let reload = f64::from(u8::from(!w.state.has_copy(model.model)));
            let stays = |id: &ModelId| !w.models.contains(&id) || w.recently_loaded == Some(id);
            for held in w.state.models.iter().filter(|h| !stays(&h.id)) {
                let found = self.models.binary_search_by(|c| c.model.cmp(&held.id));
                let loss = found.map_or(0.0, |v| self.models[v].loss());
                let cost = loss + (reload + w.utilization) * IDLE_COPY_WORTH;
                if loss * MIN_GAIN < gain
                    && best.is_none_or(|b| cost < b.0)
                    && let Ok(victim) = found
                {
                    best = Some((cost, at, victim));
                }
            }
        }
        let Some((_, worker, victim)) = best else {
            return;
        };
        self.open[worker] = false;
        self.models[victim].copies -= 1;
        self.changes.push(FleetChange::Unload {
            worker: self.input.workers[worker].id.clone(),
            model: self.models[victim].model.clone(),
        });
    }
}
