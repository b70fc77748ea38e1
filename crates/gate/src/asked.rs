//! Questions for models and adapters that wait for an answer.

use std::sync::{Arc, Mutex, PoisonError};

use types::{AdapterId, ModelId};

type Item = (ModelId, Option<AdapterId>);

/// Items that are asked for now, sorted.
pub(crate) type AskedItems = Arc<Mutex<Vec<Item>>>;

/// Question that is under way; dropping it ends it.
///
/// The answer to the first question for an item serves all requests that wait for it, and the one
/// host that answers must not get the same question several times a second from every host.
pub(crate) struct Asked {
    all: AskedItems,
    item: Item,
}

impl Asked {
    /// Begins a question unless the same one is under way.
    pub(crate) fn begin(
        all: &AskedItems,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> Option<Self> {
        let item = (model.clone(), adapter.cloned());
        let mut items = all.lock().unwrap_or_else(PoisonError::into_inner);
        let at = items.binary_search(&item).err()?;
        items.insert(at, item.clone());
        Some(Self {
            all: Arc::clone(all),
            item,
        })
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        let mut items = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = items.binary_search(&self.item) {
            items.remove(at);
        }
    }
}
