//! Entries of a deployment, which are the units of change.

use serde::{Deserialize, Serialize};

use crate::{
    deployment::{
        Adapter, BackendServer, Caller, DataCentre, Deployment, Limits, Model, Objective, Service,
    },
    error::{Error, Result},
};

/// Entry of a deployment, which is the unit of change.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Fields of the deployment itself.
    Deployment(DeploymentHeader),
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

/// Fields of a deployment that are not lists.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct DeploymentHeader {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the placement objective.
    pub objective: Objective,
    /// Limits of the whole deployment.
    pub limits: Limits,
}

impl Entry {
    fn kind(&self) -> &'static str {
        match self {
            Self::Deployment(_) => "deployment",
            Self::DataCentre(_) => "dc",
            Self::Service(_) => "service",
            Self::Model(_) => "model",
            Self::Adapter(_) => "adapter",
            Self::Backend(_) => "backend",
            Self::Caller(_) => "caller",
        }
    }

    fn name(&self) -> &str {
        match self {
            Self::Deployment(_) => "",
            Self::DataCentre(e) => e.name(),
            Self::Service(e) => e.name(),
            Self::Model(e) => e.name(),
            Self::Adapter(e) => e.name(),
            Self::Backend(e) => e.name(),
            Self::Caller(e) => e.name(),
        }
    }

    /// Returns the key, which is unique in a deployment and stable across versions.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}/{}", self.kind(), self.name())
    }
}

/// Splits a deployment into its entries.
pub(crate) fn split(d: &Deployment) -> Vec<Entry> {
    let header = Entry::Deployment(DeploymentHeader {
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

/// Assembles a deployment from entries in any order.
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
        return Err(Error::inconsistent("the chunks do not hold one deployment"));
    }
    sort(&mut d.data_centres);
    sort(&mut d.services);
    sort(&mut d.models);
    sort(&mut d.adapters);
    sort(&mut d.backends);
    sort(&mut d.callers);
    Ok(d)
}

/// Inserts or replaces an entry.
pub(crate) fn set(d: &mut Deployment, entry: Entry) {
    match entry {
        Entry::Deployment(h) => (d.name, d.objective, d.limits) = (h.name, h.objective, h.limits),
        Entry::DataCentre(e) => upsert(&mut d.data_centres, e),
        Entry::Service(e) => upsert(&mut d.services, e),
        Entry::Model(e) => upsert(&mut d.models, e),
        Entry::Adapter(e) => upsert(&mut d.adapters, e),
        Entry::Backend(e) => upsert(&mut d.backends, e),
        Entry::Caller(e) => upsert(&mut d.callers, e),
    }
}

/// Removes the entry with the given key.
pub(crate) fn remove(d: &mut Deployment, key: &str) {
    let Some((kind, name)) = key.split_once('/') else {
        return;
    };
    match kind {
        "dc" => remove_named(&mut d.data_centres, name),
        "service" => remove_named(&mut d.services, name),
        "model" => remove_named(&mut d.models, name),
        "adapter" => remove_named(&mut d.adapters, name),
        "backend" => remove_named(&mut d.backends, name),
        "caller" => remove_named(&mut d.callers, name),
        _ => {}
    }
}

/// Entry of a list sorted by name.
trait Named {
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($entry:ident $field:ident,)*) => {$(
        impl Named for $entry {
            fn name(&self) -> &str {
                self.$field.as_str()
            }
        }
    )*};
}

named! {
    DataCentre id,
    Service name,
    Model id,
    Adapter id,
    BackendServer id,
    Caller id,
}

fn sort<T: Named>(list: &mut [T]) {
    list.sort_by(|a, b| a.name().cmp(b.name()));
}

fn upsert<T: Named>(list: &mut Vec<T>, new: T) {
    match list.binary_search_by(|e| e.name().cmp(new.name())) {
        Ok(index) => list[index] = new,
        Err(index) => list.insert(index, new),
    }
}

fn remove_named<T: Named>(list: &mut Vec<T>, name: &str) {
    if let Ok(index) = list.binary_search_by(|e| e.name().cmp(name)) {
        list.remove(index);
    }
}
