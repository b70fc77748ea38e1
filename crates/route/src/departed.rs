//! Backend servers whose entries were removed.
//!
//! What they announced is kept in case the same process is listed again: an entry that expired during an
//! outage of the platform returns although its server still leaves. Their names are kept while requests run
//! there, as a server may crash after its entry is gone.

use types::{BackendId, Deadline, Incarnation, Instant, Micros};

use crate::{
    backend::{Backend, LeavingBy},
    event::Liveness,
};

/// Time for which an announcement outlasts the entry, several times that in which a server ends.
const DEPARTED_TTL: Micros = Micros::from_secs(600);

/// Announcements of a process whose entry was removed.
#[derive(Debug)]
struct Departed {
    id: BackendId,
    incarnation: Incarnation,
    leaving_by: Option<LeavingBy>,
    terminates_at: Deadline,
    held_off_until: Deadline,
    until: Deadline,
}

/// Announcements of removed backend servers, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct DepartedServers(Vec<Departed>);

impl DepartedServers {
    /// Records what a removed server announced and whether it was listed as leaving.
    pub(crate) fn record(&mut self, now: Instant, id: &BackendId, removed: &Backend) {
        self.0.retain(|d| !d.until.is_past(now) && d.id != *id);
        let Some(incarnation) = removed.incarnation else {
            return;
        };
        if removed.leaving_by.is_none() && removed.held_off_until.is_past(now) {
            return;
        }
        let at = self.0.partition_point(|d| d.id < *id);
        let departed = Departed {
            id: id.clone(),
            incarnation,
            leaving_by: removed.leaving_by,
            terminates_at: removed.terminates_at,
            held_off_until: removed.held_off_until,
            until: Deadline::after(now, DEPARTED_TTL),
        };
        self.0.insert(at, departed);
    }

    /// Returns whether a server was leaving when its entry was removed.
    pub(crate) fn was_leaving(&self, id: &BackendId) -> bool {
        let at = self.0.binary_search_by(|d| d.id.cmp(id));
        at.is_ok_and(|at| self.0[at].leaving_by.is_some())
    }

    /// Returns whether a removed server may have been terminated, by the time that it had named.
    pub(crate) fn may_be_terminated(&self, now: Instant, id: &BackendId) -> bool {
        let at = self.0.binary_search_by(|d| d.id.cmp(id));
        at.is_ok_and(|at| self.0[at].terminates_at.is_past(now))
    }

    /// Restores what a server announced before its entry was removed; a registration of another
    /// incarnation clears it.
    pub(crate) fn restore(&mut self, now: Instant, id: &BackendId, backend: &mut Backend) {
        let Ok(at) = self.0.binary_search_by(|d| d.id.cmp(id)) else {
            return;
        };
        let departed = self.0.remove(at);
        if departed.until.is_past(now) {
            return;
        }
        backend.incarnation = Some(departed.incarnation);
        backend.held_off_until = departed.held_off_until;
        backend.terminates_at = departed.terminates_at;
        if departed.leaving_by == Some(LeavingBy::Server) {
            backend.liveness = Liveness::Leaving;
            backend.leaving_by = Some(LeavingBy::Server);
        }
    }
}

/// Name of a removed server at which requests still run.
#[derive(Debug)]
struct Removed {
    index: u32,
    id: BackendId,
}

/// Names of the removed servers at which requests still run.
///
/// Each has an index of its own, above those of the configured servers.
#[derive(Debug, Default)]
pub(crate) struct RemovedServers(Vec<Removed>);

impl RemovedServers {
    /// Adds a server and returns its index.
    pub(crate) fn add(&mut self, id: &BackendId) -> u32 {
        let lowest = self.0.iter().map(|r| r.index).min();
        let index = lowest.unwrap_or(u32::MAX) - 1;
        let id = id.clone();
        self.0.push(Removed { index, id });
        index
    }

    /// Keeps the servers whose index is in use.
    pub(crate) fn retain(&mut self, is_used: impl Fn(u32) -> bool) {
        self.0.retain(|r| is_used(r.index));
    }

    pub(crate) fn name(&self, index: u32) -> Option<&BackendId> {
        let found = self.0.iter().find(|r| r.index == index);
        found.map(|r| &r.id)
    }

    /// Returns the indexes of the servers with a name.
    pub(crate) fn indexes<'a>(&'a self, id: &'a BackendId) -> impl Iterator<Item = u32> + 'a {
        let named = self.0.iter().filter(move |r| r.id == *id);
        named.map(|r| r.index)
    }
}
