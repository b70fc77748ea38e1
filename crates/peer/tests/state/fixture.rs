//! Deployments of a given size.

use std::sync::Arc;

use config::{
    BackendServer, DataCentre, Deployment, Model, Priority, Service, ServiceKind, Snapshot,
};
use types::{AttemptId, Bytes, DataCentreId, Micros};

/// Number of hosts, data centres, models, and workers per data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) hosts: usize,
    pub(crate) dcs: usize,
    pub(crate) models: usize,
    pub(crate) workers: usize,
}

impl Size {
    pub(crate) const fn of(hosts: usize, dcs: usize) -> Self {
        Self {
            hosts,
            dcs,
            models: 50,
            workers: 4,
        }
    }
}

pub(crate) fn dc(i: usize) -> DataCentreId {
    format!("dc-{i:02}").parse().unwrap()
}

pub(crate) fn deployment(size: Size) -> Deployment {
    let model = |i: usize| Model {
        id: format!("model-{i:04}").parse().unwrap(),
        version: "2026.12".parse().unwrap(),
        service: "chat".parse().unwrap(),
        bytes: Bytes::new(20 << 30),
        priority: Priority::new(1),
    };
    let worker = |i: usize| BackendServer {
        id: format!("w-{i:04}").parse().unwrap(),
        dc: dc(i % size.dcs),
        service: "chat".parse().unwrap(),
        memory: Bytes::new(160 << 30),
        adapter_pool: Bytes::new(8 << 30),
        accelerators: 2,
        speed: 1.0,
        max_in_flight: 32,
        fences: false,
    };
    let data_centre = |i: usize| DataCentre {
        id: dc(i),
        region: "r".parse().unwrap(),
    };
    Deployment {
        name: "sim".to_owned(),
        data_centres: (0..size.dcs).map(data_centre).collect(),
        services: vec![Service {
            name: "chat".parse().unwrap(),
            kind: ServiceKind::Model,
            priority: Priority::new(0),
            deadline: Micros::from_secs(10),
            max_deadline: Micros::from_secs(20),
            first_token: Micros::from_millis(490),
            between_tokens: Micros::from_millis(26),
            idempotent: true,
        }],
        models: (0..size.models).map(model).collect(),
        backends: (0..size.workers * size.dcs).map(worker).collect(),
        ..Deployment::default()
    }
}

/// Returns the next version, with one changed model.
pub(crate) fn changed(previous: &Snapshot) -> Snapshot {
    let mut d = Deployment::clone(&previous.config.deployment);
    let version = previous.config.version.get();
    let at = usize::try_from(version).unwrap() % d.models.len();
    d.models[at].bytes += Bytes::new(1 << 20);
    let id = AttemptId::new(u128::from(version) + 1);
    Snapshot::next(Some(&previous.manifest), &d, "ana", id)
}

pub(crate) fn first(size: Size) -> Arc<Snapshot> {
    let id = AttemptId::new(1);
    Arc::new(Snapshot::next(None, &deployment(size), "ana", id))
}
