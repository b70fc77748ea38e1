//! Status of a deployment as one host knows it, the input of a report.

use serde::{Deserialize, Serialize};
use types::{BackendId, ConfigVersion, DataCentreId, HostId, ModelId};

/// Number of ready copies of a model and its minimum.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelCopies {
    /// Model.
    pub model: ModelId,
    /// Number of ready copies.
    pub ready: u32,
    /// Minimum number of copies.
    pub floor: u32,
}

/// Status of one data centre as one of its entry hosts knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreStatus {
    /// Numbers of live and of configured backend servers.
    pub backends: (u32, u32),
    /// Backend servers that do not respond.
    pub dead_backends: Vec<BackendId>,
    /// Backend servers that are shutting down.
    pub leaving_backends: Vec<BackendId>,
    /// Numbers of model loads and unloads by the controller, if it runs on this host.
    pub moves: (u64, u64),
}

/// Status of a deployment as one host knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DeploymentStatus {
    /// Name of the deployment.
    pub deployment: String,
    /// Lowest configuration version of the live hosts; `None` before the first apply.
    pub version: Option<ConfigVersion>,
    /// Hosts with an older configuration version than the newest known.
    #[serde(rename = "stragglers")]
    pub outdated_hosts: Vec<HostId>,
    /// Numbers of live and of known entry hosts.
    pub hosts: (u32, u32),
    /// Entry hosts whose heartbeats are missing.
    pub silent_hosts: Vec<HostId>,
    /// Numbers of live and of configured backend servers.
    pub backends: (u32, u32),
    /// Backend servers that do not respond.
    pub dead_backends: Vec<BackendId>,
    /// Backend servers that are shutting down.
    pub leaving_backends: Vec<BackendId>,
    /// Number of configured models.
    pub models: u32,
    /// Models without a ready copy that this host can reach.
    pub unreachable_models: Vec<ModelId>,
    /// Models with at least one but fewer ready copies than their minimum.
    pub below_floor: Vec<ModelCopies>,
    /// Whether the platform does not respond to this host.
    #[serde(rename = "platform_away")]
    pub platform_unavailable: bool,
    /// Data centres that this host can't reach.
    #[serde(rename = "cut_off")]
    pub unreachable_data_centres: Vec<DataCentreId>,
    /// Data centres without a known placement controller.
    pub no_controller: Vec<DataCentreId>,
    /// Whether this host is shutting down.
    pub draining: bool,
    /// Numbers of requests that this host finished in time and of all requests that ended on it.
    pub in_time: (u64, u64),
    /// Numbers of refusals by this host per result code, in descending order of the number.
    pub refusals: Vec<(u16, u64)>,
    /// Number of retries by this host.
    pub retries: u64,
    /// Numbers of model loads and unloads by all known controllers.
    pub moves: (u64, u64),
}

impl DeploymentStatus {
    /// Adds the status of one data centre.
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

    /// Creates the status of a deployment of which nothing is known yet.
    #[must_use]
    pub fn new(deployment: &str) -> Self {
        Self {
            deployment: deployment.to_owned(),
            ..Self::default()
        }
    }
}
