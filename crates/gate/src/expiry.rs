//! Finished claims and the instants from which they may be deleted.

use store::Revision;
use types::{Instant, Micros};

#[derive(Debug)]
struct Entry {
    name: String,
    revision: Revision,
    at: Instant,
}

/// Finished claims that wait for the end of their retention.
#[derive(Debug, Default)]
pub(crate) struct Expiry {
    own: Vec<Entry>,
    /// Claims that a sweep has seen, sorted by name.
    seen: Vec<Entry>,
}

impl Expiry {
    pub(crate) fn add(&mut self, name: String, revision: Revision, at: Instant) {
        self.own.push(Entry { name, revision, at });
    }

    /// Takes the own claims whose retention has ended.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(String, Revision)> {
        let due = self.own.extract_if(.., |entry| entry.at <= now);
        due.map(|entry| (entry.name, entry.revision)).collect()
    }

    /// Notes the finished claims of a listing, in rising order of their names, and returns those
    /// that were unchanged for the retention on this host's clock.
    pub(crate) fn observe(
        &mut self,
        finished: impl Iterator<Item = (String, Revision)>,
        now: Instant,
        retention: Micros,
    ) -> Vec<(String, Revision)> {
        let mut seen = Vec::new();
        let mut due = Vec::new();
        for (name, revision) in finished {
            let known = self.seen.binary_search_by(|e| e.name.cmp(&name)).ok();
            let known = known.map(|at| &self.seen[at]);
            match known.filter(|e| e.revision == revision) {
                Some(entry) if entry.at <= now => due.push((name, revision)),
                known => seen.push(Entry {
                    at: known.map_or(now + retention, |e| e.at),
                    name,
                    revision,
                }),
            }
        }
        self.seen = seen;
        due
    }
}
