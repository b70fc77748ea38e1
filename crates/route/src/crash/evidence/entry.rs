//! Evidence against one suspect.

use types::{BackendId, Deadline, Incarnation, Instant};

use crate::crash::{
    evidence::trials::PRECEDENCE_TIME,
    suspect::{CrashReport, Suspect, Verdict, VerdictCause},
};

/// Number of crashes after which a part of prompts is blocked.
pub(super) const MAX_PART_CRASHES: usize = 3;

/// Number of crashes after which a whole request is blocked; an error affects only its own resends.
pub(super) const MAX_REQUEST_CRASHES: usize = 2;

/// Maximum number of crashes kept for one suspect.
const MAX_CRASHES: usize = 16;

/// Crash of an incarnation of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) backend: BackendId,
    pub(super) incarnation: Incarnation,
    pub(super) at: Instant,
}

impl Crash {
    /// Returns whether both are the same crash; hosts may disagree on its time.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.backend == other.backend && self.incarnation == other.incarnation
    }
}

/// Inserts a crash into a list sorted by time, and drops the oldest crash if the list is too long.
///
/// Returns whether the crash was not in the list.
pub(super) fn insert_crash(crashes: &mut Vec<Crash>, crash: &Crash, max: usize) -> bool {
    if crashes.iter().any(|c| c.is_same(crash)) {
        return false;
    }
    let at = crashes.partition_point(|c| c.at <= crash.at);
    crashes.insert(at, crash.clone());
    if crashes.len() > max {
        crashes.remove(0);
    }
    true
}

/// Change of the verdict on a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct VerdictChange {
    pub suspect: Suspect,
    /// `None` if the suspect was cleared.
    pub verdict: Option<Verdict>,
    /// Number of crashes that this host counts against the suspect.
    pub crashes: usize,
    pub cause: VerdictCause,
}

/// Suspect with the evidence against it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) suspect: Suspect,
    /// Crashes since the last response, oldest first.
    pub(super) crashes: Vec<Crash>,
    /// Time of the last crash that any host has reported.
    pub(super) last_crash: Instant,
    /// Time of the last response to a request with the suspect.
    pub(super) answered_at: Option<Instant>,
    pub(super) verdict: Option<Verdict>,
    /// Time since which the suspect is blocked.
    pub(super) blocked_since: Instant,
    /// Time of the last request with which a trial was possible.
    pub(super) last_candidate: Option<Instant>,
    /// Smallest number of blocked suspects of a recent request that contains this one, and the time of that request.
    fewest_blocked: Option<(usize, Instant)>,
    /// Number of trials that were granted to this host.
    pub(super) trials: u8,
    /// Time from which this host may request a trial again.
    pub(super) next_trial_request: Deadline,
    /// Time at which the entry is removed; each crash and each refusal extends it.
    pub(super) until: Deadline,
}

impl Entry {
    /// Creates an entry without evidence.
    pub(super) fn new(suspect: Suspect, now: Instant, until: Deadline) -> Self {
        Self {
            suspect,
            crashes: Vec::new(),
            last_crash: Instant::ZERO,
            answered_at: None,
            verdict: None,
            blocked_since: now,
            last_candidate: None,
            fewest_blocked: None,
            trials: 0,
            next_trial_request: Deadline::at(now),
            until,
        }
    }

    pub(super) fn is_part(&self) -> bool {
        matches!(self.suspect, Suspect::Part(_))
    }

    /// Returns whether trials may still decide about the suspect.
    pub(super) fn allows_trials(&self) -> bool {
        self.is_part() && self.verdict == Some(Verdict::Suspected)
    }

    /// Returns whether this is a request that was in flight at a crash, without a response since, and is not
    /// blocked.
    pub(super) fn needs_trial(&self) -> bool {
        let is_unanswered = |crash: &Crash| !self.is_answered(crash.at);
        !self.is_part() && self.verdict.is_none() && self.crashes.iter().any(is_unanswered)
    }

    /// Returns whether the suspect is blocked and may be cleared without a response.
    ///
    /// A confirmed part stays blocked. A request is confirmed without a trial and may be cleared.
    pub(super) fn is_clearable(&self) -> bool {
        match self.suspect {
            Suspect::Part(_) => self.verdict == Some(Verdict::Suspected),
            Suspect::Request(_) => self.verdict.is_some(),
        }
    }

    /// Records the number of blocked suspects of a request that contains this one.
    pub(super) fn record_blocked_count(&mut self, now: Instant, suspects: usize) {
        if !self.had_fewer_blocked(now, suspects) {
            self.fewest_blocked = Some((suspects, now));
        }
    }

    /// Returns whether a recent request with the suspect had fewer blocked suspects.
    pub(super) fn had_fewer_blocked(&self, now: Instant, suspects: usize) -> bool {
        self.fewest_blocked
            .is_some_and(|(smallest, at)| smallest < suspects && now.since(at) < PRECEDENCE_TIME)
    }

    /// Returns the number of crashes after which the suspect is blocked.
    pub(super) fn max_crashes(&self) -> usize {
        match self.suspect {
            Suspect::Part(_) => MAX_PART_CRASHES,
            Suspect::Request(_) => MAX_REQUEST_CRASHES,
        }
    }

    /// Returns whether a response followed a time.
    pub(super) fn is_answered(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    /// Returns whether the crash of a report is recorded.
    pub(super) fn is_reported(&self, report: &CrashReport) -> bool {
        let is_same =
            |c: &Crash| c.backend == report.backend && c.incarnation == report.incarnation;
        self.crashes.iter().any(is_same)
    }

    /// Adds a crash, unless a response followed it. Returns whether the crash is new.
    pub(super) fn add_crash(&mut self, crash: &Crash) -> bool {
        if self.is_answered(crash.at) || !insert_crash(&mut self.crashes, crash, MAX_CRASHES) {
            return false;
        }
        self.last_crash = self.last_crash.max(crash.at);
        true
    }

    /// Records a response at a time, and clears the suspect if too few crashes followed it.
    pub(super) fn add_response(&mut self, at: Instant) -> Option<VerdictChange> {
        self.answered_at = self.answered_at.max(Some(at));
        let had_crashes = !self.crashes.is_empty();
        self.crashes.retain(|c| c.at > at);
        self.verdict?;
        // A host that received the verdict from others does not know the crashes behind it.
        let is_cleared = if had_crashes {
            self.crashes.len() < self.max_crashes()
        } else {
            at >= self.last_crash
        };
        is_cleared.then(|| self.clear(VerdictCause::Response))
    }

    /// Blocks a suspect that was not blocked.
    pub(super) fn block(&mut self, now: Instant) -> VerdictChange {
        self.blocked_since = now;
        let verdict = match self.suspect {
            Suspect::Part(_) => Verdict::Suspected,
            // Only resends of the same request contain it, so it needs no trial.
            Suspect::Request(_) => Verdict::Confirmed,
        };
        self.set_verdict(Some(verdict), VerdictCause::Crashes)
    }

    /// Excludes the suspect from further trials.
    pub(super) fn confirm(&mut self, cause: VerdictCause) -> VerdictChange {
        self.set_verdict(Some(Verdict::Confirmed), cause)
    }

    /// Clears a suspect whose crashes have another cause.
    ///
    /// Reports of other hosts that still block it for these crashes have no effect.
    pub(super) fn clear_with_other_cause(&mut self) -> VerdictChange {
        self.answered_at = self.answered_at.max(Some(self.last_crash));
        self.clear(VerdictCause::OtherSuspect)
    }

    fn clear(&mut self, cause: VerdictCause) -> VerdictChange {
        self.trials = 0;
        self.set_verdict(None, cause)
    }

    pub(super) fn set_verdict(
        &mut self,
        verdict: Option<Verdict>,
        cause: VerdictCause,
    ) -> VerdictChange {
        self.verdict = verdict;
        VerdictChange {
            suspect: self.suspect,
            verdict,
            crashes: self.crashes.len(),
            cause,
        }
    }
}
