//! Placement over all workers of a service, which follows the demand for each model.
//!
//! Every model should be resident somewhere, and a model in demand on enough workers that it
//! overloads none of them. A change costs a load, so a copy is evicted only for one with a
//! considerably higher value.

use config::EngineSpec;
use types::{BackendId, Bytes, ModelId, WorkerState};

/// Load per copy, as a share of a worker's time, above which another copy is worth an eviction.
const MAX_LOAD_PER_COPY: f64 = 0.08;

/// Load per copy above which another copy is added if a worker has free memory.
const MAX_LOAD_PER_COPY_WITH_FREE_MEMORY: f64 = 0.02;

/// Minimum ratio of the value of a new copy to that of the copy evicted for it.
const MIN_GAIN_RATIO: f64 = 2.0;

/// Value of the only copy of a model without recent requests.
const IDLE_MODEL_VALUE: f64 = 0.02;

/// Value of the only copy of a model with recent requests but no present demand.
const RECENT_MODEL_VALUE: f64 = 0.2;

/// Value of the only copy of a model in demand, in addition to its offered load.
const ACTIVE_MODEL_VALUE: f64 = 1.0;

/// Maximum number of changes that one round starts.
const MAX_CHANGES_PER_ROUND: usize = 8;

/// Loads from the weight store that are reserved for models in demand without a copy.
const RESERVED_STORE_LOADS: u32 = 1;

/// State of a worker in a round.
#[derive(Clone, Debug)]
pub struct FleetWorker<'a> {
    /// Id of the worker.
    pub id: &'a BackendId,
    /// Whether models may be loaded on the worker; false while it is leaving.
    pub schedulable: bool,
    /// Whether a load or unload of a model may be ordered on the worker now.
    pub accepts_orders: bool,
    /// Models that the worker serves or loads, without those that it unloads.
    pub models: Vec<&'a ModelId>,
    /// Memory in use, including that of pending orders.
    pub used_memory: Bytes,
    /// Reported state: resident models, and models with a local copy of the weights.
    pub state: &'a WorkerState,
    /// Share of time that the worker is busy with its models.
    pub utilization: f64,
    /// Model that was loaded too recently to be evicted.
    pub recently_loaded: Option<&'a ModelId>,
}

/// Demand for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetDemand {
    /// Model.
    pub model: ModelId,
    /// Worker time that requests need, in seconds per second.
    pub offered_load: f64,
    /// Whether requests wait for the model to be loaded.
    pub waiting: bool,
    /// Whether the model was requested recently.
    pub recently_requested: bool,
}

/// Input of a placement round of one service.
#[derive(Clone, Debug)]
pub struct FleetInput<'a> {
    /// Models of the service, their sizes and the memory of a worker.
    pub engine: &'a EngineSpec,
    /// Workers of the service.
    pub workers: Vec<FleetWorker<'a>>,
    /// Demand, sorted by model; models without demand may be absent.
    pub demand: &'a [FleetDemand],
    /// Maximum number of loads from the weight store that may begin now.
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
        /// Whether the worker has no local copy of the weights, so that the load uses the weight
        /// store.
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

/// Model with its demand and its number of copies in this round.
struct ModelState<'a> {
    model: &'a ModelId,
    bytes: Bytes,
    offered_load: f64,
    waiting: bool,
    recently_requested: bool,
    copies: usize,
}

impl ModelState<'_> {
    /// Returns the value of another copy: the load that it takes from each existing copy.
    fn gain(&self) -> f64 {
        match self.copies {
            0 if self.waiting || self.offered_load > 0.0 => ACTIVE_MODEL_VALUE + self.offered_load,
            0 if self.recently_requested => RECENT_MODEL_VALUE,
            0 => IDLE_MODEL_VALUE,
            n => self.offered_load / n as f64 - self.offered_load / (n + 1) as f64,
        }
    }

    /// Returns the value of an existing copy: the load that its loss adds to each other copy.
    fn loss(&self) -> f64 {
        match self.copies {
            0 => 0.0,
            1 if self.offered_load > 0.0 || self.waiting => ACTIVE_MODEL_VALUE + self.offered_load,
            1 if self.recently_requested => RECENT_MODEL_VALUE,
            1 => IDLE_MODEL_VALUE,
            n => self.offered_load / (n - 1) as f64 - self.offered_load / n as f64,
        }
    }

    fn load_per_copy(&self) -> f64 {
        self.offered_load / self.copies.max(1) as f64
    }
}

struct FleetRound<'a> {
    input: &'a FleetInput<'a>,
    /// Sorted by model.
    models: Vec<ModelState<'a>>,
    /// Whether a worker may get an order in this round, by index of the worker.
    available: Vec<bool>,
    store_load_budget: u32,
    changes: Vec<FleetChange>,
}

/// Returns the changes to order now, at most one per worker.
#[must_use]
pub fn plan_fleet(input: &FleetInput<'_>) -> Vec<FleetChange> {
    let mut round = FleetRound::new(input);
    let mut order: Vec<usize> = (0..round.models.len()).collect();
    order.sort_by(|&a, &b| {
        let [a, b] = [a, b].map(|m| round.models[m].gain());
        b.total_cmp(&a)
    });
    for m in order {
        if round.changes.len() == MAX_CHANGES_PER_ROUND {
            break;
        }
        round.add_copy_if_beneficial(m);
    }
    round.changes
}

impl<'a> FleetRound<'a> {
    fn new(input: &'a FleetInput<'a>) -> Self {
        let models = input.engine.models.iter().map(|spec| {
            let demand = input.demand.binary_search_by(|d| d.model.cmp(&spec.id));
            let demand = demand.ok().map(|at| &input.demand[at]);
            let holds = |w: &&FleetWorker<'_>| w.schedulable && w.models.contains(&&spec.id);
            ModelState {
                model: &spec.id,
                bytes: spec.bytes,
                offered_load: demand.map_or(0.0, |d| d.offered_load),
                waiting: demand.is_some_and(|d| d.waiting),
                recently_requested: demand.is_some_and(|d| d.recently_requested),
                copies: input.workers.iter().filter(holds).count(),
            }
        });
        Self {
            models: models.collect(),
            available: input
                .workers
                .iter()
                .map(|w| w.schedulable && w.accepts_orders)
                .collect(),
            store_load_budget: input.store_load_budget,
            changes: Vec::new(),
            input,
        }
    }

    /// Adds a copy of a model if it has enough load, on free memory or after an eviction.
    fn add_copy_if_beneficial(&mut self, m: usize) {
        let model = &self.models[m];
        let missing = model.copies == 0;
        let urgent = missing && (model.waiting || model.offered_load > 0.0);
        if (missing || model.load_per_copy() > MAX_LOAD_PER_COPY_WITH_FREE_MEMORY)
            && let Some(worker) = self.worker_with_free_memory(m, urgent)
        {
            return self.order_load(worker, m);
        }
        if urgent || model.load_per_copy() > MAX_LOAD_PER_COPY {
            self.evict_for(m);
        }
    }

    /// Returns the worker with free memory for a model that has the lowest utilization.
    ///
    /// A load from the weight store counts as a utilization of 1.
    fn worker_with_free_memory(&self, m: usize, urgent: bool) -> Option<usize> {
        let model = &self.models[m];
        let fits = |w: &FleetWorker<'_>| {
            let limit = self.memory_for_models();
            w.used_memory.get().saturating_add(model.bytes.get()) <= limit
        };
        let workers = self.input.workers.iter().enumerate();
        let eligible = workers.filter(|(at, w)| {
            self.available[*at]
                && !w.models.contains(&model.model)
                && fits(w)
                && self.store_allows_load(w, model.model, urgent)
        });
        eligible
            .min_by(|(_, a), (_, b)| {
                let key = |w: &FleetWorker<'_>| {
                    f64::from(u8::from(!w.state.has_cached_copy(model.model))) + w.utilization
                };
                key(a).total_cmp(&key(b))
            })
            .map(|(at, _)| at)
    }

    /// Returns whether the load needs no weight store or is within its budget.
    fn store_allows_load(&self, worker: &FleetWorker<'_>, model: &ModelId, urgent: bool) -> bool {
        let reserved = if urgent { 0 } else { RESERVED_STORE_LOADS };
        worker.state.has_cached_copy(model) || self.store_load_budget > reserved
    }

    /// Returns the memory of a worker, in bytes, without the part reserved for adapters.
    fn memory_for_models(&self) -> u64 {
        let engine = self.input.engine;
        let largest = engine.models.iter().map(|m| m.adapter_bytes.get()).max();
        let adapters = largest
            .unwrap_or(0)
            .saturating_mul(u64::from(engine.adapter_slots));
        engine.memory.get().saturating_sub(adapters)
    }

    fn order_load(&mut self, worker: usize, m: usize) {
        let w = &self.input.workers[worker];
        let model = self.models[m].model;
        let from_store = !w.state.has_cached_copy(model);
        self.store_load_budget -= u32::from(from_store).min(self.store_load_budget);
        self.available[worker] = false;
        self.models[m].copies += 1;
        self.changes.push(FleetChange::Load {
            worker: w.id.clone(),
            model: model.clone(),
            from_store,
        });
    }

    /// Unloads the copy with the lowest value to free memory for a model.
    ///
    /// Only copies are eligible whose value times [`MIN_GAIN_RATIO`] is below that of the new copy.
    fn evict_for(&mut self, m: usize) {
        let gain = self.models[m].gain();
        let mut best: Option<(f64, usize, usize)> = None;
        for (at, w) in self.input.workers.iter().enumerate() {
            let model = &self.models[m];
            let eligible = self.available[at] && !w.models.contains(&model.model);
            if !eligible || !self.store_allows_load(w, model.model, model.copies == 0) {
                continue;
            }
            let store_penalty = f64::from(u8::from(!w.state.has_cached_copy(model.model)));
            let is_kept = |id: &ModelId| !w.models.contains(&id) || w.recently_loaded == Some(id);
            for held in w.state.models.iter().filter(|h| !is_kept(&h.id)) {
                let found = self.models.binary_search_by(|c| c.model.cmp(&held.id));
                let loss = found.map_or(0.0, |v| self.models[v].loss());
                let cost = loss + (store_penalty + w.utilization) * IDLE_MODEL_VALUE;
                if loss * MIN_GAIN_RATIO < gain
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
        self.available[worker] = false;
        self.models[victim].copies -= 1;
        self.changes.push(FleetChange::Unload {
            worker: self.input.workers[worker].id.clone(),
            model: self.models[victim].model.clone(),
        });
    }
}
