//! Admission of requests that contain suspects which the evidence blocks.

use types::{Code, Instant};

use crate::{
    crash::suspect::{BlockedSuspect, Suspect, Verdict},
    crash::trial::TrialState,
    event::RoutingRequest,
    requests::RequestEntry,
    router::Router,
};

/// Maximum number of parts of one prompt that are considered.
const MAX_PARTS: usize = 32;

/// Whether a queued request may be sent in spite of the suspects that it contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspectAdmission {
    Admitted,
    /// A trial must be requested once a server can take the request.
    NeedsTrial(Suspect),
    /// A trial has been requested.
    AwaitsTrial,
    Refused(Code),
}

impl Router {
    /// Returns what may crash the server that runs a request.
    pub(crate) fn suspects_of(
        &self,
        request: &RoutingRequest,
    ) -> impl Iterator<Item = Suspect> + use<> {
        // With suspect slots, whole requests are tracked by their suspect records.
        let whole = (!self.cfg.suspect_slots).then_some(Suspect::Request(request.fingerprint));
        let parts = request.options.parts.iter().take(MAX_PARTS);
        let parts: Vec<Suspect> = parts.map(|part| Suspect::Part(*part)).collect();
        parts.into_iter().chain(whole)
    }

    /// Returns the suspects that this host blocks.
    #[must_use]
    pub fn blocked_suspects(&self, now: Instant) -> Vec<BlockedSuspect> {
        self.evidence.blocked(now)
    }

    /// Returns the blocked suspect of a request with the strictest verdict.
    #[must_use]
    pub fn blocked_suspect(&self, request: &RoutingRequest) -> Option<(Suspect, Verdict)> {
        strictest(&self.blocked_suspects_of(request))
    }

    fn blocked_suspects_of(&self, request: &RoutingRequest) -> Vec<(Suspect, Verdict)> {
        if self.evidence.is_empty() || !self.cfg.suspects {
            return Vec::new();
        }
        let blocked = self
            .suspects_of(request)
            .filter_map(|s| Some((s, self.evidence.verdict(s)?)));
        blocked.collect()
    }

    /// Returns the code with which an arriving request is refused because of a blocked suspect.
    pub(crate) fn suspect_refusal(
        &mut self,
        now: Instant,
        request: &RoutingRequest,
    ) -> Option<Code> {
        let blocked = self.blocked_suspects_of(request);
        let (suspect, verdict) = strictest(&blocked)?;
        let suspects: Vec<Suspect> = blocked.iter().map(|(s, _)| *s).collect();
        let ttl = self.cfg.confirmed_ttl;
        self.evidence.record_request(now, ttl, &suspects);
        let tried = self.evidence.tried_suspect(now, &suspects);
        if tried.is_some_and(|tried| self.evidence.is_trial_due(now, tried)) {
            return None;
        }
        Some(refusal_code(suspect, verdict))
    }

    /// Decides whether a queued request may be sent.
    pub(crate) fn suspect_admission(&self, now: Instant, entry: &RequestEntry) -> SuspectAdmission {
        let blocked = self.blocked_suspects_of(&entry.request);
        let Some((strictest, verdict)) = strictest(&blocked) else {
            return self.copy_admission(now, entry);
        };
        let refused = SuspectAdmission::Refused(refusal_code(strictest, verdict));
        let suspects: Vec<Suspect> = blocked.iter().map(|(s, _)| *s).collect();
        let Some(tried) = self.evidence.tried_suspect(now, &suspects) else {
            return refused;
        };
        match entry.trial {
            Some(TrialState::Granted { suspect, until })
                if suspect == tried && !until.is_past(now) =>
            {
                SuspectAdmission::Admitted
            }
            Some(TrialState::Requested { suspect, .. }) if suspect == tried => {
                SuspectAdmission::AwaitsTrial
            }
            _ if self.evidence.is_trial_due(now, tried) => SuspectAdmission::NeedsTrial(tried),
            _ => refused,
        }
    }

    /// Decides whether a queued request may be sent that may be the cause of a crash, but is not blocked.
    fn copy_admission(&self, now: Instant, entry: &RequestEntry) -> SuspectAdmission {
        let request = Suspect::Request(entry.request.fingerprint);
        if self.cfg.suspect_slots
            || !self.evidence.needs_trial(request)
            || self.is_resent_at_once(now, entry)
        {
            return SuspectAdmission::Admitted;
        }
        match entry.trial {
            Some(TrialState::Granted { suspect, until })
                if suspect == request && !until.is_past(now) =>
            {
                SuspectAdmission::Admitted
            }
            Some(TrialState::Requested { suspect, .. }) if suspect == request => {
                SuspectAdmission::AwaitsTrial
            }
            _ if self.evidence.is_copy_trial_due(now, request) => {
                SuspectAdmission::NeedsTrial(request)
            }
            _ => SuspectAdmission::AwaitsTrial,
        }
    }

    /// Returns whether this host sends a request again right after a crash, and has no copy of it.
    fn is_resent_at_once(&self, now: Instant, entry: &RequestEntry) -> bool {
        let request = Suspect::Request(entry.request.fingerprint);
        let is_copy = |other: &RequestEntry| {
            other.request.fingerprint == entry.request.fingerprint
                && other.request.id != entry.request.id
        };
        entry.attempts > 0
            && self.evidence.crashed_lately(now, request)
            && !self.requests.iter().any(|(_, other)| is_copy(other))
    }
}

/// Returns the blocked suspect with the strictest verdict.
fn strictest(blocked: &[(Suspect, Verdict)]) -> Option<(Suspect, Verdict)> {
    blocked.iter().copied().max_by_key(|(_, verdict)| *verdict)
}

fn refusal_code(suspect: Suspect, verdict: Verdict) -> Code {
    match (suspect, verdict) {
        (_, Verdict::Suspected) => Code::SuspectNotAdmitted,
        (Suspect::Part(_), Verdict::Confirmed) => Code::CrashingPart,
        (Suspect::Request(_), Verdict::Confirmed) => Code::CrashingRequest,
    }
}
