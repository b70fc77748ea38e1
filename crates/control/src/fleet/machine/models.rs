//! Placement of models, within the limits of the weight store.

use config::EngineSpec;
use orders::OrderSpec;
use place::{FleetChange, FleetDemand, FleetInput, FleetWorker};
use types::{Bytes, Instant, Micros, ModelId, OrderOp, ServiceName};

use super::{Fleet, FleetAction, ManagedWorker, PendingRequest};

/// Minimum time for which a copy stays on a worker after its load was ordered.
const MIN_COPY_LIFETIME: Micros = Micros::from_secs(6);

/// Time for which a model counts as recently requested.
const RECENT_REQUEST_WINDOW: Micros = Micros::from_secs(60);

/// Minimum limit of concurrent loads from the weight store, however slow the store is.
///
/// One of them is reserved for models that callers wait for, so with a limit of one no model would ever
/// get an additional copy, and with two only one after the other.
const MIN_CONCURRENT_LOADS: usize = 3;

/// Maximum number of loads from the weight store within one window, each of which is remembered.
const MAX_LOADS_PER_WINDOW: usize = 10_000;

impl Fleet {
    fn engine_specs(&self) -> impl Iterator<Item = &EngineSpec> {
        self.services.iter().filter_map(|s| s.engine.as_ref())
    }

    /// Returns the number of loads from the weight store that may start within one window.
    pub(super) fn loads_per_window(&self) -> usize {
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
    pub(super) fn place_models(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
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
                    schedulable: self.is_usable(w),
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
