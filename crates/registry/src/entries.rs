//! Registrations of backend servers, retained during outages of the platform.

use std::collections::VecDeque;

use types::{
    BackendId, Deadline, Instant, Micros, Registration, RevisedRegistration, StoreRevision,
};

/// Time without a read after which missing entries may have expired because servers could not renew
/// them; entries expire after three heartbeats of more than a second.
///
/// Below it, a missing server has left, and it must get no more requests within the drain bound.
const MIN_OUTAGE: Micros = Micros::from_millis(2_200);

/// Time after an outage in which servers with expired entries can register again.
///
/// A server may also have left while the host was disconnected. It must get no requests from the
/// time at which the host's bounds apply again, three seconds after the disconnection.
const REREGISTRATION_GRACE: Micros = Micros::from_millis(1_800);

/// Maximum number of removals that are kept for hosts that request changes.
const MAX_REMOVALS: usize = 256;

/// State of the platform that was read, by this host or by a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPoint {
    /// Revision of the platform.
    pub revision: StoreRevision,
    /// Time by which everything acknowledged is included.
    pub at: Instant,
}

/// Change of an entry.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "nearly all changes are writes")]
pub enum EntryChange {
    /// The entry was written.
    Set(RevisedRegistration),
    /// The entry was removed.
    Removed(BackendId),
}

/// Effect of a read on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// An entry changed.
    Changed,
    /// No entry changed.
    Unchanged,
    /// The read is older than the last one and was ignored.
    Outdated,
}

impl From<bool> for Applied {
    fn from(changed: bool) -> Self {
        if changed {
            Self::Changed
        } else {
            Self::Unchanged
        }
    }
}

/// Registration and the state of its retention.
#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// Revision of the platform at its last change.
    revision: StoreRevision,
    /// Time until which the entry is retained although the platform has no such entry.
    retained_until: Option<Deadline>,
    /// Earliest time at which the server may be terminated, if it named one.
    terminates_at: Option<Deadline>,
}

/// Registered backend servers, as known to this host.
///
/// The platform's revision orders all reads, whichever host made them: a read never replaces one at
/// a higher revision.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    entries: Vec<Entry>,
    last_read: Option<ReadPoint>,
    /// Removed entries with the revision of the read that showed the removal, oldest first.
    removed: VecDeque<(StoreRevision, BackendId)>,
    /// Revision since which `removed` is complete.
    complete_since: StoreRevision,
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

    /// Returns the earliest time at which a backend server may be terminated, if it named one.
    #[must_use]
    pub fn terminates_at(&self, id: &BackendId) -> Option<Deadline> {
        let at = self.position(id).ok()?;
        self.entries[at].terminates_at
    }

    fn position(&self, id: &BackendId) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.registration.id.cmp(id))
    }

    /// Returns whether the platform has an entry, which is not merely retained.
    fn is_listed(&self, id: &BackendId) -> bool {
        let at = self.position(id);
        at.is_ok_and(|at| self.entries[at].retained_until.is_none())
    }

    /// Returns the newest read that was applied.
    #[must_use]
    pub fn last_read(&self) -> Option<ReadPoint> {
        self.last_read
    }

    /// Returns the revision of the newest read that was applied.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.last_read.map(|r| r.revision).unwrap_or_default()
    }

    /// Sets whether the platform fails to respond to this host.
    pub fn set_platform_unavailable(&mut self, unavailable: bool) {
        self.platform_unavailable = unavailable;
    }

    /// Returns whether the platform does not respond to this host.
    #[must_use]
    pub fn is_platform_unavailable(&self) -> bool {
        self.platform_unavailable
    }

    /// Applies a listing of all registrations on the platform.
    pub fn apply_listing(
        &mut self,
        now: Instant,
        read: ReadPoint,
        listed: Vec<RevisedRegistration>,
    ) -> Applied {
        let unchanged_at = self.last_read_at();
        if !self.advance(now, read) {
            return Applied::Outdated;
        }
        let is_listed = |e: &&Entry| {
            let id = &e.registration.id;
            listed.iter().any(|r| r.registration.id == *id)
        };
        let missing = self.entries.iter().filter(|e| !is_listed(e));
        let missing: Vec<BackendId> = missing.map(|e| e.registration.id.clone()).collect();
        let mut changed = false;
        for id in missing {
            changed |= self.remove(now, &id);
        }
        for registration in listed {
            changed |= self.upsert(registration, unchanged_at);
        }
        changed.into()
    }

    /// Applies changes of the platform since the last read, in their order.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        read: ReadPoint,
        changes: Vec<EntryChange>,
    ) -> Applied {
        let unchanged_at = self.last_read_at();
        if !self.advance(now, read) {
            return Applied::Outdated;
        }
        let mut has_effect = false;
        for change in changes {
            has_effect |= match change {
                EntryChange::Set(registration) => self.upsert(registration, unchanged_at),
                EntryChange::Removed(id) => self.remove(now, &id),
            };
        }
        has_effect.into()
    }

    /// Returns the time of the last read, after which all that is newer was written.
    fn last_read_at(&self) -> Instant {
        self.last_read.map_or(Instant::ZERO, |read| read.at)
    }

    /// Starts applying a read; returns false if it is older than the last one.
    fn advance(&mut self, now: Instant, read: ReadPoint) -> bool {
        let last = match self.last_read {
            Some(last) if read.revision < last.revision => return false,
            Some(last) => last,
            None => {
                self.complete_since = read.revision;
                read
            }
        };
        // After a restore of the store, entries are missing until their servers write them again.
        let is_restored = read.revision.era() != last.revision.era();
        if is_restored || read.at.since(last.at) > MIN_OUTAGE {
            self.grace_until = Some(Deadline::after(now, REREGISTRATION_GRACE));
        }
        self.last_read = Some(ReadPoint {
            revision: read.revision,
            at: read.at.max(last.at),
        });
        true
    }

    /// Returns the end of the grace period if it has not passed.
    fn grace_end(&self, now: Instant) -> Option<Deadline> {
        self.grace_until.filter(|until| !until.is_past(now))
    }

    /// Returns the registrations on the platform that changed after a revision, without those that
    /// are only retained.
    #[must_use]
    pub fn listed_since(&self, revision: StoreRevision) -> Vec<RevisedRegistration> {
        let listed = self.entries.iter().filter(|e| e.retained_until.is_none());
        let changed = listed.filter(|e| e.revision > revision);
        let revised = changed.map(|e| RevisedRegistration {
            revision: e.revision,
            registration: e.registration.clone(),
        });
        revised.collect()
    }

    /// Returns the entries that were removed after a revision and not written again, or `None` if
    /// they are not known.
    #[must_use]
    pub fn removed_since(&self, revision: StoreRevision) -> Option<Vec<BackendId>> {
        if self.last_read.is_none() || revision < self.complete_since {
            return None;
        }
        let removed = self.removed.iter().filter(|(at, _)| *at > revision);
        let removed = removed.map(|(_, id)| id.clone());
        Some(removed.filter(|id| !self.is_listed(id)).collect())
    }

    /// Applies a registration that was written after a time.
    fn upsert(&mut self, new: RevisedRegistration, written_after: Instant) -> bool {
        let terminates_in = new.registration.terminates_in;
        let mut entry = Entry {
            registration: new.registration,
            revision: new.revision,
            retained_until: None,
            // How long the registration was on its way is not known, so the earliest time counts.
            terminates_at: terminates_in.map(|time| Deadline::after(written_after, time)),
        };
        match self.position(&entry.registration.id) {
            Ok(at) if entry.revision < self.entries[at].revision => false,
            Ok(at) => {
                let known = &self.entries[at];
                if known.registration.state.incarnation == entry.registration.state.incarnation {
                    entry.terminates_at = earliest(known.terminates_at, entry.terminates_at);
                    // A restored entry may be older than the one in which the server said that it leaves.
                    let is_restored = entry.revision.era() > known.revision.era();
                    entry.registration.leaving |= is_restored && known.registration.leaving;
                }
                let changed = known.registration != entry.registration;
                self.entries[at] = entry;
                changed
            }
            Err(at) => {
                self.entries.insert(at, entry);
                true
            }
        }
    }

    /// Applies a removal; returns whether an entry changed.
    fn remove(&mut self, now: Instant, id: &BackendId) -> bool {
        let Ok(at) = self.position(id) else {
            return false;
        };
        if self.entries[at].retained_until.is_none() {
            self.record_removal(id.clone());
        }
        if let Some(until) = self.grace_end(now) {
            self.entries[at].retained_until.get_or_insert(until);
            return false;
        }
        self.entries.remove(at);
        true
    }

    fn record_removal(&mut self, id: BackendId) {
        self.removed.push_back((self.revision(), id));
        if self.removed.len() > MAX_REMOVALS
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.complete_since = revision;
        }
    }

    /// Removes entries that are missing after the grace period; returns whether an entry changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.platform_unavailable {
            return false;
        }
        let before = self.entries.len();
        let is_expired = |e: &Entry| e.retained_until.is_some_and(|until| until.is_past(now));
        self.entries.retain(|e| !is_expired(e));
        self.entries.len() < before
    }
}

fn earliest(a: Option<Deadline>, b: Option<Deadline>) -> Option<Deadline> {
    a.into_iter().chain(b).min()
}
