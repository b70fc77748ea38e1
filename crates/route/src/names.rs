//! Mapping between names and indexes of the configuration in force.

use std::sync::Arc;

use config::{ActiveConfig, Deployment};
use types::{AdapterId, BackendId, ConfigVersion, DataCentreId, ModelId, ServiceName};

/// Index of the names in the configuration in force; an index is the position in the sorted list.
#[derive(Clone, Debug)]
pub(crate) struct NameIndex {
    in_force: Arc<ActiveConfig>,
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the lists of a deployment are far shorter than the range of the index"
)]
impl NameIndex {
    pub(crate) fn new(in_force: Arc<ActiveConfig>) -> Self {
        Self { in_force }
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.in_force.version
    }

    pub(crate) fn deployment(&self) -> &Deployment {
        &self.in_force.deployment
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<u16> {
        let services = &self.deployment().services;
        let at = services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(at as u16)
    }

    pub(crate) fn model(&self, id: &ModelId) -> Option<u16> {
        self.model_named(id.as_str())
    }

    pub(crate) fn model_named(&self, name: &str) -> Option<u16> {
        let models = &self.deployment().models;
        let at = models.binary_search_by(|m| m.id.as_str().cmp(name)).ok()?;
        Some(at as u16)
    }

    pub(crate) fn model_id(&self, model: u16) -> &ModelId {
        &self.deployment().models[usize::from(model)].id
    }

    pub(crate) fn adapter(&self, id: &AdapterId) -> Option<u16> {
        self.adapter_named(id.as_str())
    }

    pub(crate) fn adapter_named(&self, name: &str) -> Option<u16> {
        let adapters = &self.deployment().adapters;
        let at = adapters
            .binary_search_by(|a| a.id.as_str().cmp(name))
            .ok()?;
        Some(at as u16)
    }

    pub(crate) fn adapter_id(&self, adapter: u16) -> &AdapterId {
        &self.deployment().adapters[usize::from(adapter)].id
    }

    pub(crate) fn backend(&self, id: &BackendId) -> Option<u32> {
        let backends = &self.deployment().backends;
        let at = backends.binary_search_by(|b| b.id.cmp(id)).ok()?;
        Some(at as u32)
    }

    pub(crate) fn backend_id(&self, backend: u32) -> &BackendId {
        &self.deployment().backends[backend as usize].id
    }

    pub(crate) fn dc(&self, id: &DataCentreId) -> Option<u16> {
        let dcs = &self.deployment().data_centres;
        let at = dcs.binary_search_by(|d| d.id.cmp(id)).ok()?;
        Some(at as u16)
    }

    pub(crate) fn dc_id(&self, dc: u16) -> &DataCentreId {
        &self.deployment().data_centres[usize::from(dc)].id
    }
}

/// Mapping from the indexes of the previous configuration to the new ones.
#[derive(Debug, Default)]
pub(crate) struct IndexMapping {
    pub models: Vec<Option<u16>>,
    pub adapters: Vec<Option<u16>>,
    pub services: Vec<Option<u16>>,
    pub backends: Vec<Option<u32>>,
    pub dcs: Vec<Option<u16>>,
}

impl IndexMapping {
    pub(crate) fn new(old: &NameIndex, new: &NameIndex) -> Self {
        let from = old.deployment();
        Self {
            models: from.models.iter().map(|m| new.model(&m.id)).collect(),
            adapters: from.adapters.iter().map(|a| new.adapter(&a.id)).collect(),
            services: from.services.iter().map(|s| new.service(&s.name)).collect(),
            backends: from.backends.iter().map(|b| new.backend(&b.id)).collect(),
            dcs: from.data_centres.iter().map(|d| new.dc(&d.id)).collect(),
        }
    }
}
