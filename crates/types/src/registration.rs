//! Registrations of backend servers and the reported state of workers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{AdapterId, BackendId, DataCentreId, Incarnation, ModelId, ServiceName},
    revision::StoreRevision,
    time::Micros,
};

/// Entry of a backend server in the platform's registry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Registration {
    /// Name.
    pub id: BackendId,
    /// Service that it serves.
    pub service: ServiceName,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Time until the machine is reclaimed, if it is reclaimed at short notice.
    #[serde(rename = "gone_in")]
    pub terminates_in: Option<Micros>,
    /// State of the worker, if the server serves models.
    pub state: WorkerState,
}

/// Entry of a backend server and the revision of the platform at which it last changed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RevisedRegistration {
    /// Revision of the last change.
    pub revision: StoreRevision,
    /// Entry.
    pub registration: Registration,
}

/// Reported state of a worker.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct WorkerState {
    /// Incarnation of the worker's process.
    pub incarnation: Incarnation,
    /// Number of orders accepted in this incarnation, as reported.
    pub orders: u64,
    /// Whether an order is being executed.
    pub busy: bool,
    /// Models that it serves, sorted by id.
    pub models: Vec<ServedModel>,
    /// Adapters that are being loaded.
    #[serde(rename = "coming")]
    pub pending_adapters: Vec<AdapterId>,
    /// Models with a copy in the host's memory.
    pub in_memory: Vec<ModelId>,
    /// Models with a copy on disk.
    pub on_disk: Vec<ModelId>,
}

/// Model that a worker serves.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServedModel {
    /// Name.
    pub id: ModelId,
    /// Adapters of the model that the worker serves, sorted.
    pub adapters: Vec<AdapterId>,
}

impl WorkerState {
    /// Returns a served model.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ServedModel> {
        let index = self.models.binary_search_by(|m| m.id.cmp(id)).ok()?;
        Some(&self.models[index])
    }

    /// Returns whether a copy of a model is in memory or on disk, so that loading it does not need
    /// the weight store.
    #[must_use]
    pub fn has_cached_copy(&self, id: &ModelId) -> bool {
        self.in_memory.contains(id) || self.on_disk.contains(id)
    }

    /// Returns the number of adapters that are served or being loaded.
    #[must_use]
    pub fn adapters(&self) -> usize {
        let served: usize = self.models.iter().map(|m| m.adapters.len()).sum();
        served + self.pending_adapters.len()
    }
}
