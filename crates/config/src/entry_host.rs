//! Settings of an entry host on a platform that defines its resource limits, addresses and bounds.

use std::net::SocketAddr;

use types::{Bytes, DataCentreId, HostId, Micros, Millicores, RegionId};

use crate::deployment::DataCentre;

/// Validated settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Region of that data centre.
    pub region: RegionId,
    /// All data centres, sorted by id.
    pub data_centres: Vec<DataCentre>,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address that serves other entry hosts.
    pub peers: SocketAddr,
    /// Address at which they reach it, if it differs from `peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// Address that receives load datagrams of other entry hosts.
    pub beacons: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Addresses of the entry hosts to contact first; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Whether the whole installation is started for the first time.
    pub first_start: bool,
    /// Resource limits of the process.
    pub resources: ResourceLimits,
    /// Limits and time bounds that the installation guarantees.
    pub bounds: Bounds,
}

/// Resource limits of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Processor capacity.
    pub cpu: Millicores,
    /// Memory above which the process is killed.
    pub memory: Bytes,
    /// Maximum number of open sockets.
    pub sockets: u32,
}

/// Limits and time bounds that the installation guarantees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time until a leaving backend server receives no more requests.
    pub drain: Micros,
    /// Grace period between the termination signal and the forced kill.
    pub grace: Micros,
    /// Maximum time until an acknowledged configuration is active on all hosts.
    pub config_propagation: Micros,
    /// Maximum number of retries per first attempt of a service in a window.
    pub retry_ratio: f64,
    /// Number of retries that a service may get in a window in addition to the ratio.
    pub min_retries: f64,
    /// Window of the retry budget.
    pub retry_window: Micros,
    /// Minimum time between the orders of two successive lease holders to the same worker.
    pub takeover_delay: Micros,
    /// Window of the rate limit for loads from the weight store.
    pub load_window: Micros,
    /// Excess over the quotas of client accounts, if the installation states it.
    pub quotas: Option<QuotaBounds>,
}

/// How the usage of client accounts is measured, and what excess over a quota is tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which usage is measured.
    pub window: Micros,
    /// Part of the quota of a window that may be used beyond it.
    pub ratio: f64,
    /// Units that may be used in a window beyond that.
    pub units: f64,
}
