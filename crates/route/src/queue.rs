//! Bounded admission queue, ordered by priority, then earliest deadline.

use config::Priority;
use types::Deadline;

/// Sort key of a queued request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub priority: Priority,
    pub deadline: Deadline,
    /// Sequence number of the arrival, which breaks ties.
    pub seq: u64,
}

/// Queued requests sorted by rank, each with its slot in the request table.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<(Rank, u32)>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn insert(&mut self, rank: Rank, slot: u32) {
        let at = self.waiting.partition_point(|w| w.0 < rank);
        self.waiting.insert(at, (rank, slot));
    }

    pub(crate) fn remove(&mut self, rank: Rank) -> bool {
        let found = self.waiting.binary_search_by_key(&rank, |w| w.0);
        found.map(|at| self.waiting.remove(at)).is_ok()
    }

    pub(crate) fn get(&self, at: usize) -> Option<(Rank, u32)> {
        self.waiting.get(at).copied()
    }

    pub(crate) fn last(&self) -> Option<(Rank, u32)> {
        self.waiting.last().copied()
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.waiting.capacity() * size_of::<(Rank, u32)>()
    }
}
