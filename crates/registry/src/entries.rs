//! Entries of backend servers, through outages of the platform.

use std::collections::VecDeque;

use types::{BackendId, Deadline, Instant, Micros, Registration};

/// Time after this host reached the platform again in which servers whose entries lapsed register
/// again.
///
/// A server may also have left while the host was cut off, and must get no request once the host is
/// held to its bounds again, three seconds after the cut.
const REGISTER_AGAIN: Micros = Micros::from_millis(1_800);

/// Removed entries that are remembered for hosts that ask for changes.
const MAX_REMOVED: usize = 256;

/// Entry with the time until which it counts although it is missing on the platform.
#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// Revision of its last change.
    changed: u64,
    missing_until: Option<Deadline>,
}

/// Registered backend servers as this host believes them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Raised with every change of an entry.
    revision: u64,
    /// Revisions at which entries were removed, oldest first.
    removed: VecDeque<(u64, BackendId)>,
    /// Revision from which on all removals are remembered.
    complete_since: u64,
    /// Whether the platform does not answer.
    away: bool,
    /// Time until which missing entries may come back.
    lenient_until: Option<Deadline>,
}

impl Registry {
    /// Returns the registrations that count, sorted by id.
    #[must_use]
    pub fn registrations(&self) -> Vec<&Registration> {
        self.entries.iter().map(|e| &e.registration).collect()
    }

    /// Finds a registration.
    #[must_use]
    pub fn find(&self, id: &BackendId) -> Option<&Registration> {
        let at = self.position(id).ok()?;
        Some(&self.entries[at].registration)
    }

    fn position(&self, id: &BackendId) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.registration.id.cmp(id))
    }

    /// Takes note that the platform does not answer this host.
    pub fn mark_platform_unavailable(&mut self) {
        self.away = true;
    }

    /// Tells whether the platform does not answer this host.
    #[must_use]
    pub fn is_platform_unavailable(&self) -> bool {
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
    pub fn apply_listing(&mut self, now: Instant, listed: Vec<Registration>) -> bool {
        self.returned(now);
        let mut changed = false;
        let known: Vec<BackendId> = self
            .entries
            .iter()
            .map(|e| e.registration.id.clone())
            .collect();
        for id in known {
            if listed.iter().all(|r| r.id != id) {
                changed |= self.apply_removal(now, &id);
            }
        }
        for registration in listed {
            changed |= self.apply_registration(now, registration);
        }
        changed
    }

    fn raise(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn drop_entry(&mut self, at: usize) {
        let entry = self.entries.remove(at);
        let revision = self.raise();
        self.removed.push_back((revision, entry.registration.id));
        if self.removed.len() > MAX_REMOVED
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.complete_since = revision;
        }
    }

    /// Returns the revision of the entries.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the registrations that changed and those that were removed since a revision.
    ///
    /// Returns `None` when the removals since then are no longer remembered.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<(Vec<&Registration>, Vec<&BackendId>)> {
        if revision < self.complete_since || revision > self.revision {
            return None;
        }
        let set = self.entries.iter().filter(|e| e.changed > revision);
        let removed = self.removed.iter().filter(|(at, _)| *at > revision);
        Some((
            set.map(|e| &e.registration).collect(),
            removed.map(|(_, id)| id).collect(),
        ))
    }

    /// Takes what another host read of the platform; tells whether the belief changed.
    ///
    /// `complete` says that all entries are told, and not only those that changed. A host that reads
    /// the platform itself takes them only while it does not answer: an answer of a peer that was
    /// on its way until then is older than what was read since.
    pub fn apply_peer_update(
        &mut self,
        reads_platform: bool,
        complete: bool,
        set: Vec<Registration>,
        removed: &[BackendId],
    ) -> bool {
        if reads_platform && !self.away {
            return false;
        }
        let is_set = |id: &BackendId| set.iter().any(|r| r.id == *id);
        let gone = |e: &Entry| {
            let id = &e.registration.id;
            !is_set(id) && (complete || removed.contains(id))
        };
        let gone: Vec<usize> = (0..self.entries.len())
            .filter(|at| gone(&self.entries[*at]))
            .collect();
        // From the end, so that the other positions hold.
        for at in gone.iter().rev() {
            self.drop_entry(*at);
        }
        let mut changed = !gone.is_empty();
        for registration in set {
            changed |= self.put(registration);
        }
        changed
    }

    /// Takes an entry that was written; tells whether the belief changed.
    pub fn apply_registration(&mut self, now: Instant, registration: Registration) -> bool {
        self.returned(now);
        self.put(registration)
    }

    fn put(&mut self, registration: Registration) -> bool {
        let mut entry = Entry {
            registration,
            changed: self.revision,
            missing_until: None,
        };
        match self.position(&entry.registration.id) {
            Ok(at) => {
                let old = &self.entries[at];
                let changed = old.registration != entry.registration;
                entry.changed = if changed { self.raise() } else { old.changed };
                self.entries[at] = entry;
                changed
            }
            Err(at) => {
                entry.changed = self.raise();
                self.entries.insert(at, entry);
                true
            }
        }
    }

    /// Takes note that an entry was removed; tells whether the belief changed.
    pub fn apply_removal(&mut self, now: Instant, id: &BackendId) -> bool {
        self.returned(now);
        let Ok(at) = self.position(id) else {
            return false;
        };
        if let Some(until) = self.lenient(now) {
            self.entries[at].missing_until.get_or_insert(until);
            return false;
        }
        self.drop_entry(at);
        true
    }

    /// Drops entries that had time to come back and did not; tells whether the belief changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.away {
            return false;
        }
        let gone = |e: &Entry| e.missing_until.is_some_and(|until| until.is_past(now));
        let gone: Vec<usize> = (0..self.entries.len())
            .filter(|at| gone(&self.entries[*at]))
            .collect();
        // From the end, so that the other positions hold.
        for at in gone.iter().rev() {
            self.drop_entry(*at);
        }
        !gone.is_empty()
    }
}
