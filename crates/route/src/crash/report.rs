//! Collection of evidence of crashes, and its exchange with the other hosts.

use std::cmp::Reverse;

use types::{BackendId, Incarnation, Instant, Micros, RequestId, RetryReason};

use crate::{
    crash::evidence::{VerdictChange, time_of},
    crash::suspect::{BlockedSuspect, CrashReport, CrashUpdate, ResponseReport, Suspect},
    event::{Action, RoutingRequest},
    requests::{AttemptInProgress, Phase, RequestEntry},
    router::{Router, Scope},
};

/// Time after which an abandoned request does not count as in flight any more, as servers cancel it.
const ABANDONED_SUSPECT_TIME: Micros = Micros::from_secs(1);

/// Time by which hosts may disagree on when a server crashed, as each detects the crash by itself.
const DETECTION_TOLERANCE: Micros = Micros::from_millis(500);

/// Maximum time from the break of a connection to the news that its server has ended without notice, for which
/// the end explains the break.
const UNNOTICED_CRASH_TIME: Micros = Micros::from_secs(5);

/// Maximum number of suspects in the report of one crash; the slots of a server limit what is in flight there.
const MAX_REPORTED_SUSPECTS: usize = 1_024;

/// Suspect of a request that is in flight.
struct SuspectInFlight {
    suspect: Suspect,
    /// Time of the last change of its attempt.
    changed_at: Instant,
}

impl Router {
    /// Records and shares a crash with the suspects that this host had in flight at the server.
    ///
    /// `age` is the time since the crash.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        id: &BackendId,
        incarnation: Incarnation,
        age: Micros,
        out: &mut Vec<Action>,
    ) {
        if !self.cfg.suspects {
            return;
        }
        let crashed_at = time_of(now, age);
        let mut suspects = self.suspects_in_flight(crashed_at, &self.indexes_of(id), incarnation);
        let omitted = self.keep_most_suspicious(&mut suspects);
        let mut report = CrashReport {
            backend: id.clone(),
            incarnation,
            age,
            suspects: suspects.into_iter().map(|s| s.suspect).collect(),
        };
        self.evidence.retain_new(&mut report, crashed_at);
        if report.suspects.is_empty() {
            return;
        }
        self.counts.crashes += 1;
        self.counts.omitted_suspects += omitted as u64;
        out.push(Action::LogCrash {
            report: report.clone(),
            omitted,
        });
        let ttl = self.cfg.confirmed_ttl;
        let changes = self.evidence.record_crash(now, ttl, &report);
        let update = CrashUpdate {
            crashes: vec![report],
            ..CrashUpdate::default()
        };
        self.share_changes(now, update, changes, out);
    }

    /// Returns the suspects of the requests that this host had in flight at an incarnation of a server when it
    /// crashed, without those whose response is sustained.
    fn suspects_in_flight(
        &self,
        crashed_at: Instant,
        backends: &[u32],
        incarnation: Incarnation,
    ) -> Vec<SuspectInFlight> {
        let mut suspects = Vec::new();
        let mut add = |suspect, changed_at| {
            suspects.push(SuspectInFlight {
                suspect,
                changed_at,
            });
        };
        for (_, entry) in self.requests.iter() {
            let may_crash = |attempt: &AttemptInProgress| {
                attempt.phase.runs_on(backends, incarnation) && !attempt.response.is_sustained
            };
            let attempts = entry.attempts_in_progress().filter(may_crash);
            if let Some(changed_at) = attempts.map(|a| a.changed_at()).max() {
                self.suspects_of(&entry.request)
                    .for_each(|s| add(s, changed_at));
            }
        }
        let abandoned = self.abandoned.iter().filter(|a| {
            backends.contains(&a.backend)
                && a.incarnation.is_none_or(|sent_to| sent_to == incarnation)
                && crashed_at.since(a.at) < ABANDONED_SUSPECT_TIME
                && a.at.since(crashed_at) < DETECTION_TOLERANCE
        });
        for request in abandoned {
            request.suspects.iter().for_each(|s| add(*s, request.at));
        }
        suspects
    }

    /// Records that the connection of an attempt that has just ended was broken.
    pub(crate) fn record_break(&mut self, phase: Phase, reason: RetryReason) {
        let is_broken = matches!(reason, RetryReason::ConnectionLost | RetryReason::Truncated);
        if let Some(last) = self.abandoned.last_mut()
            && is_broken
            && phase.backend() == Some(last.backend)
        {
            last.is_broken = true;
        }
    }

    /// Records a crash of a server that has ended without notice, if connections to it broke shortly before.
    ///
    /// A server that is back at once, or that cannot be reached, does not refuse the connection that
    /// would show the crash.
    pub(crate) fn record_unnoticed_crash(
        &mut self,
        now: Instant,
        id: &BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let indexes = self.indexes_of(id);
        let broken = self.abandoned.iter().filter(|a| {
            a.is_broken
                && indexes.contains(&a.backend)
                && a.incarnation.is_none_or(|sent_to| sent_to == incarnation)
                && now.since(a.at) < UNNOTICED_CRASH_TIME
        });
        if let Some(crashed_at) = broken.map(|a| a.at).max() {
            self.record_crash(now, id, incarnation, now.since(crashed_at), out);
        }
    }

    /// Removes duplicates, and what exceeds [`MAX_REPORTED_SUSPECTS`]. Returns the number of the latter.
    ///
    /// The suspects of earlier crashes come first, then those whose attempt started or began to be answered
    /// last, as a request crashes its server soon after that.
    fn keep_most_suspicious(&self, suspects: &mut Vec<SuspectInFlight>) -> usize {
        suspects.sort_unstable_by_key(|s| (s.suspect, Reverse(s.changed_at)));
        suspects.dedup_by_key(|s| s.suspect);
        suspects.sort_by_cached_key(|s| {
            let crashes = self.evidence.crashes(s.suspect);
            (Reverse(crashes), Reverse(s.changed_at))
        });
        let omitted = suspects.len().saturating_sub(MAX_REPORTED_SUSPECTS);
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        omitted
    }

    /// Returns the suspects of a request against which a response would remove crashes.
    #[must_use]
    pub fn awaited_suspects(&self, request: &RoutingRequest) -> Vec<Suspect> {
        if self.evidence.is_empty() || !self.cfg.suspects {
            return Vec::new();
        }
        let mut suspects: Vec<Suspect> = self.suspects_of(request).collect();
        suspects.retain(|s| self.evidence.awaits_response(*s));
        suspects
    }

    /// Records and shares that a response to a request was completed or is sustained.
    pub(crate) fn record_response(
        &mut self,
        now: Instant,
        request: &RoutingRequest,
        out: &mut Vec<Action>,
    ) {
        let mut update = CrashUpdate::default();
        let mut changes = Vec::new();
        for suspect in self.awaited_suspects(request) {
            let age = Micros::ZERO;
            changes.extend(self.evidence.record_response(now, suspect, age));
            update.responses.push(ResponseReport { suspect, age });
        }
        if !update.is_empty() {
            self.share_changes(now, update, changes, out);
        }
    }

    /// Records that a response is sustained.
    pub(crate) fn sustained(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let slot = self.requests.find(id);
        let Some(entry) = slot.and_then(|slot| self.requests.get_mut(slot)) else {
            return;
        };
        entry.response.is_sustained = true;
        let request = entry.request.clone();
        self.record_response(now, &request, out);
    }

    /// Records and shares the responses that are sustained and concern a suspect.
    pub(crate) fn record_sustained_responses(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.evidence.is_empty() {
            return;
        }
        let awaits = |entry: &RequestEntry| {
            let mut suspects = self.suspects_of(&entry.request);
            entry.response.is_sustained && suspects.any(|s| self.evidence.awaits_response(s))
        };
        let sustained = self.requests.iter().filter(|(_, entry)| awaits(entry));
        let requests: Vec<RoutingRequest> = sustained.map(|(_, e)| e.request.clone()).collect();
        for request in requests {
            self.record_response(now, &request, out);
        }
    }

    /// Applies what a peer learned of crashes.
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
            let CrashReport {
                backend,
                incarnation,
                age,
                ..
            } = report;
            self.record_crash(now, backend, *incarnation, *age, out);
        }
        for response in &update.responses {
            let ResponseReport { suspect, age } = *response;
            changes.extend(self.evidence.record_response(now, suspect, age));
        }
        for blocked in &update.blocked {
            changes.extend(self.evidence.apply_blocked(now, ttl, blocked));
        }
        if !changes.is_empty() {
            self.log_changes(changes, out);
            self.dispatch_queued(now, Scope::All, out);
        }
    }

    /// Shares what this host learned of crashes, with the suspects that it blocks since, and logs the
    /// changed verdicts.
    pub(crate) fn share_changes(
        &mut self,
        now: Instant,
        update: CrashUpdate,
        changes: impl IntoIterator<Item = VerdictChange>,
        out: &mut Vec<Action>,
    ) {
        let changes: Vec<VerdictChange> = changes.into_iter().collect();
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

    /// Counts and logs the changed verdicts.
    fn log_changes(&mut self, changes: Vec<VerdictChange>, out: &mut Vec<Action>) {
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
                cause: change.cause,
            });
        }
    }
}
