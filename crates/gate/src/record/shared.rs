//! Record of a request that its handler and its response body have in common.

use std::sync::{Arc, Mutex, PoisonError};

use crate::record::{End, RequestRecord};

/// Handle to a record, cheap to clone. Dropping the last one drops the record.
#[derive(Clone, Debug)]
pub(crate) struct SharedRecord(Arc<Mutex<RequestRecord>>);

impl SharedRecord {
    pub(crate) fn new(record: RequestRecord) -> Self {
        Self(Arc::new(Mutex::new(record)))
    }

    /// Changes the record.
    pub(crate) fn update(&self, change: impl FnOnce(&mut RequestRecord)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Writes the log line of the end and counts it. Later ends are ignored.
    pub(crate) fn end(&self, end: &End) {
        self.update(|record| record.end(end));
    }
}
