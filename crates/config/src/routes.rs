//! Routes by host and path, and the services behind them.

use types::{Bytes, ConfigVersion, Micros, ModelId, ServiceName};

use crate::deployment::Priority;

/// Whether and how requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Requests are idempotent.
    Idempotent,
    /// Requests run at most once for each attempt of the caller.
    Never,
    /// Requests are streams that another backend server may resume.
    Resume,
}

/// Share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// Route of requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that a request names.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Services that share the requests, at least one.
    pub services: Vec<WeightedService>,
    /// Whether and how requests may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Backend servers that may get one attempt of a caller, at most.
    pub max_attempts: u8,
    /// Longest time that a request may take.
    pub timeout: Micros,
    /// Target for the answer, or for the first event of a stream.
    pub target: Micros,
    /// Longest pause between two events that is still in time.
    pub gap: Option<Micros>,
    /// Priority; lower goes first.
    pub priority: Priority,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Time in which a head must be complete.
    pub head_timeout: Micros,
    /// Time for which a connection may be idle.
    pub idle_timeout: Micros,
}

/// Service behind routes.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all hosts together.
    pub connections: u32,
    /// Engine of its workers, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// What the workers of a model service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Memory for weights and adapters.
    pub memory: Bytes,
    /// Adapters that a worker holds at most.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all workers.
    pub loads_per_second: f64,
    /// Models, sorted by id.
    pub models: Vec<ModelSpec>,
}

/// Model of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Memory of its weights.
    pub bytes: Bytes,
    /// Time of a load from the weight store.
    pub load: Micros,
    /// Time of a load from the worker's own disk.
    pub load_from_disk: Micros,
    /// Adapters, numbered from one.
    pub adapters: u32,
    /// Memory of an adapter.
    pub adapter_bytes: Bytes,
}

impl EngineSpec {
    /// Returns the loads from the weight store that are under way at once at its full rate.
    #[must_use]
    pub fn concurrent_store_loads(&self) -> f64 {
        let longest = self.models.iter().map(|m| m.load).max();
        longest.map_or(0.0, |load| self.loads_per_second * load.as_secs_f64())
    }

    /// Finds a model by its name.
    #[must_use]
    pub fn model(&self, id: &str) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|m| m.id.as_str().cmp(id));
        found.ok().map(|at| &self.models[at])
    }
}

/// Routes and services of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version.
    pub version: ConfigVersion,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    services: Vec<RoutedService>,
}

impl RouteTable {
    /// Makes a table; routes and services may come in any order.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        limits: CallerLimits,
        mut routes: Vec<Route>,
        mut services: Vec<RoutedService>,
    ) -> Self {
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            limits,
            routes,
            services,
        }
    }

    /// Finds the route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| {
            let wanted = (host, &path[..end]);
            let found = self.routes.binary_search_by(|r| key(r).cmp(&wanted));
            found.ok().map(|at| &self.routes[at])
        })
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns the services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[RoutedService] {
        &self.services
    }

    /// Returns the routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}
