//! Builds a deployment from the operator's routes and the registered backend servers.

use config::{
    Adapter, BackendServer, DataCentre, Deployment, EngineSpec, Limits, Model, ModelSpec,
    Objective, Priority, RouteTable, RoutedService, Service, ServiceKind,
};
use types::{AdapterId, Bytes, Micros, Registration, ServiceName, VersionTag};

/// Maximum number of queued requests on one entry host.
const MAX_QUEUED: u32 = 1_024;

/// Requests in flight per slot of a plain server, so that it always has the next one queued.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;

/// Version of models and adapters, for which the configuration states none.
const DEFAULT_VERSION: &str = "v1";

/// Returns the deployment that the router uses: the routed services with their models and servers.
///
/// Registrations for a service without a route or in an unknown data centre are left out.
#[must_use]
pub fn build_deployment(
    table: &RouteTable,
    data_centres: &[DataCentre],
    registered: &[&Registration],
) -> Deployment {
    let backends = registered.iter().filter_map(|r| {
        let service = table.service(&r.service)?;
        let dc_is_known = data_centres.iter().any(|dc| dc.id == r.dc);
        dc_is_known.then(|| backend_server(r, service))
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
            queue: MAX_QUEUED,
            ..Limits::default()
        },
        data_centres: data_centres.to_vec(),
        services: table.services().iter().map(service).collect(),
        models,
        adapters,
        backends: backends.collect(),
        callers: Vec::new(),
    }
}

fn default_version() -> VersionTag {
    DEFAULT_VERSION
        .parse()
        .expect("the constant is a valid name")
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
        version: default_version(),
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
            version: default_version(),
            model: spec.id.clone(),
            bytes: spec.adapter_bytes,
            priority: Priority::default(),
        })
    })
}

fn backend_server(registration: &Registration, service: &RoutedService) -> BackendServer {
    let max_in_flight = match service.engine {
        // An engine orders its own queue by urgency, so it may hold more requests than slots.
        Some(_) => registration.slots.saturating_add(registration.slots / 2),
        None => registration.slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT),
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
        max_in_flight: max_in_flight.min(service.connections),
        fences: false,
    }
}
