//! Settings of an entry host whose platform names its machines, addresses and bounds.

use std::net::SocketAddr;

use types::{Bytes, DataCentreId, HostId, Micros, Millicores, RegionId};

use crate::deployment::DataCentre;

/// Checked settings of an entry host.
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
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Address for load beacons of other entry hosts.
    pub beacons: SocketAddr,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Addresses of entry hosts to contact first; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Whether the whole installation starts for the first time.
    pub first_start: bool,
    /// What the machine gives the process.
    pub resources: ResourceLimits,
    /// Bounds that the installation promises its users.
    pub bounds: Bounds,
}

/// What a machine gives a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Processor capacity.
    pub cpu: Millicores,
    /// Memory above which the process is killed.
    pub memory: Bytes,
    /// Sockets that the process may have open.
    pub sockets: u32,
}

/// Bounds that the installation promises its users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving backend server gets no more requests.
    pub drain: Micros,
    /// Time between the signal to stop and the kill.
    pub grace: Micros,
    /// Time after which an acknowledged configuration is in force on every host.
    pub config_propagation: Micros,
    /// Repeated requests per first request that a service may get in a window.
    pub retry_ratio: f64,
    /// Repeated requests that a service may get in a window besides.
    pub min_retries: f64,
    /// Window of the retry budget.
    pub retry_window: Micros,
    /// Time that must pass between the orders of two holders to one worker.
    pub takeover_delay: Micros,
    /// Window in which loads from the weight store are counted.
    pub load_window: Micros,
}
