//! State of a term: its ledgers and the placement input that is built from them.

use std::time::Duration;

use config::{BackendServer, Deployment, ServiceKind};
use orders::{Copy, CopyState, Ledger, Limits, NewOrder, Sender, Slots};
use place::{Demand, ModelCopy, Move, PlanInput, Worker};
use store::Revision;
use types::{
    AttemptId, BackendId, Bytes, DataCentreId, Epoch, HostId, Instant, Micros, ModelId, OrderId,
    OrderOp,
};

use crate::event::{ModelDemand, Settings};

/// Time for which a new term waits for all records and reports before it changes the placement.
const SETTLE_TIMEOUT: Micros = Micros::from_secs(5);

/// Minimum interval between checks of the same former holder, shared by all ledgers of the term.
const SENDER_CHECK_INTERVAL: Micros = Micros::from_secs(1);

/// Time after which a weight-store slot that is not renewed expires.
///
/// A load takes seconds and must end within half of this time.
const SLOT_DURATION: Micros = Micros::from_secs(120);

/// Ledgers of the backend servers of a data centre during one term of authority.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) epoch: Epoch,
    host: HostId,
    started: Instant,
    pub(crate) slots: Slots<Revision>,
    /// Start times of model loads that still count against the rate limit of the weight store.
    pub(crate) recent_loads: Vec<Instant>,
    /// Former holders whose retirement was checked recently, and when.
    checked_senders: Vec<(Sender, Instant)>,
    pub(crate) workers: Vec<ManagedBackend>,
}

/// Backend server that is managed during the term.
#[derive(Debug)]
pub(crate) struct ManagedBackend {
    pub(crate) id: BackendId,
    pub(crate) ledger: Ledger<Revision>,
    /// Whether a load report was requested and has not arrived.
    pub(crate) report_requested: bool,
    pub(crate) next_report: Instant,
    /// End of the pause in model loads after a failed load.
    pub(crate) no_loads_until: Instant,
}

/// Input of a placement round besides the ledgers.
#[derive(Debug)]
pub(crate) struct RoundContext<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) settings: &'a Settings,
    pub(crate) floor: &'a [place::Placement],
    pub(crate) live: &'a [BackendId],
    pub(crate) demand: &'a [ModelDemand],
    pub(crate) ready_elsewhere: Vec<ModelId>,
    pub(crate) loads: u32,
}

/// Returns the time for which a load counts against the rate limit of the weight store.
fn store_load_window(limits: &config::Limits) -> Micros {
    let rate = limits.weight_store_rate.per_second();
    if rate <= 0.0 {
        return Micros::ZERO;
    }
    let secs = f64::from(limits.weight_store_slots) / rate;
    let window = Duration::try_from_secs_f64(secs).unwrap_or_default();
    Micros::new(u64::try_from(window.as_micros()).unwrap_or_default())
}

fn limits(b: &BackendServer) -> Limits {
    Limits {
        memory: b.memory,
        adapter_pool: b.adapter_pool,
        fences: b.fences,
    }
}

/// Returns the backend servers of a data centre that serve models.
fn model_workers<'a>(
    deployment: &'a Deployment,
    dc: &'a DataCentreId,
) -> impl Iterator<Item = &'a BackendServer> {
    let is_model = |b: &BackendServer| {
        let at = deployment
            .services
            .binary_search_by(|s| s.name.cmp(&b.service));
        at.is_ok_and(|at| deployment.services[at].kind == ServiceKind::Model)
    };
    let backends = deployment.backends.iter();
    backends.filter(move |b| b.dc == *dc && b.memory > Bytes::ZERO && is_model(b))
}

impl Term {
    pub(crate) fn new(settings: &Settings, epoch: Epoch, attempt: AttemptId, now: Instant) -> Self {
        Self {
            epoch,
            host: settings.host.clone(),
            started: now,
            slots: Slots::new(settings.dc.clone(), attempt, SLOT_DURATION),
            recent_loads: Vec::new(),
            checked_senders: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Returns whether a former holder should be checked now; all ledgers share the result.
    pub(crate) fn should_check_sender(&mut self, sender: &Sender, now: Instant) -> bool {
        self.checked_senders
            .retain(|(_, at)| now.since(*at) < SENDER_CHECK_INTERVAL);
        let recent = self
            .checked_senders
            .iter()
            .any(|(checked, _)| checked == sender);
        if !recent {
            self.checked_senders.push((sender.clone(), now));
        }
        !recent
    }

    pub(crate) fn position(&self, id: &BackendId) -> Option<usize> {
        self.workers.binary_search_by(|w| w.id.cmp(id)).ok()
    }

    /// Applies a configuration to the ledgers.
    ///
    /// Returns the limits of each ledger that existed before, by position.
    pub(crate) fn apply_config(
        &mut self,
        deployment: &Deployment,
        dc: &DataCentreId,
    ) -> Vec<(usize, Limits)> {
        let wanted: Vec<_> = model_workers(deployment, dc).collect();
        // A removed backend server is kept until its recorded orders are closed.
        let has_open_orders = |w: &ManagedBackend| {
            w.ledger
                .record()
                .is_some_and(|r| r.pending().next().is_some())
        };
        self.workers
            .retain(|w| has_open_orders(w) || wanted.iter().any(|b| b.id == w.id));
        let mut changed = Vec::new();
        for b in wanted {
            match self.workers.binary_search_by(|w| w.id.cmp(&b.id)) {
                Ok(at) => changed.push((at, limits(b))),
                Err(at) => self.workers.insert(
                    at,
                    ManagedBackend {
                        id: b.id.clone(),
                        ledger: Ledger::new(self.host.clone(), self.epoch, limits(b)),
                        report_requested: false,
                        next_report: Instant::ZERO,
                        no_loads_until: Instant::ZERO,
                    },
                ),
            }
        }
        changed
    }

    /// Returns whether models may be loaded onto a worker now.
    pub(crate) fn accepts_loads(&self, id: &BackendId, now: Instant) -> bool {
        let at = self.position(id);
        at.is_some_and(|at| now >= self.workers[at].no_loads_until)
    }

    /// Returns the number of recorded orders that are not closed.
    pub(crate) fn pending_orders(&self) -> usize {
        let records = self.workers.iter().filter_map(|w| w.ledger.record());
        records.map(|r| r.pending().count()).sum()
    }

    /// Returns the number of adapters, or else of models, that are being loaded.
    pub(crate) fn count_loading(&self, adapters: bool) -> usize {
        let copies = self.workers.iter().flat_map(|w| w.ledger.copies());
        copies
            .filter(|c| c.adapter == adapters && c.state == CopyState::Loading)
            .count()
    }

    /// Returns the number of model loads that count against the limits of the weight store.
    pub(crate) fn active_store_loads(&mut self, now: Instant, limits: &config::Limits) -> usize {
        let window = store_load_window(limits);
        self.recent_loads.retain(|start| now.since(*start) < window);
        self.count_loading(false).max(self.recent_loads.len())
    }

    /// Returns whether the state of the data centre is known well enough to change the placement.
    ///
    /// Missing records and reports are no longer waited for after [`SETTLE_TIMEOUT`].
    pub(crate) fn is_settled(&self, now: Instant, live: &[BackendId]) -> bool {
        let known = |w: &ManagedBackend| {
            w.ledger.is_ready() && (w.ledger.has_report() || live.binary_search(&w.id).is_err())
        };
        now.since(self.started) >= SETTLE_TIMEOUT || self.workers.iter().all(known)
    }

    /// Builds the input of the placement algorithm.
    pub(crate) fn placement_input(&self, context: &RoundContext<'_>) -> PlanInput {
        let dc = &context.settings.dc;
        PlanInput {
            objective: context.deployment.objective,
            workers: model_workers(context.deployment, dc)
                .filter_map(|b| {
                    Some(placement_worker(
                        &self.workers[self.position(&b.id)?],
                        b,
                        context.live,
                    ))
                })
                .collect(),
            demand: placement_demand(context.deployment, context.demand),
            floor: context.floor.to_vec(),
            ready_elsewhere: context.ready_elsewhere.clone(),
            base_tokens_per_second: context.settings.base_tokens_per_second,
            max_loads: context.loads,
        }
    }
}

fn placement_worker(managed: &ManagedBackend, b: &BackendServer, live: &[BackendId]) -> Worker {
    let ledger = &managed.ledger;
    let is_live = live.binary_search(&b.id).is_ok();
    let held = ledger.copies().into_iter();
    Worker {
        id: b.id.clone(),
        dc: b.dc.clone(),
        memory: b.memory.saturating_sub(b.adapter_pool),
        accelerators: b.accelerators,
        speed: b.speed,
        live: is_live && ledger.is_ready() && ledger.has_report(),
        copies: held.filter(|c| !c.adapter).filter_map(model_copy).collect(),
    }
}

fn model_copy(copy: Copy) -> Option<ModelCopy> {
    Some(ModelCopy {
        model: copy.name.parse().ok()?,
        version: copy.version,
        bytes: copy.bytes,
        state: match copy.state {
            CopyState::Loading => place::CopyState::Loading,
            CopyState::Ready => place::CopyState::Ready,
            CopyState::Unloading => place::CopyState::Unloading,
        },
    })
}

fn placement_demand(deployment: &Deployment, measured: &[ModelDemand]) -> Vec<Demand> {
    let measured_demand = |id: &ModelId| {
        let at = measured.binary_search_by(|d| d.model.cmp(id)).ok()?;
        Some(&measured[at])
    };
    deployment
        .models
        .iter()
        .map(|m| Demand {
            model: m.id.clone(),
            version: m.version.clone(),
            bytes: m.bytes,
            priority: m.priority.get(),
            tokens_per_second: measured_demand(&m.id).map_or(0.0, |d| d.tokens_per_second),
            missed_per_second: measured_demand(&m.id).map_or(0.0, |d| d.missed_per_second),
        })
        .collect()
}

/// Returns the backend server of a move and the order that carries it out.
pub(crate) fn order_for_move(mv: Move, id: OrderId) -> (BackendId, NewOrder) {
    match mv {
        Move::Load {
            worker,
            model,
            version,
            bytes,
        } => {
            let name = model.to_string();
            let op = OrderOp::Load;
            (
                worker,
                NewOrder {
                    id,
                    op,
                    name,
                    version,
                    bytes,
                },
            )
        }
        Move::Unload {
            worker,
            model,
            version,
        } => {
            let name = model.to_string();
            let (op, bytes) = (OrderOp::Unload, Bytes::ZERO);
            (
                worker,
                NewOrder {
                    id,
                    op,
                    name,
                    version,
                    bytes,
                },
            )
        }
    }
}

/// Returns the models with a copy of the floor that is not ready, sorted.
pub(crate) fn below_floor(input: &PlanInput) -> Vec<ModelId> {
    let ready = |copy: &place::Placement| {
        let worker = input.workers.iter().find(|w| w.id == copy.worker);
        worker.is_some_and(|w| {
            let mut held = w.copies.iter();
            held.any(|h| h.model == copy.model && h.state == place::CopyState::Ready)
        })
    };
    let missing = input.floor.iter().filter(|copy| !ready(copy));
    let mut models: Vec<_> = missing.map(|copy| copy.model.clone()).collect();
    models.sort_unstable();
    models.dedup();
    models
}
