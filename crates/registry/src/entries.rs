//! Registrations of backend servers, retained during outages of the platform.

use std::collections::VecDeque;

use types::{BackendId, Deadline, Instant, Micros, Registration};

/// Time after this host reaches the platform again in which servers with expired entries can
/// register again.
///
/// A server may also have left while the host was disconnected. It must get no requests from the
/// time at which the host's bounds apply again, three seconds after the disconnection.
const REREGISTRATION_GRACE: Micros = Micros::from_millis(1_800);

/// Number of removals that are kept for hosts that request changes.
const MAX_REMOVALS: usize = 256;

/// Registration and the state of its retention.
#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// Revision of its last change.
    changed_at: u64,
    /// Time until which the entry is retained although the platform has no such entry.
    retained_until: Option<Deadline>,
}

/// Registered backend servers, as known to this host.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Incremented with every change of an entry.
    revision: u64,
    /// Revisions at which entries were removed, oldest first.
    removed: VecDeque<(u64, BackendId)>,
    /// Revision since which `removed` is complete.
    complete_since: u64,
    /// Whether the platform is unavailable.
    platform_unavailable: bool,
    /// End of the grace period after an outage.
    grace_until: Option<Deadline>,
}

impl Registry {
    /// Returns the registrations in use, sorted by id.
    #[must_use]
    pub fn registrations(&self) -> Vec<&Registration> {
        self.entries.iter().map(|e| &e.registration).collect()
    }

    /// Returns the registration of a backend server.
    #[must_use]
    pub fn find(&self, id: &BackendId) -> Option<&Registration> {
        let at = self.position(id).ok()?;
        Some(&self.entries[at].registration)
    }

    fn position(&self, id: &BackendId) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.registration.id.cmp(id))
    }

    /// Records that the platform does not respond to this host.
    pub fn mark_platform_unavailable(&mut self) {
        self.platform_unavailable = true;
    }

    /// Returns whether the platform does not respond to this host.
    #[must_use]
    pub fn is_platform_unavailable(&self) -> bool {
        self.platform_unavailable
    }

    /// Records that the platform responds; after an outage, starts the grace period.
    fn mark_platform_available(&mut self, now: Instant) {
        if std::mem::take(&mut self.platform_unavailable) {
            self.grace_until = Some(Deadline::after(now, REREGISTRATION_GRACE));
        }
    }

    /// Returns the end of the grace period if it has not passed.
    fn grace_end(&self, now: Instant) -> Option<Deadline> {
        self.grace_until.filter(|until| !until.is_past(now))
    }

    /// Applies a listing of all registrations on the platform; returns whether an entry changed.
    pub fn apply_listing(&mut self, now: Instant, listed: Vec<Registration>) -> bool {
        self.mark_platform_available(now);
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

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn remove_entry(&mut self, at: usize) {
        let entry = self.entries.remove(at);
        let revision = self.next_revision();
        self.removed.push_back((revision, entry.registration.id));
        if self.removed.len() > MAX_REMOVALS
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
    /// Returns `None` when the removals since then are no longer known.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<(Vec<&Registration>, Vec<&BackendId>)> {
        if revision < self.complete_since || revision > self.revision {
            return None;
        }
        let set = self.entries.iter().filter(|e| e.changed_at > revision);
        let removed = self.removed.iter().filter(|(at, _)| *at > revision);
        Some((
            set.map(|e| &e.registration).collect(),
            removed.map(|(_, id)| id).collect(),
        ))
    }

    /// Applies registrations that a peer read from the platform; returns whether an entry changed.
    ///
    /// `complete` means that `set` holds all registrations, not only changed ones. A host that
    /// reads the platform itself applies them only while the platform is unavailable: a delayed
    /// response of a peer is older than what the host has read since.
    pub fn apply_peer_update(
        &mut self,
        reads_platform: bool,
        complete: bool,
        set: Vec<Registration>,
        removed: &[BackendId],
    ) -> bool {
        if reads_platform && !self.platform_unavailable {
            return false;
        }
        let is_set = |id: &BackendId| set.iter().any(|r| r.id == *id);
        let is_removed = |e: &Entry| {
            let id = &e.registration.id;
            !is_set(id) && (complete || removed.contains(id))
        };
        let positions: Vec<usize> = (0..self.entries.len())
            .filter(|at| is_removed(&self.entries[*at]))
            .collect();
        // In descending order, so that the remaining positions stay valid.
        for at in positions.iter().rev() {
            self.remove_entry(*at);
        }
        let mut changed = !positions.is_empty();
        for registration in set {
            changed |= self.upsert(registration);
        }
        changed
    }

    /// Applies a registration that was written; returns whether an entry changed.
    pub fn apply_registration(&mut self, now: Instant, registration: Registration) -> bool {
        self.mark_platform_available(now);
        self.upsert(registration)
    }

    fn upsert(&mut self, registration: Registration) -> bool {
        let mut entry = Entry {
            registration,
            changed_at: self.revision,
            retained_until: None,
        };
        match self.position(&entry.registration.id) {
            Ok(at) => {
                let old = &self.entries[at];
                let changed = old.registration != entry.registration;
                entry.changed_at = if changed {
                    self.next_revision()
                } else {
                    old.changed_at
                };
                self.entries[at] = entry;
                changed
            }
            Err(at) => {
                entry.changed_at = self.next_revision();
                self.entries.insert(at, entry);
                true
            }
        }
    }

    /// Applies the removal of a registration; returns whether an entry changed.
    pub fn apply_removal(&mut self, now: Instant, id: &BackendId) -> bool {
        self.mark_platform_available(now);
        let Ok(at) = self.position(id) else {
            return false;
        };
        if let Some(until) = self.grace_end(now) {
            self.entries[at].retained_until.get_or_insert(until);
            return false;
        }
        self.remove_entry(at);
        true
    }

    /// Removes entries that are missing after the grace period; returns whether an entry changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.platform_unavailable {
            return false;
        }
        let is_expired = |e: &Entry| e.retained_until.is_some_and(|until| until.is_past(now));
        let positions: Vec<usize> = (0..self.entries.len())
            .filter(|at| is_expired(&self.entries[*at]))
            .collect();
        // In descending order, so that the remaining positions stay valid.
        for at in positions.iter().rev() {
            self.remove_entry(*at);
        }
        !positions.is_empty()
    }
}
