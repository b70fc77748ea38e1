//! Routing table: routes by host and path prefix, and the services to which they lead.

use types::{Bytes, ConfigVersion, Micros, ModelId, ServiceName};

use crate::{accounts::Accounts, deployment::Priority};

/// Whether and how requests of a route are retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Requests are idempotent and may be retried.
    Idempotent,
    /// Requests are executed at most once per attempt of the caller.
    Never,
    /// Responses are streams that another backend server can resume.
    Resume,
}

/// Service that receives a share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host name of the request.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Services that share the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Whether and how requests are retried.
    pub retry_policy: RetryPolicy,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Maximum number of backend servers that are tried for one attempt of the caller.
    pub max_attempts: u8,
    /// Maximum duration of a request.
    pub timeout: Micros,
    /// Latency target of the response, or of the first event of a stream.
    pub target: Micros,
    /// Maximum time between two events of a stream, as a target.
    pub gap: Option<Micros>,
    /// Time after which callers leave if a stream has not begun.
    pub patience: Option<Micros>,
    /// Priority; lower values are served first.
    pub priority: Priority,
    /// Whether requests need no key although there are client accounts.
    pub anonymous: bool,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers.
    pub head: Bytes,
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Timeout for receiving the request line and headers.
    pub head_timeout: Micros,
    /// Maximum idle time of a connection.
    pub idle_timeout: Micros,
}

/// Service to which routes lead.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Name.
    pub name: ServiceName,
    /// Maximum number of connections that a backend server accepts from all hosts together.
    pub connections: u32,
    /// Engine of its workers, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Properties that all workers of a model service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum batch size in requests.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Memory for weights and adapters.
    pub memory: Bytes,
    /// Maximum number of adapters in the memory of a worker.
    pub adapter_slots: u32,
    /// Maximum rate of loads from the weight store over all workers, per second.
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
    /// Duration of a load from the weight store.
    pub load: Micros,
    /// Duration of a load from the worker's disk.
    pub load_from_disk: Micros,
    /// Number of adapters; their numbers start at 1.
    pub adapters: u32,
    /// Memory of an adapter.
    pub adapter_bytes: Bytes,
}

impl EngineSpec {
    /// Returns the number of concurrent loads from the weight store at its maximum rate.
    #[must_use]
    pub fn concurrent_store_loads(&self) -> f64 {
        let longest = self.models.iter().map(|m| m.load).max();
        longest.map_or(0.0, |load| self.loads_per_second * load.as_secs_f64())
    }

    /// Returns the model with a name.
    #[must_use]
    pub fn model(&self, id: &str) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|m| m.id.as_str().cmp(id));
        found.ok().map(|index| &self.models[index])
    }
}

/// Routes and services of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version.
    pub version: ConfigVersion,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Client accounts; if absent, callers are not told apart.
    accounts: Option<Accounts>,
    routes: Vec<Route>,
    services: Vec<RoutedService>,
}

impl RouteTable {
    /// Creates a table from routes and services in any order.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        limits: CallerLimits,
        mut routes: Vec<Route>,
        mut services: Vec<RoutedService>,
    ) -> Self {
        routes.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            limits,
            accounts: None,
            routes,
            services,
        }
    }

    /// Adds client accounts, so that routes that are not anonymous require a key.
    #[must_use]
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// Returns the client accounts, if any are configured.
    #[must_use]
    pub fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_ref()
    }

    /// Returns the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| {
            let wanted = (host, &path[..end]);
            let found = self.routes.binary_search_by(|r| sort_key(r).cmp(&wanted));
            found.ok().map(|index| &self.routes[index])
        })
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|index| &self.services[index])
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

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}
