//! Requests of peers that the process handles.

use transfer::PartId;
use types::{AdapterId, BackendId, Epoch, ModelId};

use crate::message::{Facts, KnownFacts};

/// Handler of requests of peers, implemented by the process.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Records demand for a model or adapter that is not resident.
    fn request_model(
        &self,
        model: ModelId,
        adapter: Option<AdapterId>,
    ) -> impl Future<Output = ()> + Send;

    /// Returns whether this host has retired an epoch and will send no more orders under it.
    fn has_retired_epoch(&self, epoch: Epoch) -> impl Future<Output = bool> + Send;

    /// Places a model or adapter if this host holds the lease. Returns the backend servers that
    /// hold it then.
    fn place(
        &self,
        _model: ModelId,
        _adapter: Option<AdapterId>,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Places one more copy of an adapter on a backend server, if this host holds the lease.
    /// Returns the backend servers that hold the adapter then.
    fn request_replica(
        &self,
        _model: ModelId,
        _adapter: AdapterId,
        _on: BackendId,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Returns what this host read from the platform; `None` when it cannot reach the platform.
    fn facts(&self, _known: KnownFacts) -> impl Future<Output = Option<Facts>> + Send {
        std::future::ready(None)
    }

    /// Returns a part of a configuration that this host offered; `None` when it does not have it.
    fn part(&self, _part: PartId) -> impl Future<Output = Option<Vec<u8>>> + Send {
        std::future::ready(None)
    }
}
