//! Evidence of what crashes backend servers: the model without suspect slots, see [`crate::crash`].
//!
//! A suspect is a part of prompts, or a whole request, that was in flight at a crash. One that was in
//! flight at several crashes, without a response to any request that contains it since, is blocked. A
//! response clears it. Crashes and responses of all hosts count.

mod attribution;
mod entry;
mod trials;

use types::{Deadline, Instant, Micros};

use self::entry::{Crash, Entry, insert_crash};
use crate::crash::suspect::{BlockedSuspect, CrashReport, Suspect, Verdict, VerdictCause};

pub(crate) use self::entry::VerdictChange;
pub use self::trials::MAX_TRIALS;

/// Time by which hosts may disagree on when a server crashed, as each detects the crash by itself.
const CLOCK_TOLERANCE: Micros = Micros::from_millis(500);

/// Maximum number of suspects, which bounds what a caller can add with invented parts.
const MAX_ENTRIES: usize = 2_048;

/// Maximum number of recent crashes kept to determine at which share of them a part was in flight.
const MAX_RECENT_CRASHES: usize = 128;

/// Suspects, sorted, and the recent crashes.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    entries: Vec<Entry>,
    /// Recent crashes, oldest first.
    recent: Vec<Crash>,
}

impl Evidence {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn verdict(&self, suspect: Suspect) -> Option<Verdict> {
        self.get(suspect)?.verdict
    }

    /// Returns the blocked suspects, to be sent to other hosts.
    pub(crate) fn blocked(&self, now: Instant) -> Vec<BlockedSuspect> {
        let blocked = self.entries.iter().filter_map(|e| {
            Some(BlockedSuspect {
                suspect: e.suspect,
                verdict: e.verdict?,
                age: now.since(e.last_crash),
            })
        });
        blocked.collect()
    }

    /// Returns the number of crashes at which a suspect was in flight since the last response.
    pub(crate) fn crashes(&self, suspect: Suspect) -> usize {
        self.get(suspect).map_or(0, |e| e.crashes.len())
    }

    /// Returns whether a response to a request with the suspect would change anything.
    pub(crate) fn awaits_response(&self, suspect: Suspect) -> bool {
        self.get(suspect)
            .is_some_and(|e| e.verdict.is_some() || !e.crashes.is_empty())
    }

    /// Removes the suspects from a report that are recorded for its crash, or answered since.
    pub(crate) fn retain_new(&self, report: &mut CrashReport, crashed_at: Instant) {
        let mut suspects = std::mem::take(&mut report.suspects);
        suspects.retain(|suspect| {
            let entry = self.get(*suspect);
            entry.is_none_or(|e| !e.is_answered(crashed_at) && !e.is_reported(report))
        });
        report.suspects = suspects;
    }

    /// Adds a crash to the suspects that were in flight. Returns the verdicts that changed.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        ttl: Micros,
        report: &CrashReport,
    ) -> Vec<VerdictChange> {
        let crash = Crash {
            backend: report.backend.clone(),
            incarnation: report.incarnation,
            at: time_of(now, report.age),
        };
        insert_crash(&mut self.recent, &crash, MAX_RECENT_CRASHES);
        let mut is_new = false;
        // Known suspects come first, so that new ones do not displace them.
        let is_known = |s: &&Suspect| self.get(**s).is_some();
        let (known, unknown): (Vec<Suspect>, Vec<Suspect>) =
            report.suspects.iter().partition(is_known);
        for suspect in known.iter().chain(&unknown) {
            let Some(entry) = self.get_or_insert(*suspect, now, ttl) else {
                continue;
            };
            if entry.add_crash(&crash) {
                is_new = true;
                entry.until = Deadline::after(now, ttl);
            }
        }
        if !is_new {
            return Vec::new();
        }
        self.update_verdicts(now)
    }

    /// Records a response to a request with the suspect, `age` ago. Returns the verdicts that changed.
    pub(crate) fn record_response(
        &mut self,
        now: Instant,
        suspect: Suspect,
        age: Micros,
    ) -> Vec<VerdictChange> {
        let Some(entry) = self.get_mut(suspect) else {
            return Vec::new();
        };
        let cleared = entry.add_response(time_of(now, age));
        let mut changes = Vec::from_iter(cleared);
        if !changes.is_empty() {
            // Crashes attributed to the suspect now count against others.
            changes.extend(self.update_verdicts(now));
        }
        changes
    }

    /// Applies that another host blocks a suspect.
    pub(crate) fn apply_blocked(
        &mut self,
        now: Instant,
        ttl: Micros,
        blocked: &BlockedSuspect,
    ) -> Option<VerdictChange> {
        let last_crash = time_of(now, blocked.age);
        let entry = self.get_or_insert(blocked.suspect, now, ttl)?;
        let cleared_until = entry.answered_at.map(|at| at + CLOCK_TOLERANCE);
        if cleared_until.is_some_and(|at| at >= last_crash) {
            return None;
        }
        entry.last_crash = entry.last_crash.max(last_crash);
        if entry.verdict >= Some(blocked.verdict) {
            return None;
        }
        entry.until = Deadline::after(now, ttl);
        if entry.verdict.is_none() {
            entry.blocked_since = now;
        }
        Some(entry.set_verdict(Some(blocked.verdict), VerdictCause::OtherHost))
    }

    pub(crate) fn prune(&mut self, now: Instant) {
        self.entries.retain(|e| !e.until.is_past(now));
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let crashes: usize = self.entries.iter().map(|e| e.crashes.capacity()).sum();
        self.entries.capacity() * size_of::<Entry>()
            + (crashes + self.recent.capacity()) * size_of::<Crash>()
    }

    fn find(&self, suspect: Suspect) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&suspect, |e| e.suspect)
    }

    fn get(&self, suspect: Suspect) -> Option<&Entry> {
        self.find(suspect).ok().map(|at| &self.entries[at])
    }

    fn get_mut(&mut self, suspect: Suspect) -> Option<&mut Entry> {
        self.find(suspect).ok().map(|at| &mut self.entries[at])
    }

    /// Returns the entry of a suspect, which is added if there is none.
    ///
    /// If the table is full, the unblocked suspect with the fewest crashes is removed, the one whose last
    /// crash is the oldest among them; `None` if all are blocked.
    fn get_or_insert(&mut self, suspect: Suspect, now: Instant, ttl: Micros) -> Option<&mut Entry> {
        if let Ok(at) = self.find(suspect) {
            return Some(&mut self.entries[at]);
        }
        if self.entries.len() >= MAX_ENTRIES {
            let unblocked = self.entries.iter().enumerate();
            let unblocked = unblocked.filter(|(_, e)| e.verdict.is_none());
            let (oldest, _) = unblocked.min_by_key(|(_, e)| (e.crashes.len(), e.last_crash))?;
            self.entries.remove(oldest);
        }
        let at = self.find(suspect).unwrap_or_else(|at| at);
        let entry = Entry::new(suspect, now, Deadline::after(now, ttl));
        self.entries.insert(at, entry);
        Some(&mut self.entries[at])
    }
}

/// Returns the time of what happened `age` ago.
pub(crate) fn time_of(now: Instant, age: Micros) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(age.get()))
}
