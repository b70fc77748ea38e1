//! Attribution of crashes to the suspects that caused them.

use types::{Instant, Micros};

use crate::{
    crash::evidence::{
        Evidence, VerdictChange,
        entry::{Crash, Entry, MAX_PART_CRASHES, MAX_REQUEST_CRASHES},
    },
    crash::suspect::{Verdict, VerdictCause},
};

/// Time within which several crashes count as one against a part, because they may have a common cause
/// other than the part.
const COUNTING_INTERVAL: Micros = Micros::from_millis(250);

/// Number of crashes after which a part gets no further trial.
const CONFIRMING_CRASHES: usize = 5;

/// Time between crashes that have a common cause, such as the loss of a data centre. They count against a
/// part that was in flight at more than half of them.
const SIMULTANEOUS_TIME: Micros = Micros::from_millis(50);

/// Suspects to which the crashes are attributed.
#[derive(Debug, Default)]
struct Attribution {
    /// Indices of the entries that are blocked.
    blocked: Vec<usize>,
    /// Indices of those among them that get no further trial.
    confirmed: Vec<usize>,
    /// Crashes attributed to blocked parts.
    crashes: Vec<Crash>,
}

impl Evidence {
    /// Updates the verdicts on all suspects. Returns those that changed.
    pub(super) fn update_verdicts(&mut self, now: Instant) -> Vec<VerdictChange> {
        let attribution = self.attribute_crashes();
        // A host that received a verdict from others does not know all crashes behind it, and keeps it.
        let has_other_cause = |e: &Entry| {
            e.is_clearable()
                && self.counted_crashes(e, &[]) >= e.max_crashes()
                && self.counted_crashes(e, &attribution.crashes) == 0
        };
        let has_other_cause: Vec<bool> = self.entries.iter().map(has_other_cause).collect();
        let mut changes = Vec::new();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let is_blocked = attribution.blocked.contains(&at);
            if is_blocked && entry.verdict.is_none() {
                changes.push(entry.block(now));
            }
            if attribution.confirmed.contains(&at) && entry.verdict == Some(Verdict::Suspected) {
                changes.push(entry.confirm(VerdictCause::Crashes));
            }
            if !is_blocked && has_other_cause[at] {
                changes.push(entry.clear_with_other_cause());
            }
        }
        changes
    }

    /// Attributes crashes to the parts with the most of them first.
    ///
    /// Other suspects are assessed without the crashes attributed so far. So a harmless part that shared
    /// servers with a crashing one is cleared once the latter has more crashes.
    fn attribute_crashes(&self) -> Attribution {
        let mut attribution = Attribution::default();
        loop {
            let candidates = self.entries.iter().enumerate().filter(|(at, e)| {
                e.is_part()
                    && e.crashes.len() >= MAX_PART_CRASHES
                    && !attribution.blocked.contains(at)
            });
            let counted: Vec<(usize, usize)> = candidates
                .map(|(at, e)| (self.counted_crashes(e, &attribution.crashes), at))
                .filter(|(count, _)| *count >= MAX_PART_CRASHES)
                .collect();
            let Some(most) = counted.iter().map(|(count, _)| *count).max() else {
                break;
            };
            // Parts that were in flight at the same crashes cannot be told apart without trials.
            let is_only_one = counted.iter().filter(|(count, _)| *count == most).count() == 1;
            for (_, at) in counted.iter().filter(|(count, _)| *count == most) {
                attribution.blocked.push(*at);
                if most >= CONFIRMING_CRASHES && is_only_one {
                    attribution.confirmed.push(*at);
                }
                let crashes = self.entries[*at].crashes.iter().cloned();
                attribution.crashes.extend(crashes);
            }
        }
        let requests = self.entries.iter().enumerate().filter(|(_, e)| {
            !e.is_part()
                && e.crashes.len() >= MAX_REQUEST_CRASHES
                && self.counted_crashes(e, &attribution.crashes) >= MAX_REQUEST_CRASHES
        });
        let requests: Vec<usize> = requests.map(|(at, _)| at).collect();
        attribution.blocked.extend(requests);
        attribution
    }

    /// Returns the number of crashes that count against a suspect, without those attributed to others.
    ///
    /// Crashes of a part that follow each other closely count as one. Simultaneous crashes count only if
    /// the part was in flight at most of them.
    fn counted_crashes(&self, entry: &Entry, attributed: &[Crash]) -> usize {
        let is_unattributed = |crash: &&Crash| !attributed.iter().any(|c| c.is_same(crash));
        let own: Vec<&Crash> = entry.crashes.iter().filter(is_unattributed).collect();
        if !entry.is_part() {
            return own.len();
        }
        let was_at_most = |crash: &Crash| {
            let own = own.iter().filter(|c| is_simultaneous(c, crash));
            let all = self.recent.iter().filter(is_unattributed);
            2 * own.count() > all.filter(|c| is_simultaneous(c, crash)).count()
        };
        let mut last: Option<Instant> = None;
        let mut count = 0;
        for crash in own.iter().filter(|c| was_at_most(c)) {
            if last.is_none_or(|last| crash.at.since(last) >= COUNTING_INTERVAL) {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }
}

fn is_simultaneous(a: &Crash, b: &Crash) -> bool {
    a.at.since(b.at).max(b.at.since(a.at)) < SIMULTANEOUS_TIME
}
