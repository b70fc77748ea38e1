//! Input and moves of a placement round.

use config::Objective;
use types::{Bytes, DataCentreId, ModelId, VersionTag, WorkerId};

/// State of a model's copy on a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CopyState {
    /// Load ordered and not yet reported as complete.
    Loading,
    /// Reported as resident.
    Ready,
    /// Unload ordered and not yet confirmed; the copy occupies memory and serves no requests.
    Unloading,
}

/// Copy of a model on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCopy {
    /// Model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: VersionTag,
    /// Memory that the copy occupies.
    pub bytes: Bytes,
    /// State of the copy.
    pub state: CopyState,
}

/// State of a worker in a placement round.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Data centre of the worker.
    pub dc: DataCentreId,
    /// Memory for models: the memory of the accelerators less the adapter pool.
    pub memory: Bytes,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Speed relative to the slowest class of workers.
    pub speed: f64,
    /// Whether the worker is live; one that is leaving or dead gets no loads.
    pub live: bool,
    /// Copies on the worker, sorted by model.
    pub copies: Vec<ModelCopy>,
}

/// Configuration of a model and the demand for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Model.
    pub model: ModelId,
    /// Configured version, which must serve.
    pub version: VersionTag,
    /// Memory that a copy occupies.
    pub bytes: Bytes,
    /// Priority; models with a lower value are placed first.
    pub priority: u8,
    /// Smoothed demand in this data centre, in tokens per second.
    pub tokens_per_second: f64,
    /// Requests per second that missed their deadline or were refused because no copy was ready.
    pub missed_per_second: f64,
}

/// Input of a placement round of one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanInput {
    /// Weights of the objective function.
    pub objective: Objective,
    /// Workers of this data centre, sorted by id.
    pub workers: Vec<Worker>,
    /// Configured models, sorted by id.
    pub demand: Vec<Demand>,
    /// Copies that the floor requires in this data centre, sorted.
    pub floor: Vec<Placement>,
    /// Models that have a ready copy in another data centre, sorted.
    ///
    /// A data centre may unload its own last copy of a listed model to free memory for a new
    /// version. Two data centres must not rely on each other's copy at the same time, so a model
    /// should be listed only if [`can_rely_on_remote_copy`](crate::can_rely_on_remote_copy) allows
    /// it.
    pub ready_elsewhere: Vec<ModelId>,
    /// Tokens per second that a worker of speed 1 generates at full load.
    pub base_tokens_per_second: f64,
    /// Maximum number of loads that this round may start.
    pub max_loads: u32,
}

/// Assignment of a model to a worker.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Placement {
    /// Worker.
    pub worker: WorkerId,
    /// Model.
    pub model: ModelId,
}

/// Change of the placement within a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Move {
    /// Load a model on a worker.
    Load {
        /// Worker.
        worker: WorkerId,
        /// Model.
        model: ModelId,
        /// Version of the weights.
        version: VersionTag,
        /// Memory that the copy will occupy.
        bytes: Bytes,
    },
    /// Unload a model from a worker.
    Unload {
        /// Worker.
        worker: WorkerId,
        /// Model.
        model: ModelId,
        /// Version of the weights.
        version: VersionTag,
    },
}
