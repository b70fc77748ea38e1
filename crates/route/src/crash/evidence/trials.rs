//! Conditions for trials of blocked suspects.

use types::{Deadline, Instant, Micros};

use crate::{
    crash::evidence::{Evidence, VerdictChange, entry::Entry},
    crash::suspect::{Suspect, TrialRequest, Verdict, VerdictCause},
};

/// Number of trials of a blocked suspect over all hosts.
///
/// Two of them confirm a part that crashes servers. The third one is for a harmless part whose trial
/// shared its server with another cause.
pub const MAX_TRIALS: u8 = 3;

/// Time from the last crash of any server to a trial. A response that is on its way can clear the suspect
/// meanwhile, and a trial among other crashes shows little.
const TRIAL_DELAY: Micros = Micros::from_secs(1);

/// Time from the last request that allows a trial of a suspect for which its trials precede those of
/// others, and requests with fewer blocked suspects precede those with more.
pub(super) const PRECEDENCE_TIME: Micros = Micros::from_secs(3);

/// Maximum time from the blocking of a suspect for which its trials wait for those of others.
const MAX_PRECEDENCE_WAIT: Micros = Micros::from_secs(4);

/// Time after which this host requests a trial of the same suspect again.
const TRIAL_REQUEST_INTERVAL: Micros = Micros::from_millis(250);

/// Time from a crash for which a host sends a request that was in flight there again without a trial. A trial
/// takes a round trip to other hosts, and most requests are harmless.
const IMMEDIATE_RESEND_TIME: Micros = Micros::from_secs(1);

impl Evidence {
    /// Extends the retention of the blocked suspects of a request that arrived.
    pub(crate) fn record_request(&mut self, now: Instant, ttl: Micros, suspects: &[Suspect]) {
        for suspect in suspects {
            if let Some(entry) = self.get_mut(*suspect) {
                entry.until = Deadline::after(now, ttl);
                entry.record_blocked_count(now, suspects.len());
            }
        }
        if self.tried_suspect(now, suspects).is_some() {
            for suspect in suspects {
                if let Some(entry) = self.get_mut(*suspect) {
                    entry.last_candidate = Some(now);
                }
            }
        }
    }

    /// Returns the suspect of which a request with these blocked suspects may be a trial, the one with the most
    /// crashes. `None` if requests with fewer of them come, whose trials tell more: a response to such a
    /// request clears its suspects, and those that are left can be tried alone.
    pub(crate) fn tried_suspect(&self, now: Instant, suspects: &[Suspect]) -> Option<Suspect> {
        let entries: Vec<&Entry> = suspects.iter().filter_map(|s| self.get(*s)).collect();
        let may_be_tried = entries
            .iter()
            .all(|e| e.allows_trials() && !e.had_fewer_blocked(now, suspects.len()));
        let tried = entries.iter().max_by_key(|e| (e.crashes.len(), e.suspect));
        tried.filter(|_| may_be_tried).map(|e| e.suspect)
    }

    /// Returns whether a trial of a blocked suspect may be requested now.
    pub(crate) fn is_trial_due(&self, now: Instant, suspect: Suspect) -> bool {
        let Some(entry) = self.get(suspect) else {
            return false;
        };
        let is_long_ago = |crash: Instant| now.since(crash) >= TRIAL_DELAY;
        entry.allows_trials()
            && entry.trials < MAX_TRIALS
            && entry.next_trial_request.is_past(now)
            && is_long_ago(entry.last_crash)
            && self.recent.last().is_none_or(|c| is_long_ago(c.at))
            && !self.is_preceded(now, entry)
    }

    /// Returns whether another suspect must be tried before this one.
    ///
    /// The suspects with the most crashes come first, since their trials may crash the servers on which
    /// others are tried. The others wait for a limited time, as these trials may take many seconds.
    fn is_preceded(&self, now: Instant, entry: &Entry) -> bool {
        if now.since(entry.blocked_since) >= MAX_PRECEDENCE_WAIT {
            return false;
        }
        self.entries.iter().any(|other| {
            other.allows_trials()
                && other.crashes.len() > entry.crashes.len()
                && other
                    .last_candidate
                    .is_some_and(|at| now.since(at) < PRECEDENCE_TIME)
        })
    }

    /// Returns whether a request may be sent only as a trial although it is not blocked, as it was in flight at
    /// a crash and nothing was answered since.
    ///
    /// Its copies may all crash servers until a second crash confirms it, so they are sent one at a time.
    pub(crate) fn needs_trial(&self, request: Suspect) -> bool {
        self.get(request).is_some_and(Entry::needs_trial)
    }

    /// Returns whether a trial of a request that is not blocked, but needs one, may be requested now.
    pub(crate) fn is_copy_trial_due(&self, now: Instant, request: Suspect) -> bool {
        self.get(request)
            .is_some_and(|entry| entry.next_trial_request.is_past(now))
    }

    /// Returns whether a suspect was in flight at a crash a short time ago.
    pub(crate) fn crashed_lately(&self, now: Instant, suspect: Suspect) -> bool {
        self.get(suspect)
            .is_some_and(|entry| now.since(entry.last_crash) < IMMEDIATE_RESEND_TIME)
    }

    /// Returns the request for a trial of a suspect.
    pub(crate) fn trial_request(&self, now: Instant, suspect: Suspect) -> TrialRequest {
        let answered_at = self.get(suspect).and_then(|entry| entry.answered_at);
        TrialRequest {
            suspect,
            answered: answered_at.map(|at| now.since(at)),
        }
    }

    /// Records that this host requested a trial of a suspect.
    pub(crate) fn record_trial_request(&mut self, now: Instant, suspect: Suspect) {
        if let Some(entry) = self.get_mut(suspect) {
            entry.next_trial_request = Deadline::after(now, TRIAL_REQUEST_INTERVAL);
        }
    }

    /// Records that this host was granted a trial of a suspect.
    pub(crate) fn record_trial_grant(&mut self, suspect: Suspect) {
        if let Some(entry) = self.get_mut(suspect) {
            entry.trials += 1;
        }
    }

    /// Confirms a suspect that has had all of its trials.
    pub(crate) fn confirm_exhausted(&mut self, suspect: Suspect) -> Option<VerdictChange> {
        let entry = self.get_mut(suspect)?;
        let is_undecided = entry.verdict == Some(Verdict::Suspected) || entry.needs_trial();
        is_undecided.then(|| entry.confirm(VerdictCause::Trials))
    }
}
