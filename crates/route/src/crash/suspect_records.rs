//! Records of the requests that were in flight when a backend server crashed, used with suspect slots only.

use types::{BackendId, Deadline, Incarnation, Instant};

use crate::{
    crash::suspect::{SuspectRecord, SuspectState},
    event::Fingerprint,
};

/// Suspect record with its expiry time.
#[derive(Clone, Debug)]
struct Entry {
    record: SuspectRecord,
    until: Deadline,
}

/// Records of suspect requests, sorted by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecords {
    entries: Vec<Entry>,
}

impl SuspectRecords {
    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |e| e.record.fingerprint)
    }

    pub(crate) fn state(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectState> {
        let entry = &self.entries[self.find(fingerprint).ok()?];
        (!entry.until.is_past(now)).then_some(entry.record.state)
    }

    /// Returns whether the request is suspected because of another crash than this one.
    pub(crate) fn is_suspected_before(
        &self,
        fingerprint: Fingerprint,
        backend: &BackendId,
        incarnation: Incarnation,
    ) -> bool {
        self.find(fingerprint).is_ok_and(|at| {
            let record = &self.entries[at].record;
            let is_same_crash = record.backend == *backend && record.incarnation == incarnation;
            record.state == SuspectState::Suspected && !is_same_crash
        })
    }

    /// Applies a record; a suspected state never replaces a confirmed one.
    ///
    /// A confirmed request is the cause of a crash, so the other suspects of the same crash are
    /// cleared.
    pub(crate) fn apply(&mut self, record: SuspectRecord, until: Deadline) {
        match record.state {
            SuspectState::Cleared => self.clear(record.fingerprint),
            SuspectState::Suspected => self.insert(record, until, false),
            SuspectState::Confirmed => {
                let is_same_crash = |e: &Entry| {
                    e.record.backend == record.backend && e.record.incarnation == record.incarnation
                };
                self.entries
                    .retain(|e| e.record.state != SuspectState::Suspected || !is_same_crash(e));
                self.insert(record, until, true);
            }
        }
    }

    fn insert(&mut self, record: SuspectRecord, until: Deadline, replace: bool) {
        match self.find(record.fingerprint) {
            Ok(at) if replace && self.entries[at].record.state != SuspectState::Confirmed => {
                self.entries[at] = Entry { record, until };
            }
            Ok(_) => {}
            Err(at) => self.entries.insert(at, Entry { record, until }),
        }
    }

    /// Removes the record of a suspected request; that of a confirmed one stays until it expires.
    fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(at) = self.find(fingerprint)
            && self.entries[at].record.state == SuspectState::Suspected
        {
            self.entries.remove(at);
        }
    }

    pub(crate) fn get(&self, fingerprint: Fingerprint) -> Option<&SuspectRecord> {
        self.find(fingerprint)
            .ok()
            .map(|at| &self.entries[at].record)
    }

    pub(crate) fn prune(&mut self, now: Instant) {
        self.entries.retain(|e| !e.until.is_past(now));
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.entries.iter().map(|e| &e.record)
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }
}
