//! The last known incarnation of each backend server.

use std::sync::{Mutex, PoisonError};

use types::{BackendId, Incarnation};

/// Last known incarnations, sorted by backend server.
#[derive(Debug, Default)]
pub(crate) struct Lives(Mutex<Vec<(BackendId, Incarnation)>>);

impl Lives {
    pub(crate) fn get(&self, id: &BackendId) -> Option<Incarnation> {
        let lives = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = lives.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
        Some(lives[at].1)
    }

    pub(crate) fn set(&self, id: &BackendId, incarnation: Incarnation) {
        let mut lives = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match lives.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(at) => lives[at].1 = incarnation,
            Err(at) => lives.insert(at, (id.clone(), incarnation)),
        }
    }
}
