//! What a backend server reports about itself.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, Incarnation, VersionTag},
    order::OrderStatus,
    size::Bytes,
};

/// Model or adapter that is in a backend server's memory.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Resident {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Whether it is an adapter.
    #[serde(default)]
    pub adapter: bool,
}

/// Load report of a backend server, which lags behind its true state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Life of the server process.
    pub incarnation: Incarnation,
    /// Whether the server takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Memory of its accelerators.
    #[serde(default)]
    pub memory: Bytes,
    /// Memory in use.
    #[serde(default)]
    pub used: Bytes,
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait.
    #[serde(default)]
    pub queued: u32,
    /// Tokens generated a second over all requests.
    #[serde(default)]
    pub tokens_per_second: f64,
    /// Models and adapters in memory.
    #[serde(default)]
    pub residents: Vec<Resident>,
    /// Orders that the server knows of.
    #[serde(default)]
    pub orders: Vec<OrderStatus>,
    /// Age of the report when it was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Highest fencing token that the server has seen.
    #[serde(default)]
    pub fence: Epoch,
}
