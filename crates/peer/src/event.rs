//! Inputs and outputs of the exchange's state machine.

use std::{net::SocketAddr, sync::Arc};

use config::{ActiveConfig, Manifest, Snapshot};
use route::{BackendLoad, SuspectRecord};
use types::{BackendId, DataCentreId, Epoch, HostId, Incarnation, Micros, Millicores, ModelId};

use crate::{
    hosts::{Host, Inventory},
    member::Member,
    message::{Readiness, Reply, Request},
};

/// Error of a message that is malformed or contradicts itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InvalidMessage;

/// Where a host learns of configuration changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConfigSource {
    /// Two hosts of each data centre watch the platform; the others learn from peers.
    #[default]
    Relay,
    /// Every host watches the platform. Serves as a baseline in tests.
    Watch,
    /// Every host polls the platform. Serves as a baseline in tests.
    Poll,
    /// The process follows the configuration outside the exchange.
    Process,
}

/// Update for the router.
#[derive(Debug, PartialEq)]
pub(crate) enum Update {
    Digest {
        backend: BackendId,
        load: BackendLoad,
        age: Micros,
    },
    RemoteModels {
        dc: DataCentreId,
        models: Vec<ModelId>,
    },
}

/// Parameters of the state machine.
#[derive(Clone, Debug)]
pub(crate) struct Params {
    pub(crate) host: HostId,
    pub(crate) dc: DataCentreId,
    pub(crate) addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) capacity: Millicores,
    pub(crate) incarnation: Incarnation,
    pub(crate) counter: u64,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) period: Micros,
    pub(crate) config_source: ConfigSource,
    pub(crate) seed: u64,
}

/// Host to call; the name of a seed is unknown until it answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub(crate) host: Option<HostId>,
    pub(crate) addr: SocketAddr,
}

/// Input of the state machine.
#[derive(Debug)]
pub(crate) enum Event {
    /// An exchange period has passed.
    Tick,
    /// The readiness of this host changed.
    Readiness(Readiness),
    /// Loads that this host observed, with the age of each.
    Loads(Vec<(BackendId, BackendLoad, Micros)>),
    /// Models that are resident in this host's data centre.
    Residents(Vec<ModelId>),
    /// Epoch of the lease that this host holds, if any.
    LeaseEpoch(Option<Epoch>),
    /// Epoch that this host retired.
    RetiredEpoch(Epoch),
    /// Records of suspect requests, from this host or a peer.
    Suspects(Vec<SuspectRecord>),
    /// A peer answered.
    Replied { from: Target, reply: Reply },
    /// A peer did not answer a request for the configuration.
    PullFailed,
    /// The manifest was read from the platform.
    ManifestRead(Manifest),
    /// A watch delivered a new manifest.
    ManifestChanged(Manifest),
    /// The chunks of a manifest were read; `None` when reading failed.
    SnapshotLoaded(Option<Arc<Snapshot>>),
    /// The host list was read from the platform.
    HostsListed(Vec<Host>),
    /// A watch delivered a change of one host.
    HostChanged { name: String, host: Option<Host> },
}

/// Output of the state machine.
#[derive(Debug, PartialEq)]
pub(crate) enum Action {
    /// Send a request to a peer.
    Call { to: Target, req: Request },
    /// Read the manifest from the platform.
    ReadManifest,
    /// Read the chunks of a manifest that `known` lacks.
    Load {
        manifest: Box<Manifest>,
        known: Option<Arc<Snapshot>>,
    },
    /// Start or stop watching the platform.
    Watch(bool),
    /// Publish a new configuration in force.
    InForce(Arc<ActiveConfig>),
    /// Publish the changed host list.
    Inventory(Inventory),
    /// Publish the changed members.
    Members(Vec<Member>),
    /// Deliver an update to the router.
    Update(Update),
    /// Count an invalid message of a peer.
    InvalidMessage,
}
