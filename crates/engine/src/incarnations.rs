//! The last known incarnation of each backend server.

use std::sync::{Mutex, PoisonError};

use types::{BackendId, Incarnation};

/// Last known incarnations, sorted by backend server id.
#[derive(Debug, Default)]
pub(crate) struct Incarnations(Mutex<Vec<(BackendId, Incarnation)>>);

impl Incarnations {
    pub(crate) fn get(&self, id: &BackendId) -> Option<Incarnation> {
        let incarnations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = incarnations
            .binary_search_by(|(known, _)| known.cmp(id))
            .ok()?;
        Some(incarnations[at].1)
    }

    pub(crate) fn set(&self, id: &BackendId, incarnation: Incarnation) {
        let mut incarnations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match incarnations.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(at) => incarnations[at].1 = incarnation,
            Err(at) => incarnations.insert(at, (id.clone(), incarnation)),
        }
    }
}
