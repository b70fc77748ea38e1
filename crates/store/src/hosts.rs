//! Hosts in the platform's list, which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::DataCentreId;

use crate::object::Kind;

/// Role of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// Entry host.
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
    /// About to stop; accepts no new work.
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
    /// HTTP address.
    pub addr: SocketAddr,
    /// Address for connections of other entry hosts; `None` for a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_addr: Option<SocketAddr>,
}

impl Kind for HostEntry {
    const PLURAL: &'static str = "hosts";
}
