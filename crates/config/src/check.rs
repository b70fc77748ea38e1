//! Validates the deployment file and reports all faults.

use std::collections::BTreeMap;

use types::{BackendId, Bytes, CallerId, Micros, ServiceName};

use crate::{
    deployment::{
        Adapter, BackendServer, Caller, DataCentre, Deployment, Limits, Model, Objective, Priority,
        Service, ServiceKind, TokenHash,
    },
    document::{Document, Faults, Section},
    error::Error,
};

const MAX_PRIORITY: u32 = 100;
const MAX_WEIGHT: f64 = 1e6;
const MAX_SPEED: f64 = 1e3;
const MAX_COUNT: u32 = 1_000_000;
const MAX_DEADLINE: Micros = Micros::from_secs(24 * 3_600);

/// Validated entry and the table from which it was read.
type Located<'a, T> = (Section<'a>, T);

impl TryFrom<Document> for Deployment {
    type Error = Error;

    fn try_from(doc: Document) -> Result<Self, Error> {
        doc.check(deployment)
    }
}

fn deployment(root: &Section<'_>, faults: &mut Faults<'_>) -> Option<Deployment> {
    const FIELDS: [&str; 9] = [
        "name",
        "objective",
        "limits",
        "data_centres",
        "services",
        "models",
        "adapters",
        "backends",
        "callers",
    ];
    root.reject_unknown_fields(&FIELDS, faults);
    let name = root.text("name", faults);
    let objective = root.section("objective", faults);
    let objective = objective.and_then(|s| self::objective(&s, faults));
    let limits = root.section("limits", faults);
    let limits = limits.and_then(|s| self::limits(&s, faults));

    let names = Names::read(root, faults);
    let data_centres = entries(root, "data_centres", faults, data_centre);
    let services = entries(root, "services", faults, service);
    let models = entries(root, "models", faults, model);
    let adapters = entries(root, "adapters", faults, adapter);
    let backends = entries(root, "backends", faults, backend);
    let callers = entries(root, "callers", faults, caller);

    names.check(&models, &adapters, &backends, &callers, faults);
    check_kinds(&services, &models, &backends, faults);
    check_memory(&models, &adapters, &backends, faults);
    check_tokens(&callers, faults);
    Some(Deployment {
        name: name?.to_owned(),
        objective: objective?,
        limits: limits?,
        data_centres: sorted(data_centres, |d| d.id.as_str()),
        services: sorted(services, |s| s.name.as_str()),
        models: sorted(models, |m| m.id.as_str()),
        adapters: sorted(adapters, |a| a.id.as_str()),
        backends: sorted(backends, |b| b.id.as_str()),
        callers: sorted(callers, |c| c.id.as_str()),
    })
}

fn sorted<T>(entries: Vec<Located<'_, T>>, key: impl Fn(&T) -> &str) -> Vec<T> {
    let mut entries: Vec<T> = entries.into_iter().map(|(_, e)| e).collect();
    entries.sort_by(|a, b| key(a).cmp(key(b)));
    entries
}

fn entries<'a, T>(
    root: &Section<'a>,
    field: &str,
    faults: &mut Faults<'_>,
    read: impl Fn(&Section<'a>, &mut Faults<'_>) -> Option<T>,
) -> Vec<Located<'a, T>> {
    // `Names::read` reports the faults of the list itself.
    let sections = root.sections(field, &mut faults.discard());
    sections
        .into_iter()
        .filter_map(|s| read(&s, faults).map(|e| (s, e)))
        .collect()
}

fn objective(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Objective> {
    s.reject_unknown_fields(&["attainment", "moves"], faults);
    let attainment = s.number("attainment", MAX_WEIGHT, faults);
    let moves = s.number("moves", MAX_WEIGHT, faults);
    let (attainment, moves) = (attainment?, moves?);
    if attainment + moves <= 0.0 {
        faults.at(s, "attainment", "at least one weight must be positive");
    }
    Some(Objective { attainment, moves })
}

fn limits(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Limits> {
    const FIELDS: [&str; 7] = [
        "body",
        "headers",
        "queue",
        "weight_store_slots",
        "weight_store_rate",
        "adapter_loads",
        "claim_retention",
    ];
    s.reject_unknown_fields(&FIELDS, faults);
    let body = s.parse("body", faults);
    let headers = s.parse("headers", faults);
    let queue = s.integer("queue", 1..MAX_COUNT, faults);
    let weight_store_slots = s.integer("weight_store_slots", 1..1_000, faults);
    let weight_store_rate = s.parse("weight_store_rate", faults);
    let adapter_loads = s.integer("adapter_loads", 1..MAX_COUNT, faults);
    let claim_retention = s.parse("claim_retention", faults);
    Some(Limits {
        body: body?,
        headers: headers?,
        queue: queue?,
        weight_store_slots: weight_store_slots?,
        weight_store_rate: weight_store_rate?,
        adapter_loads: adapter_loads?,
        claim_retention: claim_retention?,
    })
}

fn data_centre(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<DataCentre> {
    s.reject_unknown_fields(&["name", "region"], faults);
    let id = s.parse("name", faults);
    let region = s.parse("region", faults);
    Some(DataCentre {
        id: id?,
        region: region?,
    })
}

fn priority(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Priority> {
    let p = s.integer_or("priority", 0..MAX_PRIORITY + 1, 0, faults)?;
    u8::try_from(p).ok().map(Priority::new)
}

fn service(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Service> {
    const FIELDS: [&str; 8] = [
        "name",
        "kind",
        "priority",
        "deadline",
        "max_deadline",
        "first_token",
        "between_tokens",
        "idempotent",
    ];
    s.reject_unknown_fields(&FIELDS, faults);
    let name = s.parse("name", faults);
    let kind = s.text("kind", faults).and_then(|kind| match kind {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        _ => {
            faults.at(s, "kind", "expected model or plain");
            None
        }
    });
    let priority = priority(s, faults);
    let deadline: Option<Micros> = s.parse("deadline", faults);
    let max_deadline = s.parse_or("max_deadline", deadline.unwrap_or_default(), faults);
    let tokens = kind.and_then(|kind| token_targets(s, kind, faults));
    let default = kind == Some(ServiceKind::Model);
    let idempotent = s.boolean_or("idempotent", default, faults);
    let (deadline, max_deadline) = (deadline?, max_deadline?);
    if deadline == Micros::ZERO || max_deadline < deadline || max_deadline > MAX_DEADLINE {
        let message = "expected 0 < deadline <= max_deadline <= 24 h";
        faults.at(s, "deadline", message);
    }
    let (first_token, between_tokens) = tokens?;
    Some(Service {
        name: name?,
        kind: kind?,
        priority: priority?,
        deadline,
        max_deadline,
        first_token,
        between_tokens,
        idempotent: idempotent?,
    })
}

fn token_targets(
    s: &Section<'_>,
    kind: ServiceKind,
    faults: &mut Faults<'_>,
) -> Option<(Micros, Micros)> {
    match kind {
        ServiceKind::Model => {
            let first = s.parse("first_token", faults);
            let between = s.parse("between_tokens", faults);
            Some((first?, between?))
        }
        ServiceKind::Plain => {
            for field in ["first_token", "between_tokens"] {
                if s.has(field) {
                    faults.at(s, field, "a plain service generates no tokens");
                }
            }
            Some((Micros::ZERO, Micros::ZERO))
        }
    }
}

fn size(s: &Section<'_>, field: &str, faults: &mut Faults<'_>) -> Option<Bytes> {
    let bytes: Bytes = s.parse(field, faults)?;
    if bytes == Bytes::ZERO {
        faults.at(s, field, "expected a size above zero");
    }
    Some(bytes)
}

fn model(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Model> {
    s.reject_unknown_fields(&["name", "version", "service", "bytes", "priority"], faults);
    let id = s.parse("name", faults);
    let version = s.parse("version", faults);
    let service = s.parse("service", faults);
    let bytes = size(s, "bytes", faults);
    let priority = priority(s, faults);
    Some(Model {
        id: id?,
        version: version?,
        service: service?,
        bytes: bytes?,
        priority: priority?,
    })
}

fn adapter(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Adapter> {
    s.reject_unknown_fields(&["name", "version", "model", "bytes", "priority"], faults);
    let id = s.parse("name", faults);
    let version = s.parse("version", faults);
    let model = s.parse("model", faults);
    let bytes = size(s, "bytes", faults);
    let priority = priority(s, faults);
    Some(Adapter {
        id: id?,
        version: version?,
        model: model?,
        bytes: bytes?,
        priority: priority?,
    })
}

fn backend(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<BackendServer> {
    const FIELDS: [&str; 9] = [
        "name",
        "data_centre",
        "service",
        "memory",
        "adapter_pool",
        "accelerators",
        "speed",
        "max_in_flight",
        "fences",
    ];
    s.reject_unknown_fields(&FIELDS, faults);
    let id: Option<BackendId> = s.parse("name", faults);
    let dc = s.parse("data_centre", faults);
    let service: Option<ServiceName> = s.parse("service", faults);
    let memory = s.parse_or("memory", Bytes::ZERO, faults);
    let adapter_pool = s.parse_or("adapter_pool", Bytes::ZERO, faults);
    let accelerators = s.integer_or("accelerators", 0..1_000, 0, faults);
    let speed = if s.has("speed") {
        s.number("speed", MAX_SPEED, faults)
    } else {
        Some(1.0)
    };
    if speed == Some(0.0) {
        faults.at(s, "speed", "expected a speed above zero");
    }
    let max_in_flight = s.integer("max_in_flight", 1..MAX_COUNT, faults);
    let fences = s.boolean_or("fences", false, faults);
    Some(BackendServer {
        id: id?,
        dc: dc?,
        service: service?,
        memory: memory?,
        adapter_pool: adapter_pool?,
        accelerators: accelerators?,
        speed: speed?,
        max_in_flight: max_in_flight?,
        fences: fences?,
    })
}

fn caller(s: &Section<'_>, faults: &mut Faults<'_>) -> Option<Caller> {
    s.reject_unknown_fields(&["name", "token_hash", "services", "max_in_flight"], faults);
    let id: Option<CallerId> = s.parse("name", faults);
    let token: Option<TokenHash> = s.parse("token_hash", faults);
    let services: Option<Vec<ServiceName>> = s.list("services", faults);
    let max_in_flight = s.integer("max_in_flight", 1..MAX_COUNT, faults);
    let mut services = services?;
    services.sort();
    let listed = services.len();
    services.dedup();
    if services.len() < listed || services.is_empty() {
        faults.at(s, "services", "expected at least one service, each once");
    }
    Some(Caller {
        id: id?,
        token: token?,
        services,
        max_in_flight: max_in_flight?,
    })
}

/// Names of all entries, including entries with faults, so that a faulty entry does not cause
/// further faults in entries that refer to it.
#[derive(Debug, Default)]
struct Names<'a> {
    data_centres: BTreeMap<&'a str, Section<'a>>,
    services: BTreeMap<&'a str, Section<'a>>,
    models: BTreeMap<&'a str, Section<'a>>,
    adapters: BTreeMap<&'a str, Section<'a>>,
}

impl<'a> Names<'a> {
    fn read(root: &Section<'a>, faults: &mut Faults<'_>) -> Self {
        let mut read = |field: &str| {
            let mut names = BTreeMap::new();
            for s in root.sections(field, faults) {
                let Some(name) = s.text("name", &mut faults.discard()) else {
                    continue;
                };
                if names.insert(name, s.clone()).is_some() {
                    faults.at(&s, "name", "the name is used twice");
                }
            }
            names
        };
        read("backends");
        read("callers");
        Self {
            data_centres: read("data_centres"),
            services: read("services"),
            models: read("models"),
            adapters: read("adapters"),
        }
    }

    fn check(
        &self,
        models: &[Located<'a, Model>],
        adapters: &[Located<'a, Adapter>],
        backends: &[Located<'a, BackendServer>],
        callers: &[Located<'a, Caller>],
        faults: &mut Faults<'_>,
    ) {
        for (name, s) in &self.adapters {
            // Requests name a model or an adapter in the same field.
            if self.models.contains_key(name) {
                faults.at(s, "name", "a model has the same name");
            }
        }
        for (s, m) in models {
            check_reference(&self.services, s, "service", m.service.as_str(), faults);
        }
        for (s, a) in adapters {
            check_reference(&self.models, s, "model", a.model.as_str(), faults);
        }
        for (s, b) in backends {
            check_reference(&self.data_centres, s, "data_centre", b.dc.as_str(), faults);
            check_reference(&self.services, s, "service", b.service.as_str(), faults);
        }
        for (s, c) in callers {
            for service in &c.services {
                check_reference(&self.services, s, "services", service.as_str(), faults);
            }
        }
    }
}

fn check_reference(
    names: &BTreeMap<&str, Section<'_>>,
    s: &Section<'_>,
    field: &str,
    name: &str,
    faults: &mut Faults<'_>,
) {
    if !names.contains_key(name) {
        faults.at(s, field, format_args!("`{name}` is not in the file"));
    }
}

/// Checks that only model services have models and accelerators.
fn check_kinds(
    services: &[Located<'_, Service>],
    models: &[Located<'_, Model>],
    backends: &[Located<'_, BackendServer>],
    faults: &mut Faults<'_>,
) {
    let kind = |name: &ServiceName| {
        let found = services.iter().find(|(_, s)| s.name == *name);
        found.map(|(_, s)| s.kind)
    };
    for (s, m) in models {
        if kind(&m.service) == Some(ServiceKind::Plain) {
            faults.at(s, "service", "a plain service has no models");
        }
    }
    for (s, b) in backends {
        match kind(&b.service) {
            Some(ServiceKind::Model) if b.memory == Bytes::ZERO || b.accelerators == 0 => {
                faults.at(s, "memory", "a worker needs memory and accelerators");
            }
            Some(ServiceKind::Plain) if b.memory != Bytes::ZERO || b.accelerators != 0 => {
                faults.at(s, "memory", "a plain backend server has no accelerators");
            }
            _ => {}
        }
        if b.adapter_pool > b.memory {
            let (pool, memory) = (b.adapter_pool, b.memory);
            let message = format_args!("the pool of {pool} exceeds the memory of {memory}");
            faults.at(s, "adapter_pool", message);
        }
    }
}

/// Checks that each model and adapter fits on some worker, and that all models of a service fit on
/// its workers together.
fn check_memory(
    models: &[Located<'_, Model>],
    adapters: &[Located<'_, Adapter>],
    backends: &[Located<'_, BackendServer>],
    faults: &mut Faults<'_>,
) {
    let mut services: BTreeMap<&ServiceName, (Bytes, Bytes, Bytes)> = BTreeMap::new();
    for (_, b) in backends {
        let model_memory = b.memory.saturating_sub(b.adapter_pool);
        let (largest, pool, total) = services.entry(&b.service).or_default();
        *largest = model_memory.max(*largest);
        *pool = b.adapter_pool.max(*pool);
        *total += model_memory;
    }
    let mut required: BTreeMap<&ServiceName, Bytes> = BTreeMap::new();
    for (s, m) in models {
        let (largest, _, total) = services.get(&m.service).copied().unwrap_or_default();
        if m.bytes > largest {
            let message = format_args!("{} exceeds the largest worker's {largest}", m.bytes);
            faults.at(s, "bytes", message);
            continue;
        }
        let sum = required.entry(&m.service).or_default();
        let fit_before = *sum <= total;
        *sum += m.bytes;
        if fit_before && *sum > total {
            let message = format_args!(
                "the models of service {} exceed the {total} of its workers from here on",
                m.service
            );
            faults.at(s, "bytes", message);
        }
    }
    for (s, a) in adapters {
        let model = models
            .iter()
            .find(|(_, m)| m.id.as_str() == a.model.as_str());
        let Some((_, model)) = model else { continue };
        let (_, pool, _) = services.get(&model.service).copied().unwrap_or_default();
        if a.bytes > pool {
            let message = format_args!("{} exceeds the largest adapter pool of {pool}", a.bytes);
            faults.at(s, "bytes", message);
        }
    }
}

fn check_tokens(callers: &[Located<'_, Caller>], faults: &mut Faults<'_>) {
    let mut seen: BTreeMap<&str, &CallerId> = BTreeMap::new();
    for (s, c) in callers {
        if let Some(other) = seen.insert(c.token.as_str(), &c.id) {
            let message = format_args!("caller {other} has the same token");
            faults.at(s, "token_hash", message);
        }
    }
}
