//! Evidence of what crashes backend servers.
//!
//! A suspect is a part of prompts, or a whole request, that was in flight at a crash. One that was in
//! flight at several crashes, without a response to any request that contains it since, is blocked. A
//! response clears it. Crashes and responses of all hosts count.

use types::{BackendId, Deadline, Incarnation, Instant, Micros};

use crate::event::{BlockedSuspect, CrashReport, Suspect, Verdict};

/// Number of crashes after which a part of prompts is blocked.
const MAX_PART_CRASHES: usize = 3;

/// Number of crashes after which a whole request is blocked; only its own resends suffer from an error.
const MAX_REQUEST_CRASHES: usize = 2;

/// Time within which several crashes count as one for a part, as they may all be due to something that
/// goes on just then.
const COUNTING_INTERVAL: Micros = Micros::from_millis(250);

/// Number of crashes after which a part is not tried any more.
const CONFIRMING_CRASHES: usize = 5;

/// Number of trials of a blocked suspect over all hosts.
///
/// Two of them confirm a part that crashes servers. The third one is for a sound part whose trial shared
/// its server with another cause.
pub const MAX_TRIALS: u8 = 3;

/// Time after the last crash of any server before a suspect is tried. A response that is on its way can
/// clear it meanwhile, and a trial among other crashes shows little.
const TRIAL_DELAY: Micros = Micros::from_secs(1);

/// Time after the last request that could try a suspect for which its trials precede those of others.
const PRECEDENCE_TIME: Micros = Micros::from_secs(3);

/// Time for which the trials of a blocked suspect wait for those of others.
const MAX_PRECEDED_TIME: Micros = Micros::from_secs(4);

/// Time after which this host asks again for permission to try a suspect.
const ASK_INTERVAL: Micros = Micros::from_millis(250);

/// Time by which hosts may disagree on when a server crashed, as each learns of it by itself.
const CLOCK_TOLERANCE: Micros = Micros::from_millis(500);

/// Maximum number of suspects, which bounds what a caller can add with invented parts.
const MAX_ENTRIES: usize = 512;

/// Maximum number of crashes kept for one suspect.
const MAX_CRASHES: usize = 16;

/// Maximum number of recent crashes kept to judge which share of them a part was in flight at.
const MAX_RECENT_CRASHES: usize = 128;

/// Time between crashes that have a common cause, such as the loss of a data centre. They count against a
/// part that was in flight at more than half of them.
const SIMULTANEOUS_TIME: Micros = Micros::from_millis(50);

/// Crash of a backend server at which a suspect was in flight.
#[derive(Clone, Debug)]
struct Crash {
    backend: BackendId,
    incarnation: Incarnation,
    at: Instant,
}

impl Crash {
    fn is_of(&self, other: &Self) -> bool {
        self.backend == other.backend && self.incarnation == other.incarnation
    }

    fn is_simultaneous(&self, other: &Self) -> bool {
        self.at.since(other.at).max(other.at.since(self.at)) < SIMULTANEOUS_TIME
    }
}

/// Suspect with all that is known of it.
#[derive(Clone, Debug)]
struct Entry {
    suspect: Suspect,
    /// Crashes since the last response, oldest first.
    crashes: Vec<Crash>,
    /// Time of the last crash that any host knows of.
    last_crash: Instant,
    answered_at: Option<Instant>,
    verdict: Option<Verdict>,
    /// Time since which the suspect is blocked.
    blocked_since: Instant,
    /// Time of the last request that could try the suspect, as it contains no other one.
    last_candidate: Option<Instant>,
    /// Trials that were granted to this host.
    trials: u8,
    /// Time from which this host may ask for a trial.
    next_ask: Deadline,
    /// Time at which the entry is removed; each crash and each refusal puts it off.
    until: Deadline,
}

impl Entry {
    fn is_part(&self) -> bool {
        matches!(self.suspect, Suspect::Part(_))
    }

    /// Returns whether the suspect is blocked, but not for good.
    fn is_clearable(&self) -> bool {
        match self.suspect {
            Suspect::Part(_) => self.verdict == Some(Verdict::Suspected),
            Suspect::Request(_) => self.verdict.is_some(),
        }
    }

    fn max_crashes(&self) -> usize {
        match self.suspect {
            Suspect::Part(_) => MAX_PART_CRASHES,
            Suspect::Request(_) => MAX_REQUEST_CRASHES,
        }
    }

    /// Returns whether the crash is new.
    fn add(&mut self, crash: &Crash) -> bool {
        let is_answered = self.answered_at.is_some_and(|at| at >= crash.at);
        if is_answered || self.crashes.iter().any(|c| c.is_of(crash)) {
            return false;
        }
        let at = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(at, crash.clone());
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.last_crash = self.last_crash.max(crash.at);
        true
    }
}

/// Change of what this host believes of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Change {
    pub suspect: Suspect,
    /// `None` if the suspect was cleared.
    pub verdict: Option<Verdict>,
    pub crashes: usize,
}

/// Suspects, sorted, and the crashes that are held against them.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    entries: Vec<Entry>,
    /// Recent crashes, oldest first.
    recent: Vec<Crash>,
}

impl Evidence {
    fn find(&self, suspect: Suspect) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&suspect, |e| e.suspect)
    }

    fn get(&self, suspect: Suspect) -> Option<&Entry> {
        self.find(suspect).ok().map(|at| &self.entries[at])
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a response to a request with the suspect would change anything.
    pub(crate) fn awaits_response(&self, suspect: Suspect) -> bool {
        self.get(suspect)
            .is_some_and(|e| e.verdict.is_some() || !e.crashes.is_empty())
    }

    pub(crate) fn verdict(&self, suspect: Suspect) -> Option<Verdict> {
        self.get(suspect)?.verdict
    }

    /// Returns the entry of a suspect, which is added if there is none.
    ///
    /// If the table is full, the suspect whose last crash is the oldest is removed, but none that is
    /// blocked; `None` if all of them are.
    fn entry(&mut self, suspect: Suspect, now: Instant, ttl: Micros) -> Option<&mut Entry> {
        if let Ok(at) = self.find(suspect) {
            return Some(&mut self.entries[at]);
        }
        if self.entries.len() >= MAX_ENTRIES {
            let unblocked = self.entries.iter().enumerate();
            let unblocked = unblocked.filter(|(_, e)| e.verdict.is_none());
            let (oldest, _) = unblocked.min_by_key(|(_, e)| e.last_crash)?;
            self.entries.remove(oldest);
        }
        let at = self.find(suspect).unwrap_or_else(|at| at);
        self.entries.insert(
            at,
            Entry {
                suspect,
                crashes: Vec::new(),
                last_crash: Instant::ZERO,
                answered_at: None,
                verdict: None,
                blocked_since: now,
                last_candidate: None,
                trials: 0,
                next_ask: Deadline::at(now),
                until: Deadline::after(now, ttl),
            },
        );
        Some(&mut self.entries[at])
    }

    /// Returns whether a report contains a suspect that is not known to have been in flight at its crash.
    pub(crate) fn is_news(&self, report: &CrashReport) -> bool {
        let knows = |c: &Crash| c.backend == report.backend && c.incarnation == report.incarnation;
        let is_known = |s: &Suspect| self.get(*s).is_some_and(|e| e.crashes.iter().any(knows));
        !report.suspects.iter().all(is_known)
    }

    /// Adds a crash to the suspects that were in flight. Returns the suspects that are blocked now.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        ttl: Micros,
        report: &CrashReport,
    ) -> Vec<Change> {
        let at = now.as_micros().saturating_sub(report.age.get());
        let crash = Crash {
            backend: report.backend.clone(),
            incarnation: report.incarnation,
            at: Instant::from_micros(at),
        };
        self.remember(&crash);
        let mut is_new = false;
        for suspect in &report.suspects {
            let Some(entry) = self.entry(*suspect, now, ttl) else {
                continue;
            };
            if entry.add(&crash) {
                is_new = true;
                entry.until = Deadline::after(now, ttl);
            }
        }
        if !is_new {
            return Vec::new();
        }
        self.judge(now)
    }

    fn remember(&mut self, crash: &Crash) {
        if self.recent.iter().any(|c| c.is_of(crash)) {
            return;
        }
        let at = self.recent.partition_point(|c| c.at <= crash.at);
        self.recent.insert(at, crash.clone());
        if self.recent.len() > MAX_RECENT_CRASHES {
            self.recent.remove(0);
        }
    }

    /// Returns the number of crashes that count against a suspect, without the explained ones.
    ///
    /// Crashes of a part that follow each other closely count as one.
    fn weight(&self, entry: &Entry, explained: &[Crash]) -> usize {
        let is_open = |crash: &&Crash| !explained.iter().any(|c| c.is_of(crash));
        let crashes: Vec<&Crash> = entry.crashes.iter().filter(is_open).collect();
        if !entry.is_part() {
            return crashes.len();
        }
        let is_at_most_of = |crash: &Crash| {
            let own = crashes.iter().filter(|c| c.is_simultaneous(crash)).count();
            let all = self.recent.iter().filter(is_open);
            2 * own > all.filter(|c| c.is_simultaneous(crash)).count()
        };
        let mut last: Option<Instant> = None;
        let mut weight = 0;
        for crash in crashes.iter().filter(|c| is_at_most_of(c)) {
            if last.is_none_or(|last| crash.at.since(last) >= COUNTING_INTERVAL) {
                weight += 1;
                last = Some(crash.at);
            }
        }
        weight
    }

    /// Judges all suspects anew.
    ///
    /// The parts with the most crashes are blocked first, and what was in flight at the same crashes is
    /// judged without them. So a sound part that shared servers with a crashing one is cleared once the
    /// latter has more crashes.
    fn judge(&mut self, now: Instant) -> Vec<Change> {
        let mut explained: Vec<Crash> = Vec::new();
        let mut chosen: Vec<usize> = Vec::new();
        let mut confirmed: Vec<usize> = Vec::new();
        loop {
            let open = self.entries.iter().enumerate().filter(|(at, e)| {
                e.is_part() && e.crashes.len() >= MAX_PART_CRASHES && !chosen.contains(at)
            });
            let weighted: Vec<(usize, usize)> = open
                .map(|(at, e)| (self.weight(e, &explained), at))
                .filter(|(weight, _)| *weight >= MAX_PART_CRASHES)
                .collect();
            let Some(most) = weighted.iter().map(|w| w.0).max() else {
                break;
            };
            for (_, at) in weighted.iter().filter(|w| w.0 == most) {
                chosen.push(*at);
                if most >= CONFIRMING_CRASHES {
                    confirmed.push(*at);
                }
                explained.extend(self.entries[*at].crashes.iter().cloned());
            }
        }
        let requests = self.entries.iter().enumerate().filter(|(_, e)| {
            !e.is_part()
                && e.crashes.len() >= MAX_REQUEST_CRASHES
                && self.weight(e, &explained) >= MAX_REQUEST_CRASHES
        });
        let requests: Vec<usize> = requests.map(|(at, _)| at).collect();
        chosen.extend(requests);
        // A host that got a verdict from others does not know all crashes behind it, and keeps it.
        let is_explained = |e: &Entry| {
            e.is_clearable()
                && self.weight(e, &[]) >= e.max_crashes()
                && self.weight(e, &explained) == 0
        };
        let cleared: Vec<bool> = self.entries.iter().map(is_explained).collect();
        let mut changes = Vec::new();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let is_chosen = chosen.contains(&at);
            if is_chosen && entry.verdict.is_none() {
                entry.blocked_since = now;
                changes.push(block(entry));
            }
            if confirmed.contains(&at) && entry.verdict == Some(Verdict::Suspected) {
                changes.push(confirm(entry));
            }
            if !is_chosen && cleared[at] {
                changes.push(clear_explained(entry));
            }
        }
        changes
    }

    /// Records that a request with the suspect was answered at a time. Returns what changes if the
    /// suspect was blocked and is not any more.
    pub(crate) fn record_response(
        &mut self,
        now: Instant,
        suspect: Suspect,
        at: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::from_iter(self.answer(suspect, at));
        if !changes.is_empty() {
            // The suspect may have explained the crashes of others.
            changes.extend(self.judge(now));
        }
        changes
    }

    fn answer(&mut self, suspect: Suspect, at: Instant) -> Option<Change> {
        let index = self.find(suspect).ok()?;
        let entry = &mut self.entries[index];
        entry.answered_at = entry.answered_at.max(Some(at));
        let had_crashes = !entry.crashes.is_empty();
        entry.crashes.retain(|c| c.at > at);
        entry.verdict?;
        // A host that got the verdict from others does not know the crashes behind it.
        let is_cleared = if had_crashes {
            entry.crashes.len() < entry.max_crashes()
        } else {
            at >= entry.last_crash
        };
        is_cleared.then(|| clear(entry))
    }

    /// Applies that another host blocks a suspect.
    pub(crate) fn apply_blocked(
        &mut self,
        now: Instant,
        ttl: Micros,
        blocked: &BlockedSuspect,
    ) -> Option<Change> {
        let at = now.as_micros().saturating_sub(blocked.age.get());
        let last_crash = Instant::from_micros(at);
        let entry = self.entry(blocked.suspect, now, ttl)?;
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
        entry.verdict = Some(blocked.verdict);
        Some(Change {
            suspect: entry.suspect,
            verdict: entry.verdict,
            crashes: entry.crashes.len(),
        })
    }

    /// Returns the blocked suspects, to be passed on to other hosts.
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

    /// Puts off the removal of a blocked suspect, because a request with it came, which may try it or not.
    pub(crate) fn record_request(
        &mut self,
        now: Instant,
        ttl: Micros,
        suspect: Suspect,
        may_try: bool,
    ) {
        if let Ok(at) = self.find(suspect) {
            let entry = &mut self.entries[at];
            entry.until = Deadline::after(now, ttl);
            if may_try {
                entry.last_candidate = Some(now);
            }
        }
    }

    /// Returns whether a trial of a blocked suspect may be asked for now.
    ///
    /// The suspects with the most crashes are tried first, since their trials may end the servers that
    /// others are tried on. The others do not wait for long, as these trials may take many seconds.
    pub(crate) fn is_trial_due(&self, now: Instant, suspect: Suspect) -> bool {
        let Some(entry) = self.get(suspect) else {
            return false;
        };
        let is_calm = |at: Instant| now.since(at) >= TRIAL_DELAY;
        let may_wait = now.since(entry.blocked_since) < MAX_PRECEDED_TIME;
        let precedes = |e: &Entry| {
            may_wait
                && e.is_part()
                && e.verdict == Some(Verdict::Suspected)
                && e.crashes.len() > entry.crashes.len()
                && e.last_candidate
                    .is_some_and(|at| now.since(at) < PRECEDENCE_TIME)
        };
        entry.is_part()
            && entry.verdict == Some(Verdict::Suspected)
            && entry.trials < MAX_TRIALS
            && entry.next_ask.is_past(now)
            && is_calm(entry.last_crash)
            && self.recent.last().is_none_or(|c| is_calm(c.at))
            && !self.entries.iter().any(precedes)
    }

    pub(crate) fn trial_asked(&mut self, now: Instant, suspect: Suspect) {
        if let Ok(at) = self.find(suspect) {
            self.entries[at].next_ask = Deadline::after(now, ASK_INTERVAL);
        }
    }

    pub(crate) fn trial_granted(&mut self, suspect: Suspect) {
        if let Ok(at) = self.find(suspect) {
            self.entries[at].trials += 1;
        }
    }

    /// Records that no trial of a suspect is left.
    pub(crate) fn trials_exhausted(&mut self, suspect: Suspect) -> Option<Change> {
        let at = self.find(suspect).ok()?;
        let entry = &mut self.entries[at];
        (entry.verdict == Some(Verdict::Suspected)).then(|| confirm(entry))
    }

    pub(crate) fn prune(&mut self, now: Instant) {
        self.entries.retain(|e| !e.until.is_past(now));
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let crashes: usize = self.entries.iter().map(|e| e.crashes.capacity()).sum();
        self.entries.capacity() * size_of::<Entry>()
            + (crashes + self.recent.capacity()) * size_of::<Crash>()
    }
}

fn clear(entry: &mut Entry) -> Change {
    entry.verdict = None;
    entry.trials = 0;
    Change {
        suspect: entry.suspect,
        verdict: None,
        crashes: entry.crashes.len(),
    }
}

/// Clears a suspect whose crashes have another cause, whatever other hosts still believe of it.
fn clear_explained(entry: &mut Entry) -> Change {
    entry.answered_at = entry.answered_at.max(Some(entry.last_crash));
    clear(entry)
}

fn block(entry: &mut Entry) -> Change {
    entry.verdict = Some(match entry.suspect {
        Suspect::Part(_) => Verdict::Suspected,
        // Only resends of the same request contain it, so that nothing is lost without a trial.
        Suspect::Request(_) => Verdict::Confirmed,
    });
    Change {
        suspect: entry.suspect,
        verdict: entry.verdict,
        crashes: entry.crashes.len(),
    }
}

fn confirm(entry: &mut Entry) -> Change {
    entry.verdict = Some(Verdict::Confirmed);
    Change {
        suspect: entry.suspect,
        verdict: entry.verdict,
        crashes: entry.crashes.len(),
    }
}
