//! Suspect slots that one entry host grants for its data centre.

use types::{BackendId, Deadline, Instant, Micros};

use crate::{
    crash::suspect::{SuspectRecord, SuspectState},
    event::Fingerprint,
};

/// Table of the suspects that may run now.
///
/// It grants one slot per backend server, and each suspect holds at most one slot. A record that
/// clears or confirms a suspect releases its slot; otherwise the slot expires.
///
/// ```
/// use route::{Fingerprint, SlotTable};
/// use types::{Instant, Micros};
///
/// let mut slots = SlotTable::new(Micros::from_secs(60));
/// let (a, b) = (Fingerprint::new(1), Fingerprint::new(2));
/// assert!(slots.grant(Instant::ZERO, a, &"w1".parse()?));
/// assert!(!slots.grant(Instant::ZERO, b, &"w1".parse()?));
/// # Ok::<(), types::Error>(())
/// ```
#[derive(Debug)]
pub struct SlotTable {
    ttl: Micros,
    granted: Vec<(Fingerprint, BackendId, Deadline)>,
}

impl SlotTable {
    /// Creates a table whose slots expire after `ttl`, which must exceed the longest deadline.
    #[must_use]
    pub const fn new(ttl: Micros) -> Self {
        Self {
            ttl,
            granted: Vec::new(),
        }
    }

    /// Grants a slot if it is free, and returns whether it was granted.
    pub fn grant(&mut self, now: Instant, fingerprint: Fingerprint, backend: &BackendId) -> bool {
        self.granted.retain(|h| !h.2.is_past(now));
        if self
            .granted
            .iter()
            .any(|h| h.0 == fingerprint || h.1 == *backend)
        {
            return false;
        }
        let until = Deadline::after(now, self.ttl);
        self.granted.push((fingerprint, backend.clone(), until));
        true
    }

    /// Releases the slots of suspects that were cleared or confirmed.
    pub fn apply(&mut self, records: &[SuspectRecord]) {
        let resolved = |f: &Fingerprint| {
            let mut matching = records.iter().filter(|m| m.fingerprint == *f);
            matching.any(|m| m.state != SuspectState::Suspected)
        };
        self.granted.retain(|h| !resolved(&h.0));
    }
}
