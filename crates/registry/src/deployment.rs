//! Joins the operator's routes with the registered backend servers.

use config::{
    Adapter, BackendServer, DataCentre, Deployment, EngineSpec, Limits, Model, ModelSpec,
    Objective, Priority, RouteTable, RoutedService, Service, ServiceKind,
};
use types::{AdapterId, Bytes, Micros, Registration, ServiceName, VersionTag};

/// Requests that may wait on one entry host.
const QUEUE: u32 = 1_024;

/// Requests per place of a plain server that may be in flight, so that it always has the next one.
const PLAIN_DEPTH: u32 = 2;

/// Version of everything whose version the configuration does not name.
const VERSION: &str = "v1";

/// Returns what the router works on: the services and models of the routes and their servers.
///
/// Entries that name a service of no route are left out, as they name no server to use.
#[must_use]
pub fn build_deployment(
    table: &RouteTable,
    data_centres: &[DataCentre],
    registered: &[&Registration],
) -> Deployment {
    let servers = registered.iter().filter_map(|r| {
        let service = table.service(&r.service)?;
        let known = data_centres.iter().any(|dc| dc.id == r.dc);
        known.then(|| server(r, service))
    });
    let engines = table.services().iter().filter_map(|s| {
        let engine = s.engine.as_ref()?;
        Some((&s.name, engine))
    });
    let engines: Vec<(&ServiceName, &EngineSpec)> = engines.collect();
    let specs = || {
        let all = engines.iter();
        all.flat_map(|(service, engine)| engine.models.iter().map(move |m| (*service, m)))
    };
    let mut models: Vec<Model> = specs()
        .map(|(service, spec)| model(service, spec))
        .collect();
    models.sort_by(|a, b| a.id.cmp(&b.id));
    models.dedup_by(|a, b| a.id == b.id);
    let mut adapters: Vec<Adapter> = specs().flat_map(|(_, spec)| adapters(spec)).collect();
    adapters.sort_by(|a, b| a.id.cmp(&b.id));
    adapters.dedup_by(|a, b| a.id == b.id);
    Deployment {
        name: String::new(),
        objective: Objective::default(),
        limits: Limits {
            body: table.limits.body,
            headers: table.limits.head,
            queue: QUEUE,
            ..Limits::default()
        },
        data_centres: data_centres.to_vec(),
        services: table.services().iter().map(service).collect(),
        models,
        adapters,
        backends: servers.collect(),
        callers: Vec::new(),
    }
}

fn version() -> VersionTag {
    VERSION.parse().expect("the constant is a valid name")
}

fn service(service: &RoutedService) -> Service {
    Service {
        name: service.name.clone(),
        kind: match service.engine {
            Some(_) => ServiceKind::Model,
            None => ServiceKind::Plain,
        },
        priority: Priority::default(),
        deadline: Micros::ZERO,
        max_deadline: Micros::ZERO,
        first_token: Micros::ZERO,
        between_tokens: Micros::ZERO,
        idempotent: false,
    }
}

fn model(service: &ServiceName, spec: &ModelSpec) -> Model {
    Model {
        id: spec.id.clone(),
        version: version(),
        service: service.clone(),
        bytes: spec.bytes,
        priority: Priority::default(),
    }
}

fn adapters(spec: &ModelSpec) -> impl Iterator<Item = Adapter> + '_ {
    (1..=spec.adapters).filter_map(|number| {
        let id: AdapterId = format!("{}:a{number}", spec.id).parse().ok()?;
        Some(Adapter {
            id,
            version: version(),
            model: spec.id.clone(),
            bytes: spec.adapter_bytes,
            priority: Priority::default(),
        })
    })
}

fn server(registration: &Registration, service: &RoutedService) -> BackendServer {
    let depth = match service.engine {
        // An engine queues by urgency itself, so it may have more requests than places.
        Some(_) => registration.slots.saturating_add(registration.slots / 2),
        None => registration.slots.saturating_mul(PLAIN_DEPTH),
    };
    let memory = service.engine.as_ref().map_or(Bytes::ZERO, |e| e.memory);
    BackendServer {
        id: registration.id.clone(),
        dc: registration.dc.clone(),
        service: registration.service.clone(),
        memory,
        adapter_pool: Bytes::ZERO,
        accelerators: 1,
        speed: 1.0,
        max_in_flight: depth.min(service.connections),
        fences: false,
    }
}
