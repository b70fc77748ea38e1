//! Orders to backend servers.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, OrderId, VersionTag},
    size::Bytes,
};

/// What an order asks for.
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
    /// Id, the same when the order is sent again.
    pub id: OrderId,
    /// Fencing token: the epoch of the lease under which the order was recorded.
    pub fence: Epoch,
    /// What is asked for.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
}

/// State of an order as the backend server reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Accepted and not finished.
    Running,
    /// Took effect.
    Done,
    /// Refused or failed without effect.
    Failed,
}

/// Order and its state.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct OrderStatus {
    /// Id of the order.
    pub id: OrderId,
    /// Its state.
    pub state: OrderState,
}
