//! Load reports of backend servers.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, Incarnation, VersionTag},
    order::OrderStatus,
    size::Bytes,
};

/// Model or adapter in the memory of a backend server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Resident {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it uses.
    pub bytes: Bytes,
    /// Whether it is an adapter.
    #[serde(default)]
    pub adapter: bool,
}

/// Load report of a backend server. It lags behind the server's current state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Whether the server accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Memory of its accelerators.
    #[serde(default)]
    pub memory: Bytes,
    /// Memory in use.
    #[serde(default)]
    pub used: Bytes,
    /// Running requests.
    pub in_flight: u32,
    /// Queued requests.
    #[serde(default)]
    pub queued: u32,
    /// Tokens generated per second, summed over all requests.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// Models and adapters in memory.
    #[serde(default)]
    pub residents: Vec<Resident>,
    /// Orders that the server has received.
    #[serde(default)]
    pub orders: Vec<OrderStatus>,
    /// Age of the report when it was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Highest fencing token that the server has seen.
    #[serde(default)]
    pub fence: Epoch,
}
