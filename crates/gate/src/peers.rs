//! Interface to the other entry hosts.

use std::net::SocketAddr;

use route::{CrashUpdate, Fingerprint, SuspectRecord, TrialReply, TrialRequest};
use types::{AdapterId, Announcement, BackendId, DataCentreId, HostId, Incarnation, ModelId};

/// Operations on other entry hosts.
///
/// Each method must return within a bounded time, even if peers do not answer.
pub trait Peers: Send + Sync + 'static {
    /// Shares suspect requests with all peers. Returns once each peer has acknowledged them or is
    /// unreachable.
    fn share_suspects(&self, records: Vec<SuspectRecord>) -> impl Future<Output = ()> + Send;

    /// Requests permission to run a suspect on a backend server now. No answer means no permission.
    fn request_suspect_slot(
        &self,
        fingerprint: Fingerprint,
        backend: BackendId,
    ) -> impl Future<Output = bool> + Send;

    /// Shares what this host learned of crashes with all peers, without waiting.
    fn share_crashes(&self, _update: CrashUpdate) {}

    /// Requests a trial of a suspect. No answer means no permission.
    fn request_trial(&self, _trial: TrialRequest) -> impl Future<Output = TrialReply> + Send {
        std::future::ready(TrialReply::Granted)
    }

    /// Returns the address for callers of a reachable entry host in a data centre.
    fn entry_host(&self, dc: &DataCentreId) -> Option<SocketAddr>;

    /// Returns whether an entry host is known to be alive in the given incarnation.
    fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool;

    /// Asks the controller to load a model or adapter.
    ///
    /// Returns the backend servers that hold it now, if the controller reports them.
    fn request_model(
        &self,
        model: ModelId,
        adapter: Option<AdapterId>,
    ) -> impl Future<Output = Vec<BackendId>> + Send;

    /// Asks the controller to load another copy of an adapter on a backend server.
    ///
    /// Returns the backend server if it now holds the adapter.
    fn request_replica(
        &self,
        _model: ModelId,
        _adapter: AdapterId,
        _backend: BackendId,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Passes on what a backend server announced in the response to a request, which the router
    /// knows.
    fn server_announced(&self, _announcement: Announcement) {}

    /// Returns whether a model may still be loaded after a request that returned no backend
    /// servers.
    fn may_load_later(&self) -> bool {
        true
    }
}

/// Deployment with a single entry host and no peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn share_suspects(&self, _records: Vec<SuspectRecord>) {}

    /// Grants the slot, because without peers the router's own list of suspects is complete.
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
