//! Validated contents of the deployment file.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use types::{
    AdapterId, BackendId, Bytes, CallerId, ConfigVersion, DataCentreId, Micros, ModelId, Rate,
    RegionId, ServiceName, VersionTag,
};

/// Active configuration of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// Version of the manifest.
    pub version: ConfigVersion,
    /// Validated deployment file.
    pub deployment: Arc<Deployment>,
}

/// Validated deployment file, which is applied atomically.
///
/// Each list is sorted by the first field of its entries, so that binary search can find them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the placement objective.
    pub objective: Objective,
    /// Limits of the whole deployment.
    pub limits: Limits,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Services.
    pub services: Vec<Service>,
    /// Models.
    pub models: Vec<Model>,
    /// Adapters.
    pub adapters: Vec<Adapter>,
    /// Backend servers.
    pub backends: Vec<BackendServer>,
    /// Callers.
    pub callers: Vec<Caller>,
}

/// Weights of the placement objective; they need not sum to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Objective {
    /// Weight of attainment per accelerator.
    pub attainment: f64,
    /// Weight of model loads and unloads.
    pub moves: f64,
}

/// Limits of the whole deployment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Maximum total size of header names and values.
    pub headers: Bytes,
    /// Maximum number of queued requests on one entry host.
    pub queue: u32,
    /// Number of concurrent model loads that the weight store serves at full speed, over all data
    /// centres.
    pub weight_store_slots: u32,
    /// Maximum rate of model loads from the weight store.
    pub weight_store_rate: Rate,
    /// Maximum number of concurrent adapter loads over all backend servers.
    pub adapter_loads: u32,
    /// Retention time of claims of finished requests.
    pub claim_retention: Micros,
}

/// Data centre.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentre {
    /// Name.
    pub id: DataCentreId,
    /// Region that it is in.
    pub region: RegionId,
}

/// Priority of a service, model or adapter; lower values are served first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// Creates a priority.
    #[must_use]
    pub const fn new(p: u8) -> Self {
        Self(p)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// Service that callers can request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Priority of its requests.
    pub priority: Priority,
    /// Default deadline of a request.
    pub deadline: Micros,
    /// Maximum deadline that a caller may request.
    pub max_deadline: Micros,
    /// Target for the time to the first token.
    pub first_token: Micros,
    /// Target for the time between tokens.
    pub between_tokens: Micros,
    /// Whether its requests are idempotent; GET and HEAD requests always are.
    pub idempotent: bool,
}

/// Model of a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Model {
    /// Name.
    pub id: ModelId,
    /// Version of its weights.
    pub version: VersionTag,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Memory that a copy uses on a backend server.
    pub bytes: Bytes,
    /// Priority among the models of its service.
    pub priority: Priority,
}

/// Adapter of a model.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Adapter {
    /// Name.
    pub id: AdapterId,
    /// Version of its weights.
    pub version: VersionTag,
    /// Model that it adapts.
    pub model: ModelId,
    /// Memory that it uses.
    pub bytes: Bytes,
    /// Priority among the adapters of its model.
    pub priority: Priority,
}

/// Backend server of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BackendServer {
    /// Name, the same as in the platform's list of hosts.
    pub id: BackendId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Total memory of its accelerators; zero for a plain service.
    pub memory: Bytes,
    /// Memory reserved for adapters.
    pub adapter_pool: Bytes,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Speed relative to the slowest machine class of the deployment.
    pub speed: f64,
    /// Maximum number of concurrent requests.
    pub max_in_flight: u32,
    /// Whether its engine rejects orders with an old fencing token.
    pub fences: bool,
}

/// Client that authenticates with a bearer token.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Caller {
    /// Name.
    pub id: CallerId,
    /// Hash of the bearer token.
    pub token: TokenHash,
    /// Services that the caller may use.
    pub services: Vec<ServiceName>,
    /// Maximum number of concurrent requests of the caller on one entry host.
    pub max_in_flight: u32,
}

/// BLAKE3 hash of a bearer token in hexadecimal.
#[derive(Clone, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct TokenHash(String);

impl TokenHash {
    /// Hashes a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()).to_hex().to_string())
    }

    /// Returns the hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for TokenHash {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        const HEX_DIGITS: usize = 64;
        let digits = s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if s.len() == HEX_DIGITS && digits {
            Ok(Self(s.to_owned()))
        } else {
            Err("expected the BLAKE3 hash of a token in 64 lower-case hexadecimal digits")
        }
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash(..)")
    }
}
