//! The checked declarative file.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use types::{
    AdapterId, BackendId, Bytes, CallerId, ConfigVersion, DataCentreId, Micros, ModelId, Rate,
    RegionId, ServiceName, VersionTag,
};

/// Configuration that is in force on a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// Version of the manifest.
    pub version: ConfigVersion,
    /// The checked file.
    pub deployment: Arc<Deployment>,
}

/// Checked declarative file, applied as a whole.
///
/// Each list is sorted by its first field, so entries are found by binary search.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the measures.
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

/// Weights of the measures that placement balances; they need not sum to one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Objective {
    /// Weight of attainment per accelerator.
    pub attainment: f64,
    /// Weight of moves.
    pub moves: f64,
}

/// Limits of the whole deployment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// Largest request body.
    pub body: Bytes,
    /// Largest sum of header names and values.
    pub headers: Bytes,
    /// Requests that may wait on one entry host.
    pub queue: u32,
    /// Model loads at once at full speed from the weight store, over all data centres.
    pub weight_store_slots: u32,
    /// Model loads a second that the weight store allows.
    pub weight_store_rate: Rate,
    /// Adapter loads in flight over all backend servers.
    pub adapter_loads: u32,
    /// Time for which claims of finished requests are kept.
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

/// Priority of a service, model or adapter; lower goes first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// Makes a priority.
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

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// Service that callers use.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Priority of its requests.
    pub priority: Priority,
    /// Time in which a request must be finished, unless the caller says otherwise.
    pub deadline: Micros,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Micros,
    /// Target for the first token.
    pub first_token: Micros,
    /// Target for the time between tokens.
    pub between_tokens: Micros,
    /// Whether its calls may be repeated; GET and HEAD always may.
    pub idempotent: bool,
}

/// Model.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Model {
    /// Name.
    pub id: ModelId,
    /// Version of its weights.
    pub version: VersionTag,
    /// Service that it serves.
    pub service: ServiceName,
    /// Memory that a copy takes on a backend server.
    pub bytes: Bytes,
    /// Priority among the models of its service.
    pub priority: Priority,
}

/// Adapter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Adapter {
    /// Name.
    pub id: AdapterId,
    /// Version of its weights.
    pub version: VersionTag,
    /// Model that it adapts.
    pub model: ModelId,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Priority among the adapters of its model.
    pub priority: Priority,
}

/// Backend server.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BackendServer {
    /// Name, the same as in the platform's list of hosts.
    pub id: BackendId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Memory of its accelerators together; zero for a plain service.
    pub memory: Bytes,
    /// Memory set aside for adapters.
    pub adapter_pool: Bytes,
    /// Accelerators.
    pub accelerators: u32,
    /// Speed relative to the slowest class of the deployment.
    pub speed: f64,
    /// Requests that it runs at once.
    pub max_in_flight: u32,
    /// Whether its engine refuses orders with an old fencing token.
    pub fences: bool,
}

/// Caller.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Caller {
    /// Name.
    pub id: CallerId,
    /// Hash of the bearer token.
    pub token: TokenHash,
    /// Services that the caller may use.
    pub services: Vec<ServiceName>,
    /// Requests that the caller may have in flight on one entry host.
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
