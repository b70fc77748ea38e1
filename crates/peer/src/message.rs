//! Messages between entry hosts.

use std::net::SocketAddr;

use config::Delta;
use route::{CrashUpdate, Fingerprint, SuspectRecord, TrialReply, TrialRequest};
use serde::{Deserialize, Serialize};
use transfer::{ContentId, Offer, PartId};
use types::{
    AdapterId, BackendId, ConfigVersion, DataCentreId, Epoch, HostId, Incarnation, Micros,
    Millicores, ModelId, RevisedRegistration, StoreRevision,
};

use crate::hosts::Host;

/// Readiness that an entry host announces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum Readiness {
    /// The host has no configuration yet.
    #[default]
    Starting,
    /// The host serves callers.
    Ready,
    /// The host finishes its requests before it stops.
    Draining,
}

/// Rarely changing attributes that an entry host announces of itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Row {
    pub(crate) id: HostId,
    pub(crate) dc: DataCentreId,
    pub(crate) addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) capacity: Millicores,
    pub(crate) incarnation: Incarnation,
    /// Incremented by the host with each change within an incarnation.
    pub(crate) stamp: u32,
    pub(crate) state: Readiness,
    /// Epoch of the lease that the host holds, if any.
    pub(crate) lease_epoch: Option<Epoch>,
    /// Highest epoch that the host has retired.
    pub(crate) retired_epoch: Option<Epoch>,
}

/// Row with the heartbeat counter and the configuration version of the same host.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct RowState {
    pub(crate) row: Row,
    pub(crate) counter: u64,
    pub(crate) version: ConfigVersion,
}

/// Message of the push-pull exchange, used as request and as reply.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct Exchange {
    pub(crate) host: HostId,
    pub(crate) counter: u64,
    pub(crate) version: ConfigVersion,
    /// Hash of the sorted host names that `heartbeats` and `versions` refer to.
    pub(crate) table: u64,
    /// Hash of all rows.
    pub(crate) rows_hash: u64,
    /// Whether `heartbeats` and `versions` cover only the sender's data centre.
    pub(crate) local: bool,
    /// Per host of the table, the difference of the sender's counter and its counter.
    pub(crate) heartbeats: Vec<u8>,
    /// Per host of the table, the difference of the sender's version and its version, as sparse
    /// numbers.
    pub(crate) versions: Vec<u8>,
    /// Rows that changed recently.
    pub(crate) rows: Vec<RowState>,
    /// Hash of the sorted backend server names that `loads` refers to; zero when there are none.
    pub(crate) load_table: u32,
    /// Encoded loads of backend servers.
    pub(crate) loads: Vec<u8>,
    /// Hash of the residents of all data centres.
    pub(crate) residents_hash: u32,
    /// Hash of the host list and the time since its confirmation, in tenths of a second.
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

/// Changes of the host list since the list with hash `from`, or the whole list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct HostsDelta {
    pub(crate) from: Option<u64>,
    pub(crate) hash: u64,
    pub(crate) age: u32,
    pub(crate) set: Vec<Host>,
    pub(crate) removed: Vec<String>,
}

/// Platform facts that the requester already has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownFacts {
    /// Revision of the platform up to which the requester knows the registrations.
    pub revision: StoreRevision,
    /// Newest version of the configuration that the requester knows to exist.
    pub version: ConfigVersion,
    /// Configuration that the requester has in force.
    pub config: Option<KnownConfig>,
    /// Whether the requester lacks an offer of a newer configuration.
    pub lacks_offer: bool,
    /// Whether the peer should delay its answer for a while until something changes.
    pub wait: bool,
}

/// Configuration that a host has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct KnownConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Content, from which a newer one may be a difference.
    pub content: ContentId,
}

/// Configuration that a host offers in parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigOffer {
    /// Version.
    pub version: ConfigVersion,
    /// Content.
    pub offer: Offer,
}

/// Platform facts that a host read, or got from another one, and passes on to a peer.
///
/// They do not contain the configuration, whose transfer takes longer than a request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// Revision of the platform up to which the sender knows the registrations.
    pub revision: StoreRevision,
    /// Whether `set` holds all registrations instead of only the changed ones.
    pub complete: bool,
    /// Registered backend servers.
    pub set: Vec<RevisedRegistration>,
    /// Backend servers that were deregistered.
    pub removed: Vec<BackendId>,
    /// Newest version of the configuration that the sender knows to exist.
    pub version: ConfigVersion,
    /// Revision of the platform up to which the sender knows of new versions.
    pub config_revision: StoreRevision,
    /// The sender's configuration, if it is newer than the requester's.
    pub config: Option<ConfigOffer>,
    /// Whether the sender reads the platform itself.
    pub direct: bool,
    /// Time from the last read of the platform that the sender knows of to the answer.
    pub age: Micros,
    /// Time from the arrival of the request to the answer.
    pub held: Micros,
}

/// Request to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Request {
    /// Push-pull exchange.
    Exchange(Box<Exchange>),
    /// Requests the configuration, given the version that the requester has.
    Config(Option<ConfigVersion>),
    /// Requests the rows that are missing from the digest of the requester's rows.
    Rows(Vec<u8>),
    /// Requests residents that are newer than these stamps.
    Residents(Vec<(DataCentreId, u64)>),
    /// Requests the host list, given the hash of the one that the requester has.
    Hosts(Option<u64>),
    /// Pushes suspect records.
    Suspects(Vec<SuspectRecord>),
    /// Requests a suspect slot.
    Slot(Fingerprint, BackendId),
    /// Notifies the controller of demand for a model or adapter that is not resident.
    Demand(ModelId, Option<AdapterId>),
    /// Asks whether the host has retired an epoch.
    RetiredEpoch(Epoch),
    /// Asks the holder of the lease to place a model or adapter.
    Place(ModelId, Option<AdapterId>),
    /// Asks the holder of the lease to place an adapter on a backend server as well.
    Replica(ModelId, AdapterId, BackendId),
    /// Requests platform facts, given those that the requester has.
    Facts(KnownFacts),
    /// Requests a part of a configuration that the host offered.
    Part(PartId),
    /// Pushes what the sender learned of crashes.
    CrashUpdate(CrashUpdate),
    /// Requests a trial of a blocked suspect.
    Trial(TrialRequest),
}

/// Reply to a request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Reply {
    /// Reply to an exchange.
    Exchange(Box<Exchange>),
    /// The configuration delta; `None` when the peer has no newer version.
    Config(Option<Box<Delta>>),
    /// Rows that the requester lacks.
    Rows(Vec<RowState>),
    /// Residents that the requester lacks.
    Residents(Vec<Residents>),
    /// The changes of the host list; `None` when the peer has no list.
    Hosts(Option<HostsDelta>),
    /// Yes or no.
    Bool(bool),
    /// Backend servers that hold the model or adapter now.
    Placed(Vec<BackendId>),
    /// Platform facts; `None` when the peer cannot reach the platform either.
    Facts(Option<Box<Facts>>),
    /// The connection is not authenticated.
    Denied,
    /// Part of a configuration; `None` when the peer does not have it any more.
    Part(Option<Vec<u8>>),
    /// Reply to a request for a trial.
    Trial(TrialReply),
}

/// Kind of message, by which traffic is counted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MessageKind {
    /// Exchange.
    Exchange,
    /// Configuration delta.
    Config,
    /// Rows of the membership table.
    Rows,
    /// Resident models.
    Residents,
    /// Host list.
    Hosts,
    /// Suspects and crashes.
    Suspects,
    /// Suspect slots and trials.
    Slot,
    /// Demand for a model that is not resident.
    Demand,
    /// Query for a retired epoch.
    RetiredEpoch,
    /// Placement.
    Place,
    /// Platform facts.
    Facts,
    /// Part of a configuration.
    Part,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
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
        Self::Part,
    ];

    /// Returns the label of the kind in metrics.
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
            Self::Part => "part",
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
            Self::Suspects(_) | Self::CrashUpdate(_) => MessageKind::Suspects,
            Self::Slot(..) | Self::Trial(_) => MessageKind::Slot,
            Self::Demand(..) => MessageKind::Demand,
            Self::RetiredEpoch(_) => MessageKind::RetiredEpoch,
            Self::Place(..) | Self::Replica(..) => MessageKind::Place,
            Self::Facts(_) => MessageKind::Facts,
            Self::Part(_) => MessageKind::Part,
        }
    }
}
