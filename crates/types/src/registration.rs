//! What backend servers register about themselves, and what workers report.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{AdapterId, BackendId, DataCentreId, Incarnation, ModelId, ServiceName},
    time::Micros,
};

/// Entry of a backend server in the platform's registry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// Name.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for HTTP.
    pub addr: SocketAddr,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time after which it is gone, if it is taken away at short notice.
    #[serde(rename = "gone_in")]
    pub terminates_in: Option<Micros>,
    /// What it holds, as far as it serves models.
    pub state: WorkerState,
}

/// What a worker holds and does.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct WorkerState {
    /// Life of the worker's process.
    pub incarnation: Incarnation,
    /// Orders that it has accepted in this life, as its reports tell.
    pub orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// Models that it serves, sorted by id.
    pub models: Vec<ServedModel>,
    /// Adapters that are on their way to it.
    #[serde(rename = "coming")]
    pub pending_adapters: Vec<AdapterId>,
    /// Models of which the host's memory has a copy.
    pub in_memory: Vec<ModelId>,
    /// Models of which the disk has a copy.
    pub on_disk: Vec<ModelId>,
}

/// Model that a worker serves.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServedModel {
    /// Name.
    pub id: ModelId,
    /// Adapters of it that the worker serves, sorted.
    pub adapters: Vec<AdapterId>,
}

impl WorkerState {
    /// Finds a model that the worker serves.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ServedModel> {
        let at = self.models.binary_search_by(|m| m.id.cmp(id)).ok()?;
        Some(&self.models[at])
    }

    /// Tells whether a copy of a model is at hand, so that no load from the weight store is needed.
    #[must_use]
    pub fn has_cached_copy(&self, id: &ModelId) -> bool {
        self.in_memory.contains(id) || self.on_disk.contains(id)
    }

    /// Returns the number of adapters that the worker serves or that are on their way.
    #[must_use]
    pub fn adapters(&self) -> usize {
        let served: usize = self.models.iter().map(|m| m.adapters.len()).sum();
        served + self.pending_adapters.len()
    }
}
