//! Suspect slots, which limit each backend server to one suspect request at a time.

use route::{Fingerprint, SuspectRecord, SuspectState};
use types::{BackendId, Deadline, Instant, Micros};

/// Slots that this host has granted.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// Backend server, suspect and expiry of each slot, sorted by backend server.
    granted: Vec<(BackendId, Fingerprint, Deadline)>,
}

impl Slots {
    /// Grants the slot of a backend server if it is free. Returns whether it did.
    pub(crate) fn grant(
        &mut self,
        backend: &BackendId,
        suspect: Fingerprint,
        duration: Micros,
        now: Instant,
    ) -> bool {
        let grant = (backend.clone(), suspect, Deadline::after(now, duration));
        match self.granted.binary_search_by(|(b, ..)| b.cmp(backend)) {
            Ok(index) if !self.granted[index].2.is_past(now) => false,
            Ok(index) => {
                self.granted[index] = grant;
                true
            }
            Err(index) => {
                self.granted.insert(index, grant);
                true
            }
        }
    }

    /// Releases the slots of suspects that completed or were in flight at another crash.
    pub(crate) fn release(&mut self, records: &[SuspectRecord]) {
        let ended = |backend: &BackendId, suspect: &Fingerprint| {
            records.iter().any(|m| {
                let done = m.state != SuspectState::Suspected || m.backend == *backend;
                m.fingerprint == *suspect && done
            })
        };
        self.granted
            .retain(|(backend, suspect, _)| !ended(backend, suspect));
    }
}
