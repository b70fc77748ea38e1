//! Entries of backend servers, through outages of the platform.

use types::{BackendId, Deadline, Instant, Micros, Registration};

/// Time after the platform's return in which servers whose entries lapsed register again.
const REGISTER_AGAIN: Micros = Micros::from_millis(2_500);

/// Entry with the time until which it counts although it is missing on the platform.
#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    missing_until: Option<Deadline>,
}

/// Registered backend servers as this host believes them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Whether the platform does not answer.
    away: bool,
    /// Time until which missing entries may come back.
    lenient_until: Option<Deadline>,
}

impl Registry {
    /// Returns the registrations that count, sorted by id.
    #[must_use]
    pub fn entries(&self) -> Vec<&Registration> {
        self.entries.iter().map(|e| &e.registration).collect()
    }

    /// Finds a registration.
    #[must_use]
    pub fn find(&self, id: &BackendId) -> Option<&Registration> {
        let at = self.position(id).ok()?;
        Some(&self.entries[at].registration)
    }

    fn position(&self, id: &BackendId) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.registration.id.cmp(id))
    }

    /// Takes note that the platform does not answer this host.
    pub fn away(&mut self) {
        self.away = true;
    }

    /// Tells whether the platform does not answer this host.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.away
    }

    fn returned(&mut self, now: Instant) {
        if std::mem::take(&mut self.away) {
            self.lenient_until = Some(Deadline::after(now, REGISTER_AGAIN));
        }
    }

    fn lenient(&self, now: Instant) -> Option<Deadline> {
        self.lenient_until.filter(|until| !until.is_past(now))
    }

    /// Takes all entries of the platform; tells whether the belief changed.
    pub fn listed(&mut self, now: Instant, listed: Vec<Registration>) -> bool {
        self.returned(now);
        let mut changed = false;
        let known: Vec<BackendId> = self.entries.iter().map(|e| e.registration.id.clone()).collect();
        for id in known {
            if listed.iter().all(|r| r.id != id) {
                changed |= self.removed(now, &id);
            }
        }
        for registration in listed {
            changed |= self.set(now, registration);
        }
        changed
    }

    /// Takes all entries as a peer read them, while the platform does not answer this host.
    pub fn told(&mut self, told: Vec<Registration>) -> bool {
        let entry = |registration| Entry {
            registration,
            missing_until: None,
        };
        let mut entries: Vec<Entry> = told.into_iter().map(entry).collect();
        entries.sort_by(|a, b| a.registration.id.cmp(&b.registration.id));
        let same = |(a, b): (&Entry, &Entry)| a.registration == b.registration;
        let changed = entries.len() != self.entries.len()
            || !entries.iter().zip(&self.entries).all(same);
        self.entries = entries;
        changed
    }

    /// Takes an entry that was written; tells whether the belief changed.
    pub fn set(&mut self, now: Instant, registration: Registration) -> bool {
        self.returned(now);
        let entry = Entry {
            registration,
            missing_until: None,
        };
        match self.position(&entry.registration.id) {
            Ok(at) => {
                let changed = self.entries[at].registration != entry.registration;
                self.entries[at] = entry;
                changed
            }
            Err(at) => {
                self.entries.insert(at, entry);
                true
            }
        }
    }

    /// Takes note that an entry was removed; tells whether the belief changed.
    pub fn removed(&mut self, now: Instant, id: &BackendId) -> bool {
        self.returned(now);
        let Ok(at) = self.position(id) else {
            return false;
        };
        if let Some(until) = self.lenient(now) {
            self.entries[at].missing_until.get_or_insert(until);
            return false;
        }
        self.entries.remove(at);
        true
    }

    /// Drops entries that had time to come back and did not; tells whether the belief changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        if self.away {
            return false;
        }
        let before = self.entries.len();
        self.entries
            .retain(|e| e.missing_until.is_none_or(|until| !until.is_past(now)));
        self.entries.len() != before
    }
}
