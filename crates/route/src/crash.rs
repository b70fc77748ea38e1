//! Crashes of backend servers, suspects and convictions.

use types::{BackendId, Code, Deadline, Incarnation, Instant, Micros, RequestId};

use crate::{
    choose::Estimate,
    event::{Action, Fingerprint, RoutingRequest, SuspectRecord, SuspectState},
    flight::{Flight, Phase},
    router::{Router, Scope},
};

/// Time before a suspect asks again after its question was denied.
const ASK_AGAIN: Micros = Micros::from_millis(50);
/// Denied questions after which a suspect is refused.
const MAX_DENIALS: u8 = 8;

impl Router {
    /// Returns the state of a request's fingerprint.
    pub(crate) fn suspicion(&self, ticket: &RoutingRequest, now: Instant) -> Option<SuspectState> {
        if self.cfg.suspects {
            self.suspects.state(ticket.fingerprint, now)
        } else {
            None
        }
    }

    /// Tells whether another request with the same fingerprint is out.
    pub(crate) fn suspect_runs(&self, slot: u32) -> bool {
        let Some(flight) = self.flights.get(slot) else {
            return false;
        };
        let fingerprint = flight.ticket.fingerprint;
        self.flights.iter().any(|(other, f)| {
            other != slot && f.ticket.fingerprint == fingerprint && f.phase != Phase::Queued
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
        if b.ended == Some(incarnation) && b.incarnation != Some(incarnation) {
            // The server has restarted since; only the requests of the old life are concerned.
            self.mark(now, backend, incarnation, out);
            return;
        }
        b.incarnation = Some(incarnation);
        b.ended = Some(incarnation);
        b.prefixes.clear();
        self.set_dead(backend);
        self.set_residents(backend, Vec::new(), Vec::new());
        self.mark(now, backend, incarnation, out);
        self.pump(now, Scope::All, out);
    }

    /// Takes the failure of a request as news of the crash.
    pub(crate) fn crash_seen(&mut self, now: Instant, slot: u32, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(slot) else {
            return;
        };
        let Phase::Running {
            backend,
            incarnation,
        } = flight.phase
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
        let known = self.suspects.get(flight.ticket.fingerprint);
        let marked = known.is_some_and(|m| m.backend == id && m.incarnation == incarnation);
        if !marked {
            self.crashed(now, &id, incarnation, out);
        }
    }

    /// Marks the requests that were in flight, and shares the marks.
    ///
    /// A request that was in flight at an earlier crash as well is the cause if it ran as a suspect
    /// or is the only such request; the others are innocent.
    fn mark(
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
        let ran = self.ran_on(backend, incarnation);
        let causes = self.causes(&ran, &id, incarnation);
        self.counts.confirmed += causes.len() as u64;
        let fresh = |r: &&(Fingerprint, bool)| self.suspects.state(r.0, now).is_none();
        let marked: Vec<(Fingerprint, SuspectState)> = if causes.is_empty() {
            let unknown = ran.iter().filter(fresh);
            unknown.map(|r| (r.0, SuspectState::Suspected)).collect()
        } else {
            let convicted = causes.iter();
            convicted.map(|f| (*f, SuspectState::Confirmed)).collect()
        };
        let mark = |(fingerprint, state)| SuspectRecord {
            fingerprint,
            state,
            backend: id.clone(),
            incarnation,
        };
        let marks: Vec<SuspectRecord> = marked.into_iter().map(mark).collect();
        if causes.is_empty() {
            self.counts.suspected += marks.len() as u64;
        }
        self.note_marks(now, &marks);
        if !marks.is_empty() {
            out.push(Action::ShareSuspects(marks));
        }
    }

    /// Returns the requests that caused this crash, as far as that is known.
    fn causes(
        &self,
        ran: &[(Fingerprint, bool)],
        backend: &BackendId,
        incarnation: Incarnation,
    ) -> Vec<Fingerprint> {
        if self.cfg.suspect_slots {
            return Vec::from_iter(self.cause(ran, backend, incarnation));
        }
        let before =
            |r: &&(Fingerprint, bool)| self.suspects.suspected_before(r.0, backend, incarnation);
        ran.iter().filter(before).map(|r| r.0).collect()
    }

    /// Returns the request that was in flight at this crash and alone at an earlier one.
    ///
    /// A request that was dispatched before the mark of the earlier crash arrived did not run as a
    /// suspect and still counts.
    fn cause(
        &self,
        ran: &[(Fingerprint, bool)],
        backend: &BackendId,
        incarnation: Incarnation,
    ) -> Option<Fingerprint> {
        let before =
            |r: &&(Fingerprint, bool)| self.suspects.suspected_before(r.0, backend, incarnation);
        let mut twice = ran.iter().filter(before);
        let first = twice.next()?;
        let alone = twice.clone().next().is_none();
        let cause = if alone || first.1 {
            Some(first)
        } else {
            twice.find(|r| r.1)
        };
        cause.map(|r| r.0)
    }

    /// Fingerprints that ran in one life of a backend server, each with whether as a suspect.
    fn ran_on(&self, backend: u32, incarnation: Incarnation) -> Vec<(Fingerprint, bool)> {
        let same = |f: &Flight| match f.phase {
            Phase::Running {
                backend: b,
                incarnation: life,
            } => b == backend && life.is_none_or(|l| l == incarnation),
            _ => false,
        };
        let running = self.flights.iter().filter(|(_, f)| same(f));
        let mut ran: Vec<(Fingerprint, bool)> = running
            .map(|(_, f)| (f.ticket.fingerprint, f.as_suspect))
            .collect();
        let departed = self.departed.iter().filter(|d| d.backend == backend);
        ran.extend(departed.map(|d| (d.fingerprint, d.as_suspect)));
        ran.sort_unstable();
        // The greater entry of a fingerprint is the one that ran as a suspect.
        ran.reverse();
        ran.dedup_by_key(|r| r.0);
        ran
    }

    fn note_marks(&mut self, now: Instant, marks: &[SuspectRecord]) {
        for mark in marks {
            let until = Deadline::after(now, self.cfg.confirmed_ttl);
            self.suspects.note(mark.clone(), until);
        }
    }

    pub(crate) fn hear_suspects(
        &mut self,
        now: Instant,
        marks: &[SuspectRecord],
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        self.note_marks(now, marks);
        self.pump(now, Scope::All, out);
    }

    /// Clears a request that completed.
    pub(crate) fn clear_suspect(&mut self, flight: &Flight, backend: u32, out: &mut Vec<Action>) {
        let fingerprint = flight.ticket.fingerprint;
        let Some(mark) = self.suspects.get(fingerprint) else {
            return;
        };
        if mark.state != SuspectState::Suspected || !self.cfg.suspects {
            return;
        }
        let mut mark = mark.clone();
        mark.state = SuspectState::Cleared;
        if let Some(names) = &self.names
            && (backend as usize) < self.backends.len()
        {
            mark.backend = names.backend_id(backend).clone();
        }
        self.suspects.note(mark.clone(), Deadline::NEVER);
        self.counts.cleared += 1;
        out.push(Action::ShareSuspects(vec![mark]));
    }

    /// Asks a peer whether a suspect may run on a backend server.
    pub(crate) fn ask_slot(
        &mut self,
        now: Instant,
        slot: u32,
        backend: u32,
        predicted: f64,
        out: &mut Vec<Action>,
    ) {
        let until = Deadline::after(now, self.cfg.slot_timeout);
        let Some(flight) = self.flights.get_mut(slot) else {
            return;
        };
        flight.phase = Phase::Asking { backend, until };
        flight.as_suspect = true;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for an estimate"
        )]
        let predicted = predicted as f32;
        flight.predicted = predicted;
        let b = &mut self.backends[backend as usize];
        b.add_own(now);
        b.suspects += 1;
        if let Some(names) = &self.names {
            out.push(Action::RequestSlot {
                id: flight.ticket.id,
                fingerprint: flight.ticket.fingerprint,
                backend: names.backend_id(backend).clone(),
            });
        }
    }

    pub(crate) fn slot(
        &mut self,
        now: Instant,
        id: RequestId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.flights.find(id) else {
            return;
        };
        let Some(flight) = self.flights.get(slot) else {
            return;
        };
        let Phase::Asking { backend, .. } = flight.phase else {
            return;
        };
        let predicted = f64::from(flight.predicted);
        let convicted = self.suspicion(&flight.ticket, now) == Some(SuspectState::Confirmed);
        self.release(now, slot, false);
        let usable = self
            .backends
            .get(backend as usize)
            .is_some_and(|b| !self.cfg.liveness || b.takes_work(now));
        if convicted {
            self.refuse(slot, Code::CrashingRequest, None, out);
        } else if granted && usable {
            self.backends[backend as usize].suspects += 1;
            let estimate = Estimate {
                predicted,
                ..Estimate::default()
            };
            self.dispatch(now, slot, backend, estimate, out);
        } else {
            self.deny(now, slot, out);
        }
    }

    /// Puts a suspect without a slot back into the queue, or refuses it after several denials.
    fn deny(&mut self, now: Instant, slot: u32, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(slot) else {
            return;
        };
        flight.as_suspect = false;
        flight.denials += 1;
        flight.not_before = Deadline::after(now, ASK_AGAIN);
        if flight.denials >= MAX_DENIALS {
            self.refuse(slot, Code::SuspectNotAdmitted, None, out);
        } else {
            self.enqueue(now, slot, out);
        }
    }
}
