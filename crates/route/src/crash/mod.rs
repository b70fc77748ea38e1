//! Crashes of backend servers, and which requests are suspected because of them.
//!
//! There are two models. With suspect slots ([`Settings::suspect_slots`](crate::Settings)), a request that
//! was in flight at a crash has a record (`suspect_records`) and runs alone in a slot (`suspect_slot`) until it
//! is confirmed or cleared. Without them, evidence from all hosts counts against whole requests and parts
//! of prompts (`report`, `evidence`), which are blocked after several crashes (`blocking`) and tried
//! rarely (`trial`). A crash always updates the evidence against parts.
//!
//! The server itself is out of use until it has restarted, or responds to a probe (`probe`).

pub(crate) mod blocking;
pub(crate) mod evidence;
pub(crate) mod probe;
mod report;
pub(crate) mod suspect;
pub(crate) mod suspect_records;
mod suspect_slot;
pub(crate) mod trial;

use types::{BackendId, Deadline, Incarnation, Instant, Micros};

use crate::{
    crash::suspect::{SuspectRecord, SuspectState},
    event::{Action, Fingerprint, RoutingRequest},
    requests::{Phase, RequestEntry},
    router::{Router, Scope},
};

impl Router {
    /// Returns the suspect state of a request.
    pub(crate) fn suspect_state(
        &self,
        request: &RoutingRequest,
        now: Instant,
    ) -> Option<SuspectState> {
        if self.cfg.suspects {
            self.suspect_records.state(request.fingerprint, now)
        } else {
            None
        }
    }

    /// Returns whether another request with the same fingerprint is dispatched, forwarded or
    /// awaiting a slot.
    pub(crate) fn has_active_duplicate(&self, slot: u32) -> bool {
        let Some(entry) = self.requests.get(slot) else {
            return false;
        };
        let fingerprint = entry.request.fingerprint;
        self.requests.iter().any(|(other, entry)| {
            other != slot
                && entry.request.fingerprint == fingerprint
                && entry.phase != Phase::Queued
        })
    }

    /// Marks a backend server as dead and records the requests that were in flight there.
    pub(crate) fn crashed(
        &mut self,
        now: Instant,
        backend: &BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if let Some(index) = self.names.as_ref().and_then(|n| n.backend(backend)) {
            self.end_incarnation(now, index, incarnation);
        }
        self.record_suspects(now, backend, incarnation, out);
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Marks a backend server as dead, unless it has restarted since.
    fn end_incarnation(&mut self, now: Instant, backend: u32, incarnation: Incarnation) {
        let b = &mut self.backends[backend as usize];
        let has_restarted =
            b.ended_incarnation == Some(incarnation) && b.incarnation != Some(incarnation);
        if has_restarted {
            return;
        }
        b.incarnation = Some(incarnation);
        b.ended_incarnation = Some(incarnation);
        b.prefixes.clear();
        b.await_probe(now);
        // A process that the platform still lists may run on, with what it holds.
        let may_run_on = b.registered_incarnation == Some(incarnation);
        self.set_dead(backend);
        if !may_run_on {
            self.set_residents(backend, Vec::new(), Vec::new());
        }
    }

    /// Returns the indexes under which requests run at a backend server. There are several if its entry was
    /// removed and returned.
    pub(crate) fn indexes_of(&self, id: &BackendId) -> Vec<u32> {
        let current = self.names.as_ref().and_then(|n| n.backend(id));
        current
            .into_iter()
            .chain(self.removed.indexes(id))
            .collect()
    }

    /// Returns the name of a backend server, which may have been removed.
    fn name_of(&self, backend: u32) -> Option<&BackendId> {
        if (backend as usize) < self.backends.len() {
            return self.names.as_ref().map(|n| n.backend_id(backend));
        }
        self.removed.name(backend)
    }

    /// Handles a crash that is known only from the failure of an attempt.
    ///
    /// `phase` is that of the failed attempt.
    pub(crate) fn record_crash_failure(
        &mut self,
        now: Instant,
        slot: u32,
        phase: Phase,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Phase::Running {
            backend,
            incarnation,
        } = phase
        else {
            return;
        };
        let incarnation = incarnation.unwrap_or_default();
        let Some(id) = self.name_of(backend).cloned() else {
            return;
        };
        let record = self.suspect_records.get(entry.request.fingerprint);
        let is_recorded = record.is_some_and(|r| r.backend == id && r.incarnation == incarnation);
        if !is_recorded {
            self.crashed(now, &id, incarnation, out);
        }
    }

    /// Records what was in flight at a crash, and shares it.
    fn record_suspects(
        &mut self,
        now: Instant,
        id: &BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        self.record_crash(now, id, incarnation, Micros::ZERO, out);
        if self.cfg.suspect_slots {
            self.record_suspect_requests(now, id, incarnation, out);
        }
    }

    /// Records the requests that were in flight at a crash, and shares the records.
    ///
    /// A request that was also in flight at an earlier crash is confirmed as the cause if it ran as
    /// a suspect or is the only such request. The other requests are not suspected.
    fn record_suspect_requests(
        &mut self,
        now: Instant,
        id: &BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let ran = self.requests_run_on(&self.indexes_of(id), incarnation);
        let record = |fingerprint, state| SuspectRecord {
            fingerprint,
            state,
            backend: id.clone(),
            incarnation,
        };
        let cause = self.cause(&ran, id, incarnation);
        let records: Vec<SuspectRecord> = if let Some(cause) = cause {
            self.counts.confirmed += 1;
            vec![record(cause, SuspectState::Confirmed)]
        } else {
            let is_new = |r: &&(Fingerprint, bool)| self.suspect_records.state(r.0, now).is_none();
            let suspected = ran.iter().filter(is_new);
            let records: Vec<SuspectRecord> = suspected
                .map(|r| record(r.0, SuspectState::Suspected))
                .collect();
            self.counts.suspected += records.len() as u64;
            records
        };
        self.store_records(now, &records);
        if !records.is_empty() {
            out.push(Action::ShareSuspects(records));
        }
    }

    /// Returns the request that caused this crash: one that was suspected before and is the only
    /// such request, or ran in a suspect slot.
    ///
    /// A request that was dispatched before its record arrived did not run in a suspect slot and
    /// still counts.
    fn cause(
        &self,
        ran: &[(Fingerprint, bool)],
        backend: &BackendId,
        incarnation: Incarnation,
    ) -> Option<Fingerprint> {
        let was_suspected = |r: &&(Fingerprint, bool)| {
            let records = &self.suspect_records;
            records.is_suspected_before(r.0, backend, incarnation)
        };
        let mut suspected = ran.iter().filter(was_suspected);
        let first = suspected.next()?;
        let is_only_one = suspected.clone().next().is_none();
        let cause = if is_only_one || first.1 {
            Some(first)
        } else {
            suspected.find(|r| r.1)
        };
        cause.map(|r| r.0)
    }

    /// Returns the fingerprints that ran on one incarnation of a backend server, each with whether
    /// it ran in a suspect slot.
    fn requests_run_on(
        &self,
        backends: &[u32],
        incarnation: Incarnation,
    ) -> Vec<(Fingerprint, bool)> {
        let is_there = |entry: &RequestEntry| {
            let mut attempts = entry.attempts_in_progress();
            attempts.any(|a| a.phase.runs_on(backends, incarnation))
        };
        let running = self.requests.iter().filter(|(_, entry)| is_there(entry));
        let mut ran: Vec<(Fingerprint, bool)> = running
            .map(|(_, entry)| (entry.request.fingerprint, entry.as_suspect))
            .collect();
        let abandoned = self
            .abandoned
            .iter()
            .filter(|a| backends.contains(&a.backend));
        ran.extend(abandoned.map(|a| (a.fingerprint, a.as_suspect)));
        ran.sort_unstable();
        // Of two entries with the same fingerprint, the one that ran in a suspect slot is kept.
        ran.reverse();
        ran.dedup_by_key(|r| r.0);
        ran
    }

    fn store_records(&mut self, now: Instant, records: &[SuspectRecord]) {
        for record in records {
            let until = Deadline::after(now, self.cfg.confirmed_ttl);
            self.suspect_records.apply(record.clone(), until);
        }
    }

    pub(crate) fn apply_suspect_records(
        &mut self,
        now: Instant,
        records: &[SuspectRecord],
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        self.store_records(now, records);
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Clears the suspicion of a request that completed.
    pub(crate) fn clear_suspect(
        &mut self,
        entry: &RequestEntry,
        backend: u32,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = entry.request.fingerprint;
        let Some(record) = self.suspect_records.get(fingerprint) else {
            return;
        };
        if record.state != SuspectState::Suspected || !self.cfg.suspects {
            return;
        }
        let mut record = record.clone();
        record.state = SuspectState::Cleared;
        if let Some(names) = &self.names
            && (backend as usize) < self.backends.len()
        {
            record.backend = names.backend_id(backend).clone();
        }
        self.suspect_records.apply(record.clone(), Deadline::NEVER);
        self.counts.cleared += 1;
        out.push(Action::ShareSuspects(vec![record]));
    }
}
