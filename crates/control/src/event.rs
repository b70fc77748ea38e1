//! Events, status, settings and external interfaces of a controller.

use config::{ActiveConfig, Deployment};
use orders::SendOutcome;
use place::{Move, Placement, PlanInput};
use types::{BackendId, DataCentreId, Epoch, HostId, Instant, LoadReport, Micros, ModelId, Order};

/// Input event of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Config(ActiveConfig),
    /// A backend server sent a load report.
    Report {
        /// Backend server.
        backend: BackendId,
        /// Load report.
        report: LoadReport,
        /// Instant just before the report was requested.
        requested_at: Instant,
    },
    /// The live backend servers and entry hosts of the data centre, both sorted, changed.
    Inventory {
        /// Backend servers that are live and not leaving.
        backends: Vec<BackendId>,
        /// Entry hosts that are live and not leaving.
        hosts: Vec<HostId>,
    },
    /// A request needs a model or adapter that is not resident in the data centre.
    Requested {
        /// Name of the model or adapter.
        name: String,
    },
    /// The demand per model in the data centre changed.
    Demand(Vec<ModelDemand>),
}

/// Demand for a model in the data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Model.
    pub model: ModelId,
    /// Smoothed demand in tokens per second.
    pub tokens_per_second: f64,
    /// Requests per second that missed their deadline or were refused because no copy was ready.
    pub missed_per_second: f64,
}

/// Status of a controller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Last known holder of the lease.
    pub holder: Option<HostId>,
    /// Last known epoch of the lease.
    pub epoch: Option<Epoch>,
    /// Whether this host holds a valid lease and may send orders.
    pub authority: bool,
    /// Models with a copy of the floor (the minimum placement) that is not ready, sorted; empty
    /// without authority.
    pub below_floor: Vec<ModelId>,
    /// Number of recorded orders that are not closed.
    pub pending_orders: usize,
    /// Backend servers whose record does not carry the epoch of this term yet, sorted.
    pub unready_records: Vec<BackendId>,
    /// Model loads since the start of the process.
    pub loads: u64,
    /// Model unloads since the start of the process.
    pub unloads: u64,
}

/// Client for the control API of backend servers.
pub trait BackendClient: Clone + Send + Sync + 'static {
    /// Sends an order and returns the outcome.
    ///
    /// Once the future has completed or been dropped, nothing more of this attempt may leave the
    /// process.
    fn send_order(
        &self,
        backend: &BackendId,
        order: &Order,
    ) -> impl Future<Output = SendOutcome> + Send;

    /// Fetches the load report; returns `None` if the backend server does not answer.
    fn fetch_load_report(
        &self,
        backend: &BackendId,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}

/// Queries to the other entry hosts and to the platform's list of hosts.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks a host whether it has retired an epoch; returns `false` if it does not answer.
    fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> impl Future<Output = bool> + Send;

    /// Returns whether a host is missing from the platform's list of hosts.
    ///
    /// Returns `false` if the list was never read successfully.
    fn is_deregistered(&self, host: &HostId) -> bool;

    /// Returns the models with a ready copy in another data centre, sorted.
    fn ready_elsewhere(&self) -> Vec<ModelId>;
}

/// Placement algorithm of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    /// Plans the moves of a placement round.
    pub plan: fn(&PlanInput) -> Vec<Move>,
    /// Returns the copies of the floor (the minimum placement) in a data centre, sorted.
    pub floor: fn(&Deployment, &DataCentreId) -> Vec<Placement>,
}

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host that the controller runs on.
    pub host: HostId,
    /// Data centre that it controls.
    pub dc: DataCentreId,
    /// Time for which a lease renewal grants authority.
    pub lease_duration: Micros,
    /// Seed of the random ids; it must differ between processes.
    pub seed: u64,
    /// Tokens per second that a worker of speed 1.0 generates at full load.
    pub base_tokens_per_second: f64,
    /// Placement algorithm.
    pub planner: Planner,
}

impl Settings {
    /// Default time for which a lease renewal grants authority; a takeover takes slightly longer.
    pub const DEFAULT_LEASE_DURATION: Micros = Micros::from_secs(10);
}
