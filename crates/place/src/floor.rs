//! Floor: the minimum copies of every model, computed from the deployment file alone.

use std::cmp::Reverse;

use config::{Deployment, Model};
use types::{Bytes, DataCentreId, ModelId, rendezvous_score};

use crate::{
    error::{Error, Result, Shortage},
    input::Placement,
};

/// Returns the minimum copies in all data centres, sorted.
///
/// Every model gets one copy, and a second one in another data centre if that leaves `headroom`
/// bytes of model memory free on the worker. The headroom is for replicas and for loading a new
/// version beside the old one. Data centres and workers are ranked by rendezvous hashing weighted
/// by memory, so a small change of the file moves few copies.
///
/// # Errors
///
/// Returns an error if the models don't all fit in memory.
pub fn floor(deployment: &Deployment, headroom: Bytes) -> Result<Vec<Placement>> {
    let mut models: Vec<&Model> = deployment.models.iter().collect();
    models.sort_by_key(|m| (Reverse(m.bytes), &m.id));
    let mut packing = Packing::new(deployment);
    let first: Option<Vec<Assignment>> = models
        .iter()
        .map(|m| packing.assign_by_rank(m, None))
        .collect();
    let first = if let Some(first) = first {
        first
    } else {
        // Ranking can leave memory fragmented; a nearly full deployment needs a denser packing.
        packing = Packing::new(deployment);
        pack_best_fit(&mut packing, &models)?
    };
    let mut copies = first.clone();
    packing.reserve_headroom(headroom);
    for (model, assignment) in models.iter().zip(first) {
        copies.extend(packing.assign_by_rank(model, Some(assignment.dc)));
    }
    let mut copies: Vec<Placement> = copies
        .into_iter()
        .map(|a| a.placement(deployment))
        .collect();
    copies.sort();
    Ok(copies)
}

/// Returns the memory that second copies should leave free on each worker.
///
/// This is the third quartile of the model sizes, so that a replica of most models, or a new
/// version beside the old one, fits on every worker.
#[must_use]
pub fn memory_headroom(deployment: &Deployment) -> Bytes {
    let mut sizes: Vec<Bytes> = deployment.models.iter().map(|m| m.bytes).collect();
    sizes.sort_unstable();
    sizes.get(sizes.len() * 3 / 4).copied().unwrap_or_default()
}

/// Returns whether a data centre may unload its last copy of a model because another one holds it.
///
/// The other copy must stay loaded in the meantime: either it has the configured version, or the
/// other data centre has a higher rank for the model and therefore replaces its own copy later.
#[must_use]
pub fn can_rely_on_remote_copy(
    model: &ModelId,
    own: &DataCentreId,
    other: &DataCentreId,
    other_is_current: bool,
) -> bool {
    let rank = |dc: &DataCentreId| rendezvous_score(model.as_str(), dc.as_str(), 1.0);
    other != own && (other_is_current || rank(other) > rank(own))
}

fn pack_best_fit(packing: &mut Packing<'_>, models: &[&Model]) -> Result<Vec<Assignment>> {
    models
        .iter()
        .map(|m| {
            packing
                .assign_best_fit(m)
                .ok_or_else(|| packing.shortage(m, models))
        })
        .collect()
}

/// Indices of a worker, its data centre and the model assigned to it.
#[derive(Clone, Copy)]
struct Assignment {
    backend: usize,
    dc: usize,
    model: usize,
}

impl Assignment {
    fn placement(self, deployment: &Deployment) -> Placement {
        Placement {
            worker: deployment.backends[self.backend].id.clone(),
            model: deployment.models[self.model].id.clone(),
        }
    }
}

/// Data centre with the workers that have memory for models.
struct DataCentreMemory<'a> {
    id: &'a DataCentreId,
    /// Total memory of the workers, in bytes.
    memory: u64,
    backends: Vec<usize>,
}

/// Partial assignment of models to workers.
struct Packing<'a> {
    deployment: &'a Deployment,
    dcs: Vec<DataCentreMemory<'a>>,
    /// Free memory by worker, in bytes.
    free: Vec<u64>,
}

impl<'a> Packing<'a> {
    fn new(deployment: &'a Deployment) -> Self {
        let free: Vec<u64> = deployment
            .backends
            .iter()
            .map(|b| b.memory.saturating_sub(b.adapter_pool).get())
            .collect();
        let dcs = deployment.data_centres.iter().map(|dc| {
            let backends: Vec<usize> = (0..free.len())
                .filter(|&b| free[b] > 0 && deployment.backends[b].dc == dc.id)
                .collect();
            DataCentreMemory {
                id: &dc.id,
                memory: backends.iter().map(|&b| free[b]).sum(),
                backends,
            }
        });
        Self {
            deployment,
            dcs: dcs.filter(|dc| dc.memory > 0).collect(),
            free,
        }
    }

    /// Reduces the free memory of all workers before the second copies are assigned.
    fn reserve_headroom(&mut self, headroom: Bytes) {
        for free in &mut self.free {
            *free = free.saturating_sub(headroom.get());
        }
    }

    fn fits(&self, backend: usize, model: &Model) -> bool {
        self.free[backend] >= model.bytes.get()
            && self.deployment.backends[backend].service == model.service
    }

    /// Assigns a model to the highest-ranked worker with enough memory outside a data centre.
    fn assign_by_rank(&mut self, model: &Model, excluded: Option<usize>) -> Option<Assignment> {
        let mut order: Vec<(f64, usize)> = (0..self.dcs.len())
            .filter(|&dc| Some(dc) != excluded)
            .map(|dc| {
                let dc_memory = &self.dcs[dc];
                let weight = dc_memory.memory as f64;
                (
                    rendezvous_score(model.id.as_str(), dc_memory.id.as_str(), weight),
                    dc,
                )
            })
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (backend, dc) = order.into_iter().find_map(|(_, dc)| {
            self.highest_ranked_in(dc, model)
                .map(|backend| (backend, dc))
        })?;
        Some(self.assign(backend, dc, model))
    }

    fn highest_ranked_in(&self, dc: usize, model: &Model) -> Option<usize> {
        let rank = |b: usize| {
            let backend = &self.deployment.backends[b];
            let weight = backend.memory.saturating_sub(backend.adapter_pool).get() as f64;
            rendezvous_score(model.id.as_str(), backend.id.as_str(), weight)
        };
        let candidates = self.dcs[dc].backends.iter().copied();
        candidates
            .filter(|&b| self.fits(b, model))
            .map(|b| (rank(b), b))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
            .map(|(_, b)| b)
    }

    /// Assigns a model to the worker with the least free memory that is sufficient.
    fn assign_best_fit(&mut self, model: &Model) -> Option<Assignment> {
        let all = self.dcs.iter().enumerate();
        let (_, backend, dc) = all
            .flat_map(|(dc, dc_memory)| dc_memory.backends.iter().map(move |&b| (b, dc)))
            .filter(|&(b, _)| self.fits(b, model))
            .map(|(b, dc)| (self.free[b], b, dc))
            .min()?;
        Some(self.assign(backend, dc, model))
    }

    fn assign(&mut self, backend: usize, dc: usize, model: &Model) -> Assignment {
        self.free[backend] -= model.bytes.get();
        let models = &self.deployment.models;
        Assignment {
            backend,
            dc,
            model: models
                .binary_search_by(|m| m.id.cmp(&model.id))
                .expect("the models of a checked file are sorted"),
        }
    }

    fn shortage(&self, model: &Model, models: &[&Model]) -> Error {
        let same = |b: &usize| self.deployment.backends[*b].service == model.service;
        let backends = || {
            self.dcs
                .iter()
                .flat_map(|dc| &dc.backends)
                .filter(|b| same(b))
        };
        let memory = |b: &usize| {
            let backend = &self.deployment.backends[*b];
            backend.memory.saturating_sub(backend.adapter_pool)
        };
        Error::insufficient_memory(Shortage {
            model: model.id.clone(),
            bytes: model.bytes,
            needed: models
                .iter()
                .filter(|m| m.service == model.service)
                .map(|m| m.bytes)
                .sum(),
            available: backends().map(memory).sum(),
            largest: backends()
                .map(|&b| Bytes::new(self.free[b]))
                .max()
                .unwrap_or_default(),
        })
    }
}
