//! What the gate asks of other entry hosts.

use std::net::SocketAddr;

use route::{Fingerprint, SuspectRecord};
use types::{AdapterId, BackendId, DataCentreId, HostId, Incarnation, ModelId};

/// Other entry hosts, as the gate needs them.
///
/// Every method must return within a bounded time, whether or not peers answer.
pub trait Peers: Send + Sync + 'static {
    /// Tells all peers of suspect requests and returns when they know or can't be reached.
    fn share_suspects(&self, marks: Vec<SuspectRecord>) -> impl Future<Output = ()> + Send;

    /// Asks whether a suspect may run on a backend server now; no answer means no.
    fn request_suspect_slot(
        &self,
        fingerprint: Fingerprint,
        backend: BackendId,
    ) -> impl Future<Output = bool> + Send;

    /// Returns the caller address of a reachable entry host in a data centre.
    fn entry_host(&self, dc: &DataCentreId) -> Option<SocketAddr>;

    /// Tells whether an entry host is known to be alive in a given life.
    fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool;

    /// Tells the controller that a model or adapter is wanted.
    ///
    /// Returns the backend servers that hold it now, as far as the controller says so.
    fn request_model(
        &self,
        model: ModelId,
        adapter: Option<AdapterId>,
    ) -> impl Future<Output = Vec<BackendId>> + Send;

    /// Asks the controller for another copy of an adapter on a backend server.
    ///
    /// Returns the backend server if it holds the adapter now.
    fn request_replica(
        &self,
        _model: ModelId,
        _adapter: AdapterId,
        _backend: BackendId,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Tells whether a want without an answer may still be fulfilled later.
    fn may_load_later(&self) -> bool {
        true
    }
}

/// A deployment of a single entry host, which has no peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn share_suspects(&self, _marks: Vec<SuspectRecord>) {}

    /// Grants the slot: without peers, the router's own list of suspects is the only one.
    async fn request_suspect_slot(&self, _fingerprint: Fingerprint, _backend: BackendId) -> bool {
        true
    }

    fn entry_host(&self, _dc: &DataCentreId) -> Option<SocketAddr> {
        None
    }

    fn is_live(&self, _host: &HostId, _incarnation: Incarnation) -> bool {
        false
    }

    async fn request_model(&self, _model: ModelId, _adapter: Option<AdapterId>) -> Vec<BackendId> {
        Vec::new()
    }
}
