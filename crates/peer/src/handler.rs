//! What a peer may ask of the process.

use types::{AdapterId, BackendId, Epoch, ModelId};

use crate::message::{Facts, KnownFacts};

/// What a peer may ask of the process; the binary implements it.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes note of demand for a model or adapter that is not resident.
    fn request_model(
        &self,
        model: ModelId,
        adapter: Option<AdapterId>,
    ) -> impl Future<Output = ()> + Send;

    /// Tells whether this host gave up an epoch and will send no more orders under it.
    fn has_retired_epoch(&self, epoch: Epoch) -> impl Future<Output = bool> + Send;

    /// Places a model or adapter if this host holds the lease, and returns where it is then.
    fn place(
        &self,
        _model: ModelId,
        _adapter: Option<AdapterId>,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Places an adapter on a backend server as well, if this host holds the lease.
    fn request_replica(
        &self,
        _model: ModelId,
        _adapter: AdapterId,
        _on: BackendId,
    ) -> impl Future<Output = Vec<BackendId>> + Send {
        std::future::ready(Vec::new())
    }

    /// Returns what this host reads from the platform, unless it does not reach it.
    fn facts(&self, _known: KnownFacts) -> impl Future<Output = Option<Facts>> + Send {
        std::future::ready(None)
    }
}
