//! Pending requests to load models and adapters.

use std::sync::{Arc, Mutex, PoisonError};

use types::{AdapterId, ModelId};

type Item = (ModelId, Option<AdapterId>);

/// Models and adapters with a pending request, sorted.
pub(crate) type PendingModelRequests = Arc<Mutex<Vec<Item>>>;

/// Pending request for a model or adapter. Dropping it allows the next request.
///
/// One answer serves all requests that wait for the same item. Deduplication keeps the single host
/// that answers from receiving the same request several times a second from every host.
pub(crate) struct ModelRequest {
    pending: PendingModelRequests,
    item: Item,
}

impl ModelRequest {
    /// Registers a request, or returns `None` if one is already pending for the same item.
    pub(crate) fn register(
        pending: &PendingModelRequests,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> Option<Self> {
        let item = (model.clone(), adapter.cloned());
        let mut items = pending.lock().unwrap_or_else(PoisonError::into_inner);
        let index = items.binary_search(&item).err()?;
        items.insert(index, item.clone());
        Some(Self {
            pending: Arc::clone(pending),
            item,
        })
    }
}

impl Drop for ModelRequest {
    fn drop(&mut self) {
        let mut items = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = items.binary_search(&self.item) {
            items.remove(index);
        }
    }
}
