//! Prompt prefixes that a worker is assumed to have cached.

/// Maximum number of prefixes per worker; beyond it the older half is removed.
const CAPACITY: usize = 256;

/// Hashes of cached prefixes, sorted, each with the sequence number of its last insertion.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    seen: Vec<(u64, u32)>,
    next: u32,
}

impl PrefixCache {
    pub(crate) fn insert(&mut self, prefix: u64) {
        let stamp = self.next;
        self.next = self.next.wrapping_add(1);
        match self.seen.binary_search_by_key(&prefix, |s| s.0) {
            Ok(at) => self.seen[at].1 = stamp,
            Err(at) => {
                self.seen.insert(at, (prefix, stamp));
                if self.seen.len() > CAPACITY {
                    self.drop_older_half();
                }
            }
        }
    }

    fn drop_older_half(&mut self) {
        let age = |stamp: u32| self.next.wrapping_sub(stamp);
        let mut ages: Vec<u32> = self.seen.iter().map(|s| age(s.1)).collect();
        ages.sort_unstable();
        let limit = ages[CAPACITY / 2];
        let next = self.next;
        self.seen.retain(|s| next.wrapping_sub(s.1) <= limit);
    }

    pub(crate) fn clear(&mut self) {
        self.seen.clear();
    }

    /// Returns the index of the longest cached prefix, for prefixes given shortest first.
    pub(crate) fn cached(&self, prefixes: &[u64]) -> Option<usize> {
        let holds = |p: &u64| self.seen.binary_search_by_key(p, |s| s.0).is_ok();
        prefixes.iter().rposition(holds)
    }

    /// Returns the share of the prompt that is cached, for prefixes given shortest first.
    pub(crate) fn cached_share(&self, prefixes: &[u64]) -> f64 {
        if self.seen.is_empty() {
            return 0.0;
        }
        let longest = self.cached(prefixes).map_or(0, |at| at + 1);
        longest as f64 / prefixes.len().max(1) as f64
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.seen.capacity() * size_of::<(u64, u32)>()
    }
}
