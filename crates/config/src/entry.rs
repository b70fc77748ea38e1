//! Entries of a deployment, the unit of change.

use serde::{Deserialize, Serialize};

use crate::{
    deployment::{
        Adapter, BackendServer, Caller, DataCentre, Deployment, Limits, Model, Objective, Service,
    },
    error::{Error, Result},
};

/// Entry of a deployment, the unit of change.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// What there is once in a deployment.
    Deployment(Header),
    /// Data centre.
    DataCentre(DataCentre),
    /// Service.
    Service(Service),
    /// Model.
    Model(Model),
    /// Adapter.
    Adapter(Adapter),
    /// Backend server.
    Backend(BackendServer),
    /// Caller.
    Caller(Caller),
}

/// What there is once in a deployment.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Header {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the measures.
    pub objective: Objective,
    /// Limits of the whole deployment.
    pub limits: Limits,
}

impl Entry {
    /// Returns the key, which is unique in a deployment and never changes.
    #[must_use]
    pub fn key(&self) -> String {
        let (kind, name) = match self {
            Self::Deployment(_) => ("deployment", ""),
            Self::DataCentre(e) => ("dc", e.id.as_str()),
            Self::Service(e) => ("service", e.name.as_str()),
            Self::Model(e) => ("model", e.id.as_str()),
            Self::Adapter(e) => ("adapter", e.id.as_str()),
            Self::Backend(e) => ("backend", e.id.as_str()),
            Self::Caller(e) => ("caller", e.id.as_str()),
        };
        format!("{kind}/{name}")
    }
}

/// Takes a deployment apart.
pub(crate) fn split(d: &Deployment) -> Vec<Entry> {
    let header = Entry::Deployment(Header {
        name: d.name.clone(),
        objective: d.objective,
        limits: d.limits,
    });
    std::iter::once(header)
        .chain(d.data_centres.iter().cloned().map(Entry::DataCentre))
        .chain(d.services.iter().cloned().map(Entry::Service))
        .chain(d.models.iter().cloned().map(Entry::Model))
        .chain(d.adapters.iter().cloned().map(Entry::Adapter))
        .chain(d.backends.iter().cloned().map(Entry::Backend))
        .chain(d.callers.iter().cloned().map(Entry::Caller))
        .collect()
}

/// Puts a deployment together; the entries may come in any order.
pub(crate) fn join<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Result<Deployment> {
    let mut d = Deployment::default();
    let mut headers = 0;
    for entry in entries {
        match entry.clone() {
            Entry::Deployment(h) => {
                headers += 1;
                (d.name, d.objective, d.limits) = (h.name, h.objective, h.limits);
            }
            Entry::DataCentre(e) => d.data_centres.push(e),
            Entry::Service(e) => d.services.push(e),
            Entry::Model(e) => d.models.push(e),
            Entry::Adapter(e) => d.adapters.push(e),
            Entry::Backend(e) => d.backends.push(e),
            Entry::Caller(e) => d.callers.push(e),
        }
    }
    if headers != 1 {
        return Err(Error::garbage("the chunks do not hold one deployment"));
    }
    d.data_centres.sort_by(|a, b| a.id.cmp(&b.id));
    d.services.sort_by(|a, b| a.name.cmp(&b.name));
    d.models.sort_by(|a, b| a.id.cmp(&b.id));
    d.adapters.sort_by(|a, b| a.id.cmp(&b.id));
    d.backends.sort_by(|a, b| a.id.cmp(&b.id));
    d.callers.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(d)
}
