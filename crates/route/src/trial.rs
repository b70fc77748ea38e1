//! Use of the evidence of crashes: what is kept from the backend servers, and trials of it.

use types::{BackendId, Code, Deadline, Incarnation, Instant, Micros, RequestId};

use crate::{
    event::{
        Action, BlockedSuspect, CrashReport, CrashUpdate, ResponseReport, RoutingRequest, Suspect,
        TrialReply, Verdict,
    },
    evidence::Change,
    requests::{Phase, RequestEntry},
    router::{Router, Scope},
};

/// Time for which a response must go on to show that its request does not crash the server.
const PROOF_TIME: Micros = Micros::from_secs(1);

/// Time after which an abandoned request does not count as in flight any more, as servers cancel it.
const ABANDONED_SUSPECT_TIME: Micros = Micros::from_secs(1);

/// Maximum number of suspects that a host reports of one crash.
const MAX_REPORTED_SUSPECTS: usize = 48;

/// Time from the request for a trial for which it is valid. A host that is delayed meanwhile must not act
/// on it, as others may have been granted trials since.
const TRIAL_VALIDITY: Micros = Micros::from_secs(1);

/// Maximum number of parts of one prompt that are looked at.
const MAX_PARTS: usize = 32;

/// Trial of a blocked suspect with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trial {
    /// Permission was asked for at a time.
    Asked(Suspect, Instant),
    /// The request may be sent in spite of the suspect, until a time.
    Granted(Suspect, Deadline),
}

/// Whether a request may be sent as far as suspects are concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspectAdmission {
    Admitted,
    /// A trial is needed, once a server can take the request.
    NeedsTrial(Suspect),
    /// A trial has been asked for.
    Waits,
    Refused(Code),
}

/// Returns whether a response has gone on for so long that its request is no suspect.
pub(crate) fn is_proven(responds_since: Option<Instant>, now: Instant) -> bool {
    responds_since.is_some_and(|since| now.since(since) >= PROOF_TIME)
}

impl Router {
    /// Returns what may crash the server that runs a request.
    pub(crate) fn suspects_of(
        &self,
        request: &RoutingRequest,
    ) -> impl Iterator<Item = Suspect> + use<> {
        // With slots, whole requests are followed by their records.
        let whole = (!self.cfg.suspect_slots).then_some(Suspect::Request(request.fingerprint));
        let parts = request.options.parts.iter().take(MAX_PARTS);
        let parts: Vec<Suspect> = parts.map(|part| Suspect::Part(*part)).collect();
        parts.into_iter().chain(whole)
    }

    /// Returns a blocked suspect that a request contains, the one with the strictest verdict.
    #[must_use]
    pub fn blocked_suspect(&self, request: &RoutingRequest) -> Option<(Suspect, Verdict)> {
        if self.evidence.is_empty() || !self.cfg.suspects {
            return None;
        }
        let judged = self
            .suspects_of(request)
            .filter_map(|s| Some((s, self.evidence.verdict(s)?)));
        judged.max_by_key(|(_, verdict)| *verdict)
    }

    /// Returns the code with which a request that arrives is refused for its suspects.
    pub(crate) fn refuses_suspect(
        &mut self,
        now: Instant,
        request: &RoutingRequest,
    ) -> Option<Code> {
        let (suspect, verdict) = self.blocked_suspect(request)?;
        let has_one = self.has_one_suspect(request);
        let ttl = self.cfg.confirmed_ttl;
        self.evidence.record_request(now, ttl, suspect, has_one);
        if has_one && self.evidence.is_trial_due(now, suspect) {
            return None;
        }
        Some(refusal_code(suspect, verdict))
    }

    /// Returns whether only one part of a request is blocked, so that a trial tells which one crashes
    /// servers.
    fn has_one_suspect(&self, request: &RoutingRequest) -> bool {
        let blocked = |s: &Suspect| self.evidence.verdict(*s).is_some();
        self.suspects_of(request).filter(blocked).count() == 1
    }

    /// Decides whether a queued request may be sent.
    pub(crate) fn admit_suspects(&self, now: Instant, entry: &RequestEntry) -> SuspectAdmission {
        let Some((suspect, verdict)) = self.blocked_suspect(&entry.request) else {
            return SuspectAdmission::Admitted;
        };
        let has_one = self.has_one_suspect(&entry.request);
        match entry.trial {
            Some(Trial::Granted(granted, until))
                if granted == suspect && has_one && !until.is_past(now) =>
            {
                return SuspectAdmission::Admitted;
            }
            Some(Trial::Asked(asked, _)) if asked == suspect && has_one => {
                return SuspectAdmission::Waits;
            }
            _ => {}
        }
        if has_one && self.evidence.is_trial_due(now, suspect) {
            return SuspectAdmission::NeedsTrial(suspect);
        }
        SuspectAdmission::Refused(refusal_code(suspect, verdict))
    }

    /// Asks for a trial of a suspect with a queued request.
    pub(crate) fn request_trial(
        &mut self,
        now: Instant,
        slot: u32,
        suspect: Suspect,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.trial = Some(Trial::Asked(suspect, now));
        let id = entry.request.id;
        self.evidence.trial_asked(now, suspect);
        out.push(Action::RequestTrial { id, suspect });
    }

    pub(crate) fn trial_reply(
        &mut self,
        now: Instant,
        id: RequestId,
        suspect: Suspect,
        reply: TrialReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            TrialReply::Granted => self.evidence.trial_granted(suspect),
            TrialReply::Denied => {}
            TrialReply::Exhausted => {
                let changes = self.evidence.trials_exhausted(suspect);
                self.share_changes(now, CrashUpdate::default(), changes, out);
            }
        }
        let slot = self.requests.find(id);
        if let Some(entry) = slot.and_then(|slot| self.requests.get_mut(slot))
            && let Some(Trial::Asked(asked, at)) = entry.trial
            && asked == suspect
        {
            let until = Deadline::after(at, TRIAL_VALIDITY);
            entry.trial = (reply == TrialReply::Granted).then_some(Trial::Granted(suspect, until));
        }
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Records a crash with everything that this host had in flight at the server.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        backend: (u32, BackendId),
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        let (index, backend) = backend;
        let mut suspects = self.suspects_at(now, index, incarnation);
        suspects.sort_unstable();
        suspects.dedup();
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        let report = CrashReport {
            backend,
            incarnation,
            age: Micros::ZERO,
            suspects,
        };
        if report.suspects.is_empty() || !self.evidence.is_news(&report) {
            return;
        }
        self.counts.crashes += 1;
        let changes = self
            .evidence
            .record_crash(now, self.cfg.confirmed_ttl, &report);
        let update = CrashUpdate {
            crashes: vec![report],
            ..CrashUpdate::default()
        };
        self.share_changes(now, update, changes, out);
    }

    /// Returns what this host has in flight at an incarnation of a server, without what is proven not to
    /// crash it.
    fn suspects_at(&self, now: Instant, backend: u32, incarnation: Incarnation) -> Vec<Suspect> {
        let is_there = |phase: Phase| phase.runs_on(backend, incarnation);
        let in_flight = |entry: &RequestEntry| {
            let current = is_there(entry.phase) && !is_proven(entry.responds_since, now);
            let held = entry
                .held
                .is_some_and(|held| is_there(held.phase) && !is_proven(held.responds_since, now));
            current || held
        };
        let running = self.requests.iter().filter(|(_, entry)| in_flight(entry));
        let mut suspects: Vec<Suspect> = running
            .flat_map(|(_, entry)| self.suspects_of(&entry.request))
            .collect();
        let abandoned = self.abandoned.iter().filter(|d| {
            d.backend == backend
                && d.incarnation.is_none_or(|l| l == incarnation)
                && now.since(d.at) < ABANDONED_SUSPECT_TIME
        });
        suspects.extend(abandoned.flat_map(|d| d.suspects.iter().copied()));
        suspects
    }

    /// Records that a request was answered, or that its response has gone on for long enough.
    pub(crate) fn record_response(
        &mut self,
        now: Instant,
        request: &RoutingRequest,
        out: &mut Vec<Action>,
    ) {
        if self.evidence.is_empty() || !self.cfg.suspects {
            return;
        }
        let mut update = CrashUpdate::default();
        let mut changes = Vec::new();
        for suspect in self.suspects_of(request) {
            if self.evidence.awaits_response(suspect) {
                changes.extend(self.evidence.record_response(now, suspect, now));
                update.responses.push(ResponseReport {
                    suspect,
                    age: Micros::ZERO,
                });
            }
        }
        if !update.is_empty() {
            self.share_changes(now, update, changes, out);
        }
    }

    /// Records the responses that go on and show by that that their requests crash no server.
    pub(crate) fn record_progress(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.evidence.is_empty() {
            return;
        }
        let awaits = |entry: &RequestEntry| {
            let mut suspects = self.suspects_of(&entry.request);
            is_proven(entry.responds_since, now)
                && suspects.any(|s| self.evidence.awaits_response(s))
        };
        let proven = self.requests.iter().filter(|(_, entry)| awaits(entry));
        let proven: Vec<RoutingRequest> = proven.map(|(_, e)| e.request.clone()).collect();
        for request in proven {
            self.record_response(now, &request, out);
        }
    }

    /// Applies what a peer knows of crashes.
    pub(crate) fn apply_crash_update(
        &mut self,
        now: Instant,
        update: &CrashUpdate,
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        let ttl = self.cfg.confirmed_ttl;
        let mut changes = Vec::new();
        for report in &update.crashes {
            changes.extend(self.evidence.record_crash(now, ttl, report));
        }
        for response in &update.responses {
            let at = now.as_micros().saturating_sub(response.age.get());
            let at = Instant::from_micros(at);
            changes.extend(self.evidence.record_response(now, response.suspect, at));
        }
        for blocked in &update.blocked {
            changes.extend(self.evidence.apply_blocked(now, ttl, blocked));
        }
        if !changes.is_empty() {
            self.log_changes(changes, out);
            self.dispatch_queued(now, Scope::All, out);
        }
    }

    /// Returns the suspects that this host keeps from the backend servers.
    #[must_use]
    pub fn blocked_suspects(&self, now: Instant) -> Vec<BlockedSuspect> {
        self.evidence.blocked(now)
    }

    /// Shares what this host has learned, with the judgements that follow from it.
    fn share_changes(
        &mut self,
        now: Instant,
        update: CrashUpdate,
        changes: impl IntoIterator<Item = Change>,
        out: &mut Vec<Action>,
    ) {
        let changes: Vec<Change> = changes.into_iter().collect();
        let blocked = self.evidence.blocked(now);
        let is_changed = |b: &BlockedSuspect| changes.iter().any(|c| c.suspect == b.suspect);
        let update = CrashUpdate {
            blocked: blocked.into_iter().filter(is_changed).collect(),
            ..update
        };
        if !update.is_empty() {
            out.push(Action::ShareCrashes(update));
        }
        self.log_changes(changes, out);
    }

    fn log_changes(&mut self, changes: Vec<Change>, out: &mut Vec<Action>) {
        for change in changes {
            if change.verdict.is_some() {
                self.counts.blocked += 1;
            } else {
                self.counts.unblocked += 1;
            }
            out.push(Action::LogVerdict {
                suspect: change.suspect,
                verdict: change.verdict,
                crashes: change.crashes,
            });
        }
    }
}

fn refusal_code(suspect: Suspect, verdict: Verdict) -> Code {
    match (suspect, verdict) {
        (_, Verdict::Suspected) => Code::SuspectNotAdmitted,
        (Suspect::Part(_), Verdict::Confirmed) => Code::CrashingPart,
        (Suspect::Request(_), Verdict::Confirmed) => Code::CrashingRequest,
    }
}
