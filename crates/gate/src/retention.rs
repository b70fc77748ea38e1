//! Retention of finished claims.

use store::Revision;
use types::{Instant, Micros};

#[derive(Debug)]
struct Entry {
    name: String,
    revision: Revision,
    due_at: Instant,
}

/// Finished claims awaiting the end of their retention.
#[derive(Debug, Default)]
pub(crate) struct RetentionQueue {
    scheduled: Vec<Entry>,
    /// Claims observed by the last sweep, sorted by name.
    observed: Vec<Entry>,
}

impl RetentionQueue {
    pub(crate) fn add(&mut self, name: String, revision: Revision, due_at: Instant) {
        self.scheduled.push(Entry {
            name,
            revision,
            due_at,
        });
    }

    /// Removes and returns the scheduled claims whose retention has ended.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(String, Revision)> {
        let due = self.scheduled.extract_if(.., |entry| entry.due_at <= now);
        due.map(|entry| (entry.name, entry.revision)).collect()
    }

    /// Records the finished claims of a listing, and returns those unchanged for the retention
    /// period on this host's clock. The claims must be sorted by name.
    pub(crate) fn observe(
        &mut self,
        finished: impl Iterator<Item = (String, Revision)>,
        now: Instant,
        retention: Micros,
    ) -> Vec<(String, Revision)> {
        let mut observed = Vec::new();
        let mut due = Vec::new();
        for (name, revision) in finished {
            let known = self.observed.binary_search_by(|e| e.name.cmp(&name)).ok();
            let known = known.map(|index| &self.observed[index]);
            match known.filter(|e| e.revision == revision) {
                Some(entry) if entry.due_at <= now => due.push((name, revision)),
                known => observed.push(Entry {
                    due_at: known.map_or(now + retention, |e| e.due_at),
                    name,
                    revision,
                }),
            }
        }
        self.observed = observed;
        due
    }
}
