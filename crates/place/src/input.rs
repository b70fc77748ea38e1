//! Input and output of a placement round.

use config::Objective;
use types::{Bytes, DataCentreId, ModelId, VersionTag, WorkerId};

/// State of a model's copy on a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CopyState {
    /// Ordered and not yet reported.
    Loading,
    /// Reported as resident.
    Ready,
    /// Ordered to be unloaded and not yet confirmed; takes memory, serves nobody.
    Unloading,
}

/// Copy of a model on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelCopy {
    /// Model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// State.
    pub state: CopyState,
}

/// Worker as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Name.
    pub id: WorkerId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Memory for models: the accelerators' memory less the adapter pool.
    pub memory: Bytes,
    /// Accelerators.
    pub accelerators: u32,
    /// Speed relative to the slowest class.
    pub speed: f64,
    /// Whether it is live; a leaving or dead worker gets no loads.
    pub live: bool,
    /// Copies, sorted by model.
    pub copies: Vec<ModelCopy>,
}

/// Need for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Model.
    pub model: ModelId,
    /// Version that must serve.
    pub version: VersionTag,
    /// Memory that a copy takes.
    pub bytes: Bytes,
    /// Priority; lower goes first.
    pub priority: u8,
    /// Smoothed demand in tokens a second, within this data centre.
    pub tokens_per_second: f64,
    /// Requests a second that missed their deadline or were refused for want of a copy.
    pub missed_per_second: f64,
}

/// Input of a placement round of one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanInput {
    /// Weights of the measures.
    pub objective: Objective,
    /// Workers of this data centre, sorted by id.
    pub workers: Vec<Worker>,
    /// Models, sorted by id.
    pub demand: Vec<Demand>,
    /// The floor's copies in this data centre, sorted.
    pub floor: Vec<Placement>,
    /// Models that have a ready copy in another data centre, sorted.
    ///
    /// A data centre may unload its own last copy of a model that is listed here, to make room for
    /// a new version. Two data centres must not rely on each other's copy at the same time, so the
    /// list should hold a model only if [`can_rely_on_remote_copy`](crate::can_rely_on_remote_copy) allows it.
    pub ready_elsewhere: Vec<ModelId>,
    /// Tokens a second that a worker of speed one generates at full load.
    pub base_tokens_per_second: f64,
    /// Loads that may be started in this round.
    pub max_loads: u32,
}

/// Copy that the floor asks for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Placement {
    /// Worker.
    pub worker: WorkerId,
    /// Model.
    pub model: ModelId,
}

/// Change of placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Move {
    /// Load a model on a worker.
    Load {
        /// Worker.
        worker: WorkerId,
        /// Model.
        model: ModelId,
        /// Version of its weights.
        version: VersionTag,
        /// Memory that it takes.
        bytes: Bytes,
    },
    /// Unload a model from a worker.
    Unload {
        /// Worker.
        worker: WorkerId,
        /// Model.
        model: ModelId,
        /// Version of its weights.
        version: VersionTag,
    },
}
