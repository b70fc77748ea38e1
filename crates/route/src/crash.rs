//! Crashes of backend servers and the requests suspected of causing them.

use types::{BackendId, Code, Deadline, Incarnation, Instant, Micros, RequestId};

use crate::{
    choose::Estimate,
    event::{Action, Fingerprint, RoutingRequest, SuspectRecord, SuspectState},
    requests::{Phase, RequestEntry},
    router::{Router, Scope},
};

/// Interval before a suspect slot is requested again after a denial.
const SLOT_RETRY_INTERVAL: Micros = Micros::from_millis(50);
/// Number of denials after which a suspect is refused.
const MAX_DENIALS: u8 = 8;

impl Router {
    /// Returns the suspect state of a request.
    pub(crate) fn suspect_state(
        &self,
        request: &RoutingRequest,
        now: Instant,
    ) -> Option<SuspectState> {
        if self.cfg.suspects {
            self.suspects.state(request.fingerprint, now)
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
        self.requests.iter().any(|(other, f)| {
            other != slot && f.request.fingerprint == fingerprint && f.phase != Phase::Queued
        })
    }

    pub(crate) fn crashed(
        &mut self,
        now: Instant,
        backend: &BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.names.as_ref().and_then(|n| n.backend(backend)) else {
            return;
        };
        let b = &mut self.backends[backend as usize];
        if b.ended_incarnation == Some(incarnation) && b.incarnation != Some(incarnation) {
            // The server has restarted since; only requests of the ended incarnation are affected.
            self.record_suspects(now, backend, incarnation, out);
            self.dispatch_queued(now, Scope::All, out);
            return;
        }
        b.incarnation = Some(incarnation);
        b.ended_incarnation = Some(incarnation);
        b.prefixes.clear();
        self.set_dead(backend);
        self.set_residents(backend, Vec::new(), Vec::new());
        self.record_suspects(now, backend, incarnation, out);
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Treats a request that failed by a crash as evidence of the crash.
    ///
    /// `phase` is that of the failed attempt.
    pub(crate) fn note_crash_failure(
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
        let Some(names) = &self.names else {
            return;
        };
        if self.backends.get(backend as usize).is_none() {
            return;
        }
        let id = names.backend_id(backend).clone();
        let known = self.suspects.get(entry.request.fingerprint);
        let recorded = known.is_some_and(|m| m.backend == id && m.incarnation == incarnation);
        if !recorded {
            self.crashed(now, &id, incarnation, out);
        }
    }

    /// Records the requests that were in flight at a crash, and shares the records.
    ///
    /// A request that was also in flight at an earlier crash is confirmed as the cause if it ran as
    /// a suspect or is the only such request. The other requests are not suspected.
    fn record_suspects(
        &mut self,
        now: Instant,
        backend: u32,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        let Some(id) = self.names.as_ref().map(|n| n.backend_id(backend).clone()) else {
            return;
        };
        self.record_crash(now, (backend, id.clone()), incarnation, out);
        if !self.cfg.suspect_slots {
            return;
        }
        let ran = self.requests_run_on(backend, incarnation);
        let causes = self.causes(&ran, &id, incarnation);
        self.counts.confirmed += causes.len() as u64;
        let is_new = |r: &&(Fingerprint, bool)| self.suspects.state(r.0, now).is_none();
        let affected: Vec<(Fingerprint, SuspectState)> = if causes.is_empty() {
            let unknown = ran.iter().filter(is_new);
            unknown.map(|r| (r.0, SuspectState::Suspected)).collect()
        } else {
            let confirmed = causes.iter();
            confirmed.map(|f| (*f, SuspectState::Confirmed)).collect()
        };
        let record = |(fingerprint, state)| SuspectRecord {
            fingerprint,
            state,
            backend: id.clone(),
            incarnation,
        };
        let records: Vec<SuspectRecord> = affected.into_iter().map(record).collect();
        if causes.is_empty() {
            self.counts.suspected += records.len() as u64;
        }
        self.store_records(now, &records);
        if !records.is_empty() {
            out.push(Action::ShareSuspects(records));
        }
    }

    /// Returns the requests known to have caused this crash.
    fn causes(
        &self,
        ran: &[(Fingerprint, bool)],
        backend: &BackendId,
        incarnation: Incarnation,
    ) -> Vec<Fingerprint> {
        Vec::from_iter(self.cause(ran, backend, incarnation))
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
        let before =
            |r: &&(Fingerprint, bool)| self.suspects.suspected_before(r.0, backend, incarnation);
        let mut repeated = ran.iter().filter(before);
        let first = repeated.next()?;
        let alone = repeated.clone().next().is_none();
        let cause = if alone || first.1 {
            Some(first)
        } else {
            repeated.find(|r| r.1)
        };
        cause.map(|r| r.0)
    }

    /// Returns the fingerprints that ran on one incarnation of a backend server, each with whether
    /// it ran in a suspect slot.
    fn requests_run_on(&self, backend: u32, incarnation: Incarnation) -> Vec<(Fingerprint, bool)> {
        let is_there = |phase: Phase| phase.runs_on(backend, incarnation);
        let same =
            |f: &RequestEntry| is_there(f.phase) || f.held.is_some_and(|held| is_there(held.phase));
        let running = self.requests.iter().filter(|(_, f)| same(f));
        let mut ran: Vec<(Fingerprint, bool)> = running
            .map(|(_, f)| (f.request.fingerprint, f.as_suspect))
            .collect();
        let abandoned = self.abandoned.iter().filter(|d| d.backend == backend);
        ran.extend(abandoned.map(|d| (d.fingerprint, d.as_suspect)));
        ran.sort_unstable();
        // Of two entries with the same fingerprint, the one that ran in a suspect slot is kept.
        ran.reverse();
        ran.dedup_by_key(|r| r.0);
        ran
    }

    fn store_records(&mut self, now: Instant, records: &[SuspectRecord]) {
        for record in records {
            let until = Deadline::after(now, self.cfg.confirmed_ttl);
            self.suspects.note(record.clone(), until);
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
        let Some(record) = self.suspects.get(fingerprint) else {
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
        self.suspects.note(record.clone(), Deadline::NEVER);
        self.counts.cleared += 1;
        out.push(Action::ShareSuspects(vec![record]));
    }

    /// Requests a slot for a suspect on a backend server from a peer.
    pub(crate) fn request_slot(
        &mut self,
        now: Instant,
        slot: u32,
        backend: u32,
        baseline: f64,
        out: &mut Vec<Action>,
    ) {
        let until = Deadline::after(now, self.cfg.slot_timeout);
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::AwaitingSlot { backend, until };
        entry.as_suspect = true;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for an estimate"
        )]
        let baseline = baseline as f32;
        entry.baseline = baseline;
        let b = &mut self.backends[backend as usize];
        b.add_own(now);
        b.suspects += 1;
        if let Some(names) = &self.names {
            out.push(Action::RequestSlot {
                id: entry.request.id,
                fingerprint: entry.request.fingerprint,
                backend: names.backend_id(backend).clone(),
            });
        }
    }

    pub(crate) fn slot_reply(
        &mut self,
        now: Instant,
        id: RequestId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Phase::AwaitingSlot { backend, .. } = entry.phase else {
            return;
        };
        let baseline = f64::from(entry.baseline);
        let confirmed = self.suspect_state(&entry.request, now) == Some(SuspectState::Confirmed);
        self.release(now, slot, false);
        let usable = self
            .backends
            .get(backend as usize)
            .is_some_and(|b| !self.cfg.liveness || b.takes_work(now));
        if confirmed {
            self.refuse(slot, Code::CrashingRequest, None, out);
        } else if granted && usable {
            self.backends[backend as usize].suspects += 1;
            let estimate = Estimate {
                baseline,
                ..Estimate::default()
            };
            self.dispatch(now, slot, backend, estimate, out);
        } else {
            self.slot_denied(now, slot, out);
        }
    }

    /// Queues a suspect again after its slot was denied, or refuses it after [`MAX_DENIALS`]
    /// denials.
    fn slot_denied(&mut self, now: Instant, slot: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.as_suspect = false;
        entry.denials += 1;
        entry.not_before = Deadline::after(now, SLOT_RETRY_INTERVAL);
        if entry.denials >= MAX_DENIALS {
            self.refuse(slot, Code::SuspectNotAdmitted, None, out);
        } else {
            self.enqueue(now, slot, out);
        }
    }
}
