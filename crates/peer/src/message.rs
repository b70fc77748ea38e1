//! Messages between entry hosts.

use std::net::SocketAddr;

use config::Delta;
use route::{Fingerprint, SuspectRecord};
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, BackendId, ConfigVersion, DataCentreId, Epoch, HostId, Incarnation, Millicores,
    ModelId, Registration,
};

use crate::hosts::Host;

/// What an entry host says about its own readiness.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum Readiness {
    /// Has no configuration yet.
    #[default]
    Starting,
    /// Serves callers.
    Ready,
    /// Finishes its requests before it stops.
    Draining,
}

/// What an entry host says about itself; it changes rarely.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Row {
    pub(crate) id: HostId,
    pub(crate) dc: DataCentreId,
    pub(crate) addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) capacity: Millicores,
    pub(crate) incarnation: Incarnation,
    /// Raised by the host with every change within its life.
    pub(crate) stamp: u32,
    pub(crate) state: Readiness,
    /// Epoch of the lease that the host holds.
    pub(crate) lease_epoch: Option<Epoch>,
    /// Highest epoch that the host gave up.
    pub(crate) retired_epoch: Option<Epoch>,
}

/// Row with the heartbeat counter and the version in force that belong together.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct RowState {
    pub(crate) row: Row,
    pub(crate) counter: u64,
    pub(crate) version: ConfigVersion,
}

/// One direction of the push-pull exchange.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Exchange {
    pub(crate) host: HostId,
    pub(crate) counter: u64,
    pub(crate) version: ConfigVersion,
    /// Hash of the sorted host names that `beats` and `versions` refer to.
    pub(crate) table: u64,
    /// Hash over all rows.
    pub(crate) rows_hash: u64,
    /// Whether `beats` and `versions` hold the hosts of the sender's data centre only.
    pub(crate) local: bool,
    /// Per host of the table, how far its counter is behind the sender's.
    pub(crate) beats: Vec<u8>,
    /// Per host of the table, how far its version is behind the sender's, as runs of zeros.
    pub(crate) versions: Vec<u8>,
    /// Rows that changed lately.
    pub(crate) rows: Vec<RowState>,
    /// Hash of the sorted backend server names that `loads` refers to.
    pub(crate) load_table: u32,
    /// Views of the load of backend servers.
    pub(crate) loads: Vec<u8>,
    /// Hash over the residents of all data centres.
    pub(crate) residents_hash: u32,
    /// Hash of the host list and the age of its confirmation in tenths of a second.
    pub(crate) hosts: Option<(u64, u32)>,
}

/// Resident models of a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Residents {
    pub(crate) dc: DataCentreId,
    pub(crate) stamp: u64,
    /// Hash of the sorted model names that `models` refers to.
    pub(crate) table: u32,
    pub(crate) models: Vec<u8>,
}

/// Changes of the host list from a version that the receiver has, or all of it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct HostsDelta {
    pub(crate) from: Option<u64>,
    pub(crate) hash: u64,
    pub(crate) age: u32,
    pub(crate) set: Vec<Host>,
    pub(crate) removed: Vec<String>,
}

/// What an asker for facts knows already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownFacts {
    /// Life of the peer that told the registrations last.
    pub source: u64,
    /// Revision of the registrations in that life.
    pub revision: u64,
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Whether the peer should wait a while for news before it answers.
    pub wait: bool,
}

/// What a host read from the platform, for a peer that does not read it itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// Life of the process that tells the registrations.
    pub source: u64,
    /// Revision of the registrations in that life.
    pub revision: u64,
    /// The operator's configuration as it was read, if it is newer than the asker's.
    pub config: Option<Vec<u8>>,
    /// Whether `set` holds all registrations, and not only those that changed.
    pub complete: bool,
    /// Registered backend servers.
    pub set: Vec<Registration>,
    /// Backend servers that are no longer registered.
    pub removed: Vec<BackendId>,
}

/// Question to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Request {
    /// Push and pull.
    Exchange(Box<Exchange>),
    /// Asks for the configuration, given the version that the asker has.
    Config(Option<ConfigVersion>),
    /// Asks for rows that differ from a digest of the asker's rows.
    Rows(Vec<u8>),
    /// Asks for residents that are newer than these stamps.
    Residents(Vec<(DataCentreId, u64)>),
    /// Asks for the host list, given the hash of the one that the asker has.
    Hosts(Option<u64>),
    /// Tells of suspects.
    Suspects(Vec<SuspectRecord>),
    /// Asks for a suspect slot.
    Slot(Fingerprint, BackendId),
    /// Tells the controller of a model or adapter that is not resident.
    Demand(ModelId, Option<AdapterId>),
    /// Asks whether the host gave up an epoch.
    RetiredEpoch(Epoch),
    /// Asks the holder of the lease to place a model or adapter.
    Place(ModelId, Option<AdapterId>),
    /// Asks the holder of the lease to place an adapter on a backend server as well.
    Replica(ModelId, AdapterId, BackendId),
    /// Asks for what the peer read from the platform, given what the asker knows.
    Facts(KnownFacts),
}

/// Answer of a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Reply {
    /// Answer to an exchange.
    Exchange(Box<Exchange>),
    /// The delta, absent when the peer has nothing newer.
    Config(Option<Box<Delta>>),
    /// Rows that the asker lacks.
    Rows(Vec<RowState>),
    /// Residents that the asker lacks.
    Residents(Vec<Residents>),
    /// The host list, absent when the peer has none.
    Hosts(Option<HostsDelta>),
    /// Yes or no.
    Told(bool),
    /// Backend servers that hold the model or adapter now.
    Placed(Vec<BackendId>),
    /// What the peer read from the platform, absent when it does not reach it either.
    Facts(Option<Box<Facts>>),
    /// The connection is not authenticated.
    Denied,
}

/// Kind of message, as bytes are counted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MessageKind {
    /// Exchange.
    Exchange,
    /// Configuration delta.
    Config,
    /// Rows of hosts.
    Rows,
    /// Resident models.
    Residents,
    /// Host list.
    Hosts,
    /// Suspects.
    Suspects,
    /// Suspect slot.
    Slot,
    /// Want.
    Demand,
    /// Yield.
    RetiredEpoch,
    /// Placement.
    Place,
    /// What was read from the platform.
    Facts,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 11] = [
        Self::Exchange,
        Self::Config,
        Self::Rows,
        Self::Residents,
        Self::Hosts,
        Self::Suspects,
        Self::Slot,
        Self::Demand,
        Self::RetiredEpoch,
        Self::Place,
        Self::Facts,
    ];

    /// Returns the label used in counters.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Exchange => "exchange",
            Self::Config => "config",
            Self::Rows => "rows",
            Self::Residents => "residents",
            Self::Hosts => "hosts",
            Self::Suspects => "suspects",
            Self::Slot => "slot",
            Self::Demand => "want",
            Self::RetiredEpoch => "yielded",
            Self::Place => "place",
            Self::Facts => "facts",
        }
    }
}

impl Request {
    pub(crate) const fn kind(&self) -> MessageKind {
        match self {
            Self::Exchange(_) => MessageKind::Exchange,
            Self::Config(_) => MessageKind::Config,
            Self::Rows(_) => MessageKind::Rows,
            Self::Residents(_) => MessageKind::Residents,
            Self::Hosts(_) => MessageKind::Hosts,
            Self::Suspects(_) => MessageKind::Suspects,
            Self::Slot(..) => MessageKind::Slot,
            Self::Demand(..) => MessageKind::Demand,
            Self::RetiredEpoch(_) => MessageKind::RetiredEpoch,
            Self::Place(..) | Self::Replica(..) => MessageKind::Place,
            Self::Facts(_) => MessageKind::Facts,
        }
    }
}
