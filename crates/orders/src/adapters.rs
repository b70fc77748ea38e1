//! Planning of adapter loads and unloads within the adapter pool of a backend server.

use std::cmp::Reverse;

use types::{Bytes, DataCentreId, Instant, OrderOp, VersionTag, rendezvous_rank};

use crate::copies::{Copy, CopyState};

/// Adapter that should be resident on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it occupies.
    pub bytes: Bytes,
    /// Instant at which it was last requested; zero if never.
    pub last_used: Instant,
}

/// Load or unload of one adapter on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterChange {
    /// Operation.
    pub op: OrderOp,
    /// Name of the adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it occupies.
    pub bytes: Bytes,
}

/// Returns the adapter changes of one planning round, to be recorded in one write.
///
/// `wanted` are the adapters that should be resident on the backend server. Those that do not fit
/// evict the least recently used ones; their memory can be used in a later round, once the unloads
/// are confirmed. At most `max_loads` loads are returned.
#[must_use]
pub fn plan_adapters(
    copies: &[Copy],
    pool: Bytes,
    wanted: &[Adapter],
    max_loads: usize,
) -> Vec<AdapterChange> {
    let present: Vec<&Copy> = copies.iter().filter(|c| c.adapter).collect();
    let mut missing: Vec<&Adapter> = wanted.iter().collect();
    missing.retain(|a| !present.iter().any(|c| is_copy_of(c, a)));
    missing.sort_by(|a, b| b.last_used.cmp(&a.last_used).then(a.name.cmp(&b.name)));
    let mut batch = Batch::new(&present, pool, wanted, max_loads);
    for adapter in missing {
        batch.add(adapter);
    }
    batch.changes
}

fn is_copy_of(copy: &Copy, adapter: &Adapter) -> bool {
    copy.name == adapter.name && copy.version == adapter.version
}

/// Adapter changes of one round under construction.
struct Batch<'a> {
    /// Memory that a load can use now.
    free: Bytes,
    /// Free memory and the memory of copies that are being unloaded.
    reclaimable: Bytes,
    /// Copies that may be evicted, with the instant of their last use; the least recently used is
    /// last.
    eviction_candidates: Vec<(Instant, &'a Copy)>,
    /// Number of loads that may still be added.
    loads_left: usize,
    changes: Vec<AdapterChange>,
}

impl<'a> Batch<'a> {
    fn new(present: &[&'a Copy], pool: Bytes, wanted: &[Adapter], max_loads: usize) -> Self {
        let free = pool.saturating_sub(present.iter().map(|c| c.bytes).sum());
        let mut batch = Self {
            free,
            reclaimable: free + unloading_memory(present),
            eviction_candidates: Vec::new(),
            loads_left: max_loads,
            changes: Vec::new(),
        };
        for copy in present.iter().filter(|c| c.state == CopyState::Ready) {
            match wanted.iter().find(|a| is_copy_of(copy, a)) {
                Some(adapter) => batch.eviction_candidates.push((adapter.last_used, copy)),
                // An adapter that is not wanted is unloaded even if its memory is not needed.
                None => batch.evict(copy),
            }
        }
        batch
            .eviction_candidates
            .sort_by_key(|(used, _)| Reverse(*used));
        batch
    }

    fn evict(&mut self, copy: &Copy) {
        self.reclaimable += copy.bytes;
        self.changes.push(unload(copy));
    }

    /// Adds the load of an adapter if it fits, otherwise the evictions that make it fit later.
    ///
    /// Nothing is evicted if evicting every less recently used adapter would not be enough.
    fn add(&mut self, adapter: &Adapter) {
        if adapter.bytes <= self.free {
            if self.loads_left > 0 {
                self.loads_left -= 1;
                self.free = self.free.saturating_sub(adapter.bytes);
                self.reclaimable = self.reclaimable.saturating_sub(adapter.bytes);
                self.changes.push(load(adapter));
            }
            return;
        }
        let older = self
            .eviction_candidates
            .iter()
            .filter(|(used, _)| *used < adapter.last_used);
        let evictable: Bytes = older.map(|(_, copy)| copy.bytes).sum();
        if adapter.bytes > self.reclaimable + evictable {
            return;
        }
        while adapter.bytes > self.reclaimable
            && let Some((_, copy)) = self
                .eviction_candidates
                .pop_if(|(used, _)| *used < adapter.last_used)
        {
            self.evict(copy);
        }
        self.reclaimable = self.reclaimable.saturating_sub(adapter.bytes);
        // Smaller adapters must not use the memory that is being freed for this one.
        self.free = Bytes::ZERO;
    }
}

/// Returns the share of a limit that a data centre may use.
///
/// The limit is divided evenly; rendezvous hashing decides which data centres get one more, so that
/// all of them agree and the shares add up to the limit. A data centre not in `dcs` gets 0.
#[must_use]
pub fn limit_share(limit: u32, dcs: &[DataCentreId], dc: &DataCentreId) -> u32 {
    let names: Vec<&str> = dcs.iter().map(DataCentreId::as_str).collect();
    let ranked = rendezvous_rank("share", &names);
    let Some(position) = ranked.iter().position(|name| *name == dc.as_str()) else {
        return 0;
    };
    let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    limit / count + u32::from(position < limit % count)
}

fn unloading_memory(present: &[&Copy]) -> Bytes {
    let unloading = present.iter().filter(|c| c.state == CopyState::Unloading);
    unloading.map(|c| c.bytes).sum()
}

fn unload(copy: &Copy) -> AdapterChange {
    AdapterChange {
        op: OrderOp::UnloadAdapter,
        name: copy.name.clone(),
        version: copy.version.clone(),
        bytes: copy.bytes,
    }
}

fn load(adapter: &Adapter) -> AdapterChange {
    AdapterChange {
        op: OrderOp::LoadAdapter,
        name: adapter.name.clone(),
        version: adapter.version.clone(),
        bytes: adapter.bytes,
    }
}
