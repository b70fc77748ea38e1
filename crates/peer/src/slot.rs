//! Suspect slots: at most one suspect request at a time on a backend server.

use route::{Fingerprint, SuspectRecord, SuspectState};
use types::{BackendId, Deadline, Instant, Micros};

/// Granted slots of the backend servers that this host grants for.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// Sorted by backend server.
    granted: Vec<(BackendId, Fingerprint, Deadline)>,
}

impl Slots {
    /// Grants the slot of a backend server if it is free.
    pub(crate) fn ask(
        &mut self,
        backend: &BackendId,
        suspect: Fingerprint,
        duration: Micros,
        now: Instant,
    ) -> bool {
        let grant = (backend.clone(), suspect, Deadline::after(now, duration));
        match self.granted.binary_search_by(|(b, ..)| b.cmp(backend)) {
            Ok(at) if !self.granted[at].2.is_past(now) => false,
            Ok(at) => {
                self.granted[at] = grant;
                true
            }
            Err(at) => {
                self.granted.insert(at, grant);
                true
            }
        }
    }

    /// Frees the slots of suspects that completed or were in flight at another crash.
    pub(crate) fn hear(&mut self, marks: &[SuspectRecord]) {
        let ended = |backend: &BackendId, suspect: &Fingerprint| {
            marks.iter().any(|m| {
                let done = m.state != SuspectState::Suspected || m.backend == *backend;
                m.fingerprint == *suspect && done
            })
        };
        self.granted
            .retain(|(backend, suspect, _)| !ended(backend, suspect));
    }
}
