//! The platform's own list of hosts, which lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::DataCentreId;

use crate::object::Kind;

/// Role of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// Entry host of this system.
    Entry,
    /// Backend server.
    Backend,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Running.
    Live,
    /// About to stop; it takes no new work.
    Leaving,
}

/// Host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Role of the host.
    pub role: HostRole,
    /// Data centre that the host is in.
    pub dc: DataCentreId,
    /// State of the host.
    pub state: HostState,
    /// Address for HTTP.
    pub addr: SocketAddr,
    /// Address for other entry hosts, absent for a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_addr: Option<SocketAddr>,
}

impl Kind for HostEntry {
    const PLURAL: &'static str = "hosts";
}
