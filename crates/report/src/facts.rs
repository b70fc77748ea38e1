//! What a host knows about the state of the whole deployment.

use serde::{Deserialize, Serialize};
use types::{BackendId, ConfigVersion, DataCentreId, HostId, ModelId};

/// Ready copies of a model against its floor.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelCopies {
    /// Model.
    pub model: ModelId,
    /// Copies that are ready.
    pub ready: u32,
    /// Copies that the floor asks for.
    pub floor: u32,
}

/// What an entry host of a data centre knows about that data centre alone.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreStatus {
    /// Backend servers that are live, and all that are configured.
    pub backends: (u32, u32),
    /// Backend servers that do not answer.
    pub dead_backends: Vec<BackendId>,
    /// Backend servers that are leaving.
    pub leaving_backends: Vec<BackendId>,
    /// Models loaded and unloaded by the controller, if this host runs it.
    pub moves: (u64, u64),
}

/// Input of a report: the state of the deployment as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DeploymentStatus {
    /// Name of the deployment.
    pub deployment: String,
    /// Lowest configuration version over the live hosts; absent before the first file.
    pub version: Option<ConfigVersion>,
    /// Hosts that are still at an older version than the newest known.
    #[serde(rename = "stragglers")]
    pub outdated_hosts: Vec<HostId>,
    /// Entry hosts that are live, and all that are known.
    pub hosts: (u32, u32),
    /// Entry hosts that sent no heartbeat for some time.
    pub silent_hosts: Vec<HostId>,
    /// Backend servers that are live, and all that are configured.
    pub backends: (u32, u32),
    /// Backend servers that do not answer.
    pub dead_backends: Vec<BackendId>,
    /// Backend servers that are leaving.
    pub leaving_backends: Vec<BackendId>,
    /// Configured models.
    pub models: u32,
    /// Models without a ready copy anywhere that this host can reach.
    pub unreachable_models: Vec<ModelId>,
    /// Models below their floor that have at least one ready copy.
    pub below_floor: Vec<ModelCopies>,
    /// Whether the platform answers this host.
    #[serde(rename = "platform_away")]
    pub platform_unavailable: bool,
    /// Data centres that this host can't reach.
    #[serde(rename = "cut_off")]
    pub unreachable_data_centres: Vec<DataCentreId>,
    /// Data centres without a placement controller, as far as this host knows.
    pub no_controller: Vec<DataCentreId>,
    /// Whether this host is shutting down.
    pub draining: bool,
    /// Requests that this host finished in time, and all that it ended.
    pub in_time: (u64, u64),
    /// Refusals of this host by result code number, largest count first.
    pub refusals: Vec<(u16, u64)>,
    /// Retries of this host.
    pub retries: u64,
    /// Models loaded and unloaded by the controllers that this host knows of.
    pub moves: (u64, u64),
}

impl DeploymentStatus {
    /// Adds what is known about one data centre.
    pub fn add_data_centre(&mut self, local: DataCentreStatus) {
        self.backends.0 += local.backends.0;
        self.backends.1 += local.backends.1;
        self.dead_backends.extend(local.dead_backends);
        self.dead_backends.sort();
        self.leaving_backends.extend(local.leaving_backends);
        self.leaving_backends.sort();
        self.moves.0 += local.moves.0;
        self.moves.1 += local.moves.1;
    }

    /// Makes the facts of a deployment about which nothing is known yet.
    #[must_use]
    pub fn new(deployment: &str) -> Self {
        Self {
            deployment: deployment.to_owned(),
            ..Self::default()
        }
    }
}
