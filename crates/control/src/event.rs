//! Input, status and surroundings of a controller.

use config::{Deployment, InForce};
use orders::SendOutcome;
use place::{Move, Placement, PlanInput};
use types::{BackendId, DataCentreId, Epoch, HostId, Instant, LoadReport, Micros, ModelId, Order};

/// Input of a controller from the other parts of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A configuration is in force.
    Config(InForce),
    /// A backend server reported.
    Report {
        /// Backend server.
        backend: BackendId,
        /// Report.
        report: LoadReport,
        /// Instant before the report was asked for.
        requested_at: Instant,
    },
    /// The live backend servers and entry hosts of the data centre changed; both are sorted.
    Inventory {
        /// Backend servers that are live and not leaving.
        backends: Vec<BackendId>,
        /// Entry hosts that are live and not leaving.
        hosts: Vec<HostId>,
    },
    /// A model or adapter is asked for and is not resident where it is needed.
    Requested {
        /// Name of the model or adapter.
        name: String,
    },
    /// Demand per model within the data centre.
    Demand(Vec<ModelDemand>),
}

/// Demand for a model within the data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Model.
    pub model: ModelId,
    /// Smoothed demand in tokens a second.
    pub tokens_per_second: f64,
    /// Requests a second that missed their deadline or were refused for want of a copy.
    pub missed_per_second: f64,
}

/// State of a controller for the report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Holder of the lease as last seen.
    pub holder: Option<HostId>,
    /// Epoch of the lease as last seen.
    pub epoch: Option<Epoch>,
    /// Whether this host has authority.
    pub authority: bool,
    /// Models with a floor copy that is not ready, sorted; empty without authority.
    pub below_floor: Vec<ModelId>,
    /// Recorded orders that are not closed.
    pub pending_orders: usize,
    /// Backend servers whose record is not raised, sorted.
    pub unready_records: Vec<BackendId>,
    /// Models loaded since the start of the process.
    pub loads: u64,
    /// Models unloaded since the start of the process.
    pub unloads: u64,
}

/// Access to backend servers.
pub trait BackendClient: Clone + Send + Sync + 'static {
    /// Sends an order and returns how that ended.
    ///
    /// When the future is done or dropped, no more of this attempt leaves the process.
    fn send_order(&self, backend: &BackendId, order: &Order)
    -> impl Future<Output = SendOutcome> + Send;

    /// Reads the load report, or returns nothing when the backend server does not answer.
    fn fetch_load_report(
        &self,
        backend: &BackendId,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}

/// What the other entry hosts and the platform's list of hosts say.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks a host whether it gave up an epoch; an absent answer is a no.
    fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> impl Future<Output = bool> + Send;

    /// Tells whether the platform's list of hosts, read successfully, lacks a host.
    fn is_deregistered(&self, host: &HostId) -> bool;

    /// Returns the models that have a ready copy in another data centre, sorted.
    fn ready_elsewhere(&self) -> Vec<ModelId>;
}

/// Functions that decide the placement.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    /// Returns the moves of a round.
    pub plan: fn(&PlanInput) -> Vec<Move>,
    /// Returns the floor's copies in a data centre, sorted.
    pub floor: fn(&Deployment, &DataCentreId) -> Vec<Placement>,
}

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host that the controller runs on.
    pub host: HostId,
    /// Data centre that it controls.
    pub dc: DataCentreId,
    /// Time for which a lease renewal gives authority.
    pub lease_duration: Micros,
    /// Seed of the random ids; two processes must not share it.
    pub seed: u64,
    /// Tokens a second that a worker of speed one generates at full load.
    pub base_tokens_per_second: f64,
    /// Functions that decide the placement.
    pub planner: Planner,
}

impl Settings {
    /// Time for which a lease renewal gives authority; a takeover takes a little longer.
    pub const DEFAULT_LEASE_DURATION: Micros = Micros::from_secs(10);
}
