//! What a peer may ask of the process.

use types::{AdapterId, Epoch, ModelId};

/// What a peer may ask of the process; the binary implements it.
pub trait Served: Clone + Send + Sync + 'static {
    /// Takes note of demand for a model or adapter that is not resident.
    fn want(&self, model: ModelId, adapter: Option<AdapterId>) -> impl Future<Output = ()> + Send;

    /// Tells whether this host gave up an epoch and will send no more orders under it.
    fn yielded(&self, epoch: Epoch) -> impl Future<Output = bool> + Send;
}
