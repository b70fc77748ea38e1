//! Minimum copies of every model, from the deployment file alone.

use std::cmp::Reverse;

use config::{Deployment, Model};
use types::{Bytes, DataCentreId, ModelId, score};

use crate::{
    error::{Error, Result, Shortage},
    input::Placement,
};

/// Returns the copies that every data centre must hold, sorted.
///
/// Every model gets one copy, and a second one in another data centre where that leaves `spare`
/// bytes of model memory free on the worker. The spare memory is for replicas and for loading a
/// new version beside the old one. Data centres and workers are ranked by rendezvous hashing
/// weighted by memory, so a small change of the file moves few copies.
///
/// # Errors
///
/// Returns an error with figures if the models can't all be resident.
pub fn floor(deployment: &Deployment, spare: Bytes) -> Result<Vec<Placement>> {
    let mut models: Vec<&Model> = deployment.models.iter().collect();
    models.sort_by_key(|m| (Reverse(m.bytes), &m.id));
    let mut sites = Sites::new(deployment);
    let first: Option<Vec<Slot>> = models.iter().map(|m| sites.ranked(m, None)).collect();
    let first = if let Some(first) = first {
        first
    } else {
        // Ranking alone can strand memory in small pieces; tight files need a denser packing.
        sites = Sites::new(deployment);
        pack(&mut sites, &models)?
    };
    let mut copies = first.clone();
    sites.reserve(spare);
    for (model, slot) in models.iter().zip(first) {
        copies.extend(sites.ranked(model, Some(slot.dc)));
    }
    let mut copies: Vec<Placement> = copies.into_iter().map(|s| s.copy(deployment)).collect();
    copies.sort();
    Ok(copies)
}

/// Returns the memory that second copies should leave free on each worker.
///
/// It is the size that three of four models do not exceed, so that one replica of most models, or
/// a new version beside the old one, fits every worker.
#[must_use]
pub fn memory_headroom(deployment: &Deployment) -> Bytes {
    let mut sizes: Vec<Bytes> = deployment.models.iter().map(|m| m.bytes).collect();
    sizes.sort_unstable();
    sizes.get(sizes.len() * 3 / 4).copied().unwrap_or_default()
}

/// Tells whether a data centre may unload its last copy of a model because another one holds it.
///
/// The other copy must stay meanwhile: either it is of the version in force, or the other data
/// centre ranks before this one for the model and therefore replaces its own copy later.
#[must_use]
pub fn can_rely_on_remote_copy(
    model: &ModelId,
    own: &DataCentreId,
    other: &DataCentreId,
    other_is_current: bool,
) -> bool {
    let rank = |dc: &DataCentreId| score(model.as_str(), dc.as_str(), 1.0);
    other != own && (other_is_current || rank(other) > rank(own))
}

fn pack(sites: &mut Sites<'_>, models: &[&Model]) -> Result<Vec<Slot>> {
    models
        .iter()
        .map(|m| sites.tightest(m).ok_or_else(|| sites.shortage(m, models)))
        .collect()
}

#[derive(Clone, Copy)]
struct Slot {
    backend: usize,
    dc: usize,
    model: usize,
}

impl Slot {
    fn copy(self, deployment: &Deployment) -> Placement {
        Placement {
            worker: deployment.backends[self.backend].id.clone(),
            model: deployment.models[self.model].id.clone(),
        }
    }
}

struct Site<'a> {
    id: &'a DataCentreId,
    memory: u64,
    backends: Vec<usize>,
}

struct Sites<'a> {
    deployment: &'a Deployment,
    dcs: Vec<Site<'a>>,
    free: Vec<u64>,
}

impl<'a> Sites<'a> {
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
            Site {
                id: &dc.id,
                memory: backends.iter().map(|&b| free[b]).sum(),
                backends,
            }
        });
        Self {
            deployment,
            dcs: dcs.filter(|s| s.memory > 0).collect(),
            free,
        }
    }

    /// Takes memory away from all workers before optional copies are placed.
    fn reserve(&mut self, spare: Bytes) {
        for free in &mut self.free {
            *free = free.saturating_sub(spare.get());
        }
    }

    fn fits(&self, backend: usize, model: &Model) -> bool {
        self.free[backend] >= model.bytes.get()
            && self.deployment.backends[backend].service == model.service
    }

    /// Takes the worker of the highest rank that has room, outside the excluded data centre.
    fn ranked(&mut self, model: &Model, exclude: Option<usize>) -> Option<Slot> {
        let mut order: Vec<(f64, usize)> = (0..self.dcs.len())
            .filter(|&dc| Some(dc) != exclude)
            .map(|dc| {
                let site = &self.dcs[dc];
                let weight = site.memory as f64;
                (score(model.id.as_str(), site.id.as_str(), weight), dc)
            })
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (backend, dc) = order
            .into_iter()
            .find_map(|(_, dc)| self.best_in(dc, model).map(|backend| (backend, dc)))?;
        Some(self.take(backend, dc, model))
    }

    fn best_in(&self, dc: usize, model: &Model) -> Option<usize> {
        let rank = |b: usize| {
            let backend = &self.deployment.backends[b];
            let weight = backend.memory.saturating_sub(backend.adapter_pool).get() as f64;
            score(model.id.as_str(), backend.id.as_str(), weight)
        };
        let fitting = self.dcs[dc].backends.iter().copied();
        fitting
            .filter(|&b| self.fits(b, model))
            .map(|b| (rank(b), b))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
            .map(|(_, b)| b)
    }

    /// Takes the worker with the least room that still suffices.
    fn tightest(&mut self, model: &Model) -> Option<Slot> {
        let all = self.dcs.iter().enumerate();
        let (_, backend, dc) = all
            .flat_map(|(dc, site)| site.backends.iter().map(move |&b| (b, dc)))
            .filter(|&(b, _)| self.fits(b, model))
            .map(|(b, dc)| (self.free[b], b, dc))
            .min()?;
        Some(self.take(backend, dc, model))
    }

    fn take(&mut self, backend: usize, dc: usize, model: &Model) -> Slot {
        self.free[backend] -= model.bytes.get();
        let models = &self.deployment.models;
        Slot {
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
                .flat_map(|s| &s.backends)
                .filter(|b| same(b))
        };
        let memory = |b: &usize| {
            let backend = &self.deployment.backends[*b];
            backend.memory.saturating_sub(backend.adapter_pool)
        };
        Error::memory(Shortage {
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
