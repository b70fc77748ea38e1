//! Batches of adapter orders within the adapter pool of a backend server.

use std::cmp::Reverse;

use types::{Bytes, DataCentreId, Instant, OrderOp, VersionTag, rank};

use crate::copies::{Copy, CopyState};

/// Adapter that should be resident on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Instant at which it was last asked for; zero if never.
    pub last_used: Instant,
}

/// Change of the adapters on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterChange {
    /// Load or unload.
    pub op: OrderOp,
    /// Name.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
}

/// Returns the adapter moves of one round, to be recorded in one write.
///
/// `wanted` are the adapters that belong on the backend server. Those that do not fit displace the
/// least recently used ones, whose memory is free for the next round once their unload is
/// confirmed. At most `loads` loads are returned.
#[must_use]
pub fn plan_adapters(
    copies: &[Copy],
    pool: Bytes,
    wanted: &[Adapter],
    loads: usize,
) -> Vec<AdapterChange> {
    let present: Vec<&Copy> = copies.iter().filter(|c| c.adapter).collect();
    let mut missing: Vec<&Adapter> = wanted.iter().collect();
    missing.retain(|a| !present.iter().any(|c| is_copy_of(c, a)));
    missing.sort_by(|a, b| b.last_used.cmp(&a.last_used).then(a.name.cmp(&b.name)));
    let mut batch = Batch::new(&present, pool, wanted, loads);
    for adapter in missing {
        batch.place(adapter);
    }
    batch.moves
}

fn is_copy_of(copy: &Copy, adapter: &Adapter) -> bool {
    copy.name == adapter.name && copy.version == adapter.version
}

/// Moves of one round while they are being chosen.
struct Batch<'a> {
    /// Memory that a load may take now.
    free: Bytes,
    /// Free memory and that of copies which are being unloaded.
    coming: Bytes,
    /// Copies that may be evicted and when they were last used, the first to go at the end.
    victims: Vec<(Instant, &'a Copy)>,
    loads: usize,
    moves: Vec<AdapterChange>,
}

impl<'a> Batch<'a> {
    fn new(present: &[&'a Copy], pool: Bytes, wanted: &[Adapter], loads: usize) -> Self {
        let free = pool.saturating_sub(present.iter().map(|c| c.bytes).sum());
        let mut batch = Self {
            free,
            coming: free + unloading(present),
            victims: Vec::new(),
            loads,
            moves: Vec::new(),
        };
        for copy in present.iter().filter(|c| c.state == CopyState::Ready) {
            match wanted.iter().find(|a| is_copy_of(copy, a)) {
                Some(adapter) => batch.victims.push((adapter.last_used, copy)),
                // What does not belong here goes whether or not its memory is needed.
                None => batch.evict(copy),
            }
        }
        batch.victims.sort_by_key(|(used, _)| Reverse(*used));
        batch
    }

    fn evict(&mut self, copy: &Copy) {
        self.coming += copy.bytes;
        self.moves.push(unload(copy));
    }

    /// Loads an adapter if there is room, or else makes room for it.
    fn place(&mut self, adapter: &Adapter) {
        if adapter.bytes <= self.free {
            if self.loads > 0 {
                self.loads -= 1;
                self.free = self.free.saturating_sub(adapter.bytes);
                self.coming = self.coming.saturating_sub(adapter.bytes);
                self.moves.push(load(adapter));
            }
            return;
        }
        let older = self
            .victims
            .iter()
            .filter(|(used, _)| *used < adapter.last_used);
        let reach: Bytes = older.map(|(_, copy)| copy.bytes).sum();
        if adapter.bytes > self.coming + reach {
            return;
        }
        while adapter.bytes > self.coming
            && let Some((_, copy)) = self.victims.pop_if(|(used, _)| *used < adapter.last_used)
        {
            self.evict(copy);
        }
        self.coming = self.coming.saturating_sub(adapter.bytes);
        // Nothing smaller may take the room that is made for this one.
        self.free = Bytes::ZERO;
    }
}

/// Returns a data centre's part of a limit: even parts, the rest by rendezvous hash.
#[must_use]
pub fn limit_share(limit: u32, dcs: &[DataCentreId], dc: &DataCentreId) -> u32 {
    let names: Vec<&str> = dcs.iter().map(DataCentreId::as_str).collect();
    let ranked = rank("share", &names);
    let Some(place) = ranked.iter().position(|name| *name == dc.as_str()) else {
        return 0;
    };
    let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    limit / count + u32::from(place < limit % count)
}

fn unloading(present: &[&Copy]) -> Bytes {
    let going = present.iter().filter(|c| c.state == CopyState::Unloading);
    going.map(|c| c.bytes).sum()
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
