//! Ledgers of a term and the placement round over them.

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

/// Time after the start of a term in which records and reports are awaited before anything moves.
const SETTLE: Micros = Micros::from_secs(5);

/// Time between two questions to a former holder, however many ledgers wait for the answer.
const ASK_EVERY: Micros = Micros::from_secs(1);

/// Duration of a weight-store slot; a load takes seconds and must end within half of it.
const SLOT: Micros = Micros::from_secs(120);

/// Ledgers of the backend servers of a data centre for one term.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) epoch: Epoch,
    host: HostId,
    started: Instant,
    pub(crate) slots: Slots<Revision>,
    /// Starts of model loads that still count against the rate of the weight store.
    pub(crate) recent: Vec<Instant>,
    /// Former holders that are being asked whether they gave up, and when they were asked.
    asked: Vec<(Sender, Instant)>,
    pub(crate) workers: Vec<Managed>,
}

/// Backend server under the authority of the term.
#[derive(Debug)]
pub(crate) struct Managed {
    pub(crate) id: BackendId,
    pub(crate) ledger: Ledger<Revision>,
    /// A load report was asked for and is not there yet.
    pub(crate) asking: bool,
    pub(crate) next_load: Instant,
    /// Instant until which no model is loaded here, because a load had no effect.
    pub(crate) rest_until: Instant,
}

/// What a round knows besides the ledgers.
#[derive(Debug)]
pub(crate) struct Surroundings<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) settings: &'a Settings,
    pub(crate) floor: &'a [place::Placement],
    pub(crate) live: &'a [BackendId],
    pub(crate) demand: &'a [ModelDemand],
    pub(crate) ready_elsewhere: Vec<ModelId>,
    pub(crate) loads: u32,
}

/// Returns the time for which a started load occupies a slot, so that the rate is kept.
fn window(limits: &config::Limits) -> Micros {
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

/// Returns the backend servers of a data centre that hold models.
fn workers<'a>(
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
            slots: Slots::new(settings.dc.clone(), attempt, SLOT),
            recent: Vec::new(),
            asked: Vec::new(),
            workers: Vec::new(),
        }
    }

    /// Tells whether a former holder should be asked now; all ledgers share the answer.
    pub(crate) fn may_ask(&mut self, sender: &Sender, now: Instant) -> bool {
        self.asked.retain(|(_, at)| now.since(*at) < ASK_EVERY);
        let recent = self.asked.iter().any(|(asked, _)| asked == sender);
        if !recent {
            self.asked.push((sender.clone(), now));
        }
        !recent
    }

    pub(crate) fn find(&self, id: &BackendId) -> Option<usize> {
        self.workers.binary_search_by(|w| w.id.cmp(id)).ok()
    }

    /// Brings the ledgers in line with a configuration; returns changed limits by position.
    pub(crate) fn configure(
        &mut self,
        deployment: &Deployment,
        dc: &DataCentreId,
    ) -> Vec<(usize, Limits)> {
        let wanted: Vec<_> = workers(deployment, dc).collect();
        // A backend server that was removed is kept until its recorded orders are closed.
        let open = |w: &Managed| {
            w.ledger
                .record()
                .is_some_and(|r| r.pending().next().is_some())
        };
        self.workers
            .retain(|w| open(w) || wanted.iter().any(|b| b.id == w.id));
        let mut changed = Vec::new();
        for b in wanted {
            match self.workers.binary_search_by(|w| w.id.cmp(&b.id)) {
                Ok(at) => changed.push((at, limits(b))),
                Err(at) => self.workers.insert(
                    at,
                    Managed {
                        id: b.id.clone(),
                        ledger: Ledger::new(self.host.clone(), self.epoch, limits(b)),
                        asking: false,
                        next_load: Instant::ZERO,
                        rest_until: Instant::ZERO,
                    },
                ),
            }
        }
        changed
    }

    /// Tells whether a worker may be given a model now.
    pub(crate) fn takes_loads(&self, id: &BackendId, now: Instant) -> bool {
        let at = self.find(id);
        at.is_some_and(|at| now >= self.workers[at].rest_until)
    }

    /// Returns the number of recorded orders that are not closed.
    pub(crate) fn pending(&self) -> usize {
        let records = self.workers.iter().filter_map(|w| w.ledger.record());
        records.map(|r| r.pending().count()).sum()
    }

    /// Returns the number of models, or of adapters, that are being loaded.
    pub(crate) fn loading(&self, adapters: bool) -> usize {
        let copies = self.workers.iter().flat_map(|w| w.ledger.copies());
        copies
            .filter(|c| c.adapter == adapters && c.state == CopyState::Loading)
            .count()
    }

    /// Returns the model loads that count against the weight store.
    pub(crate) fn busy(&mut self, now: Instant, limits: &config::Limits) -> usize {
        let window = window(limits);
        self.recent.retain(|start| now.since(*start) < window);
        self.loading(false).max(self.recent.len())
    }

    /// Tells whether the state of the data centre is known well enough to change it.
    pub(crate) fn is_settled(&self, now: Instant, live: &[BackendId]) -> bool {
        let known = |w: &Managed| {
            w.ledger.is_ready() && (w.ledger.has_report() || live.binary_search(&w.id).is_err())
        };
        now.since(self.started) >= SETTLE || self.workers.iter().all(known)
    }

    /// Builds the input of a placement round.
    pub(crate) fn input(&self, around: &Surroundings<'_>) -> PlanInput {
        let dc = &around.settings.dc;
        PlanInput {
            objective: around.deployment.objective,
            workers: workers(around.deployment, dc)
                .filter_map(|b| Some(worker_of(&self.workers[self.find(&b.id)?], b, around.live)))
                .collect(),
            demand: demand(around.deployment, around.demand),
            floor: around.floor.to_vec(),
            ready_elsewhere: around.ready_elsewhere.clone(),
            base_tokens_per_second: around.settings.base_tokens_per_second,
            max_loads: around.loads,
        }
    }
}

fn worker_of(managed: &Managed, b: &BackendServer, live: &[BackendId]) -> Worker {
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

fn demand(deployment: &Deployment, measured: &[ModelDemand]) -> Vec<Demand> {
    let of = |id: &ModelId| {
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
            tokens_per_second: of(&m.id).map_or(0.0, |d| d.tokens_per_second),
            missed_per_second: of(&m.id).map_or(0.0, |d| d.missed_per_second),
        })
        .collect()
}

/// Turns a move into the backend server and the order that it wants.
pub(crate) fn want(mv: Move, id: OrderId) -> (BackendId, NewOrder) {
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

/// Returns the models that have a floor copy which is not ready, sorted.
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
