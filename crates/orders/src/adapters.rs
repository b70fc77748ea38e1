//! Batches of adapter orders within the adapter pool of a backend server.

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
pub struct AdapterMove {
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
) -> Vec<AdapterMove> {
    let present: Vec<&Copy> = copies.iter().filter(|c| c.adapter).collect();
    let matches = |c: &Copy, a: &Adapter| c.name == a.name && c.version == a.version;
    let used_at = |c: &Copy| {
        let mut wanted = wanted.iter();
        wanted.find(|a| matches(c, a)).map(|a| a.last_used)
    };
    let mut free = pool.saturating_sub(present.iter().map(|c| c.bytes).sum());
    let mut coming = free + unloading(&present);
    // Adapters that do not belong here go first, then the least recently used.
    let mut victims: Vec<&Copy> = present.clone();
    victims.retain(|c| c.state == CopyState::Ready);
    victims.sort_by_key(|c| used_at(c));
    let mut victims = victims.into_iter().peekable();
    let mut moves = Vec::new();
    while let Some(copy) = victims.next_if(|c| used_at(c).is_none()) {
        coming += copy.bytes;
        moves.push(unload(copy));
    }
    let mut missing: Vec<&Adapter> = wanted.iter().collect();
    missing.retain(|a| !present.iter().any(|c| matches(c, a)));
    missing.sort_by(|a, b| b.last_used.cmp(&a.last_used).then(a.name.cmp(&b.name)));
    let mut started = 0;
    for adapter in missing {
        if adapter.bytes <= free {
            if started < loads {
                started += 1;
                free = free.saturating_sub(adapter.bytes);
                coming = coming.saturating_sub(adapter.bytes);
                moves.push(load(adapter));
            }
            continue;
        }
        let older = |c: &&Copy| used_at(c) < Some(adapter.last_used);
        while adapter.bytes > coming
            && let Some(copy) = victims.next_if(older)
        {
            coming += copy.bytes;
            moves.push(unload(copy));
        }
        coming = coming.saturating_sub(adapter.bytes);
        // Nothing smaller may take the room that was made for this one.
        free = Bytes::ZERO;
    }
    moves
}

/// Returns a data centre's part of a limit: even parts, the rest by rendezvous hash.
#[must_use]
pub fn share(limit: u32, dcs: &[DataCentreId], dc: &DataCentreId) -> u32 {
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

fn unload(copy: &Copy) -> AdapterMove {
    AdapterMove {
        op: OrderOp::UnloadAdapter,
        name: copy.name.clone(),
        version: copy.version.clone(),
        bytes: copy.bytes,
    }
}

fn load(adapter: &Adapter) -> AdapterMove {
    AdapterMove {
        op: OrderOp::LoadAdapter,
        name: adapter.name.clone(),
        version: adapter.version.clone(),
        bytes: adapter.bytes,
    }
}
