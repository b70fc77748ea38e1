//! Input and output of the exchange's state.

use std::{net::SocketAddr, sync::Arc};

use config::{InForce, Manifest, Snapshot};
use route::{BackendLoad, SuspectRecord};
use types::{BackendId, DataCentreId, Epoch, HostId, Incarnation, Micros, Millicores, ModelId};

use crate::{
    hosts::{Host, Inventory},
    member::Member,
    message::{Readiness, Reply, Request},
};

/// Message that can't be right.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Garbage;

/// How hosts learn that the configuration changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConfigSource {
    /// Two hosts of each data centre watch the platform; the others learn by exchange.
    #[default]
    Relay,
    /// Every host watches the platform; for comparison only.
    Watch,
    /// Every host polls the platform; for comparison only.
    Poll,
    /// The process follows the configuration itself.
    Process,
}

/// News for the router.
#[derive(Debug, PartialEq)]
pub(crate) enum Outgoing {
    Digest {
        backend: BackendId,
        load: BackendLoad,
        age: Micros,
    },
    Remote {
        dc: DataCentreId,
        models: Vec<ModelId>,
    },
}

/// What the state is made with.
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

/// Host to call; its name is not known yet when it is a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub(crate) host: Option<HostId>,
    pub(crate) addr: SocketAddr,
}

/// Input of the state.
#[derive(Debug)]
pub(crate) enum Event {
    /// An exchange period passed.
    Tick,
    /// The own state changed.
    Own(Readiness),
    /// What this host knows of backend servers, with the age of each view.
    Loads(Vec<(BackendId, BackendLoad, Micros)>),
    /// Models resident in the own data centre.
    Residents(Vec<ModelId>),
    /// Epoch of the lease that this host holds.
    Holds(Option<Epoch>),
    /// Epoch that this host gave up.
    Yielded(Epoch),
    /// Marks of suspects, from this host or another.
    Suspects(Vec<SuspectRecord>),
    /// A peer answered.
    Replied { from: Target, reply: Reply },
    /// A peer did not answer a request for a configuration.
    PullFailed,
    /// The manifest was read.
    Read(Manifest),
    /// A watch delivered the manifest.
    Watched(Manifest),
    /// The chunks of a manifest were read; absent when that failed.
    Loaded(Option<Arc<Snapshot>>),
    /// The platform's host list was read.
    Listed(Vec<Host>),
    /// A watch delivered a change of the host list.
    HostChanged { name: String, host: Option<Host> },
}

/// Output of the state.
#[derive(Debug, PartialEq)]
pub(crate) enum Action {
    /// Ask a peer.
    Call { to: Target, req: Request },
    /// Read the manifest.
    ReadManifest,
    /// Read the chunks of a manifest.
    Load {
        manifest: Box<Manifest>,
        known: Option<Arc<Snapshot>>,
    },
    /// Start or stop to watch the platform.
    Watch(bool),
    /// A configuration is in force.
    InForce(Arc<InForce>),
    /// The host list changed.
    Inventory(Inventory),
    /// The members changed.
    Members(Vec<Member>),
    /// News for the router.
    Out(Outgoing),
    /// A peer sent a message that can't be right.
    Garbage,
}
