//! Orders that load and unload models and adapters on backend servers.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, OrderId, VersionTag},
    size::Bytes,
};

/// Operation of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOp {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
    /// Load an adapter.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}

/// Order to a backend server, idempotent by its id.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// Id; a retry has the same id.
    pub id: OrderId,
    /// Fencing token: the epoch of the lease under which the order was recorded.
    pub fence: Epoch,
    /// Requested operation.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it uses.
    pub bytes: Bytes,
}

/// State of an order as the backend server reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Accepted but not finished.
    Running,
    /// Executed.
    Done,
    /// Refused or failed without effect.
    Failed,
}

/// Id and state of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OrderStatus {
    /// Id of the order.
    pub id: OrderId,
    /// Its state.
    pub state: OrderState,
}
