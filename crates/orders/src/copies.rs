//! Copies on a backend server as placement sees them.

use types::{Bytes, VersionTag};

use crate::{
    event::NewOrder,
    record::{Record, is_adapter, is_load, resident_key},
};

/// State of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// Ordered and not reported as resident.
    Loading,
    /// Resident, and no unload of it is wanted or open.
    Ready,
    /// An unload is wanted or not confirmed; the copy takes memory and does not count.
    Unloading,
}

/// Copy of a model or adapter on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Whether it is an adapter.
    pub adapter: bool,
    /// State.
    pub state: CopyState,
}

/// Returns the copies of a record, with orders that are wanted and not recorded yet.
pub(crate) fn of(record: &Record, wants: &[NewOrder]) -> Vec<Copy> {
    let unloading = |key| {
        let recorded = record.unloads.iter().any(|p| p.key() == key);
        let wanted = wants
            .iter()
            .any(|w| !is_load(w.op) && (w.name.as_str(), &w.version, is_adapter(w.op)) == key);
        recorded || wanted
    };
    let mut copies: Vec<Copy> = record
        .residents
        .iter()
        .map(|r| Copy {
            name: r.name.clone(),
            version: r.version.clone(),
            bytes: r.bytes,
            adapter: r.adapter,
            state: if unloading(resident_key(r)) {
                CopyState::Unloading
            } else {
                CopyState::Ready
            },
        })
        .collect();
    let loads = record.loads.iter().map(|p| (p.key(), p.bytes, true));
    let unloads = record.unloads.iter().map(|p| (p.key(), p.bytes, false));
    let wanted = wants.iter().map(|w| {
        let key = (w.name.as_str(), &w.version, is_adapter(w.op));
        (key, w.bytes, is_load(w.op))
    });
    for ((name, version, adapter), bytes, load) in loads.chain(unloads).chain(wanted) {
        let known = copies
            .iter()
            .any(|c| (c.name.as_str(), &c.version, c.adapter) == (name, version, adapter));
        if !known {
            copies.push(Copy {
                name: name.to_owned(),
                version: version.clone(),
                bytes,
                adapter,
                state: if load {
                    CopyState::Loading
                } else {
                    CopyState::Unloading
                },
            });
        }
    }
    copies.sort_unstable_by(|a, b| (&a.name, &a.version).cmp(&(&b.name, &b.version)));
    copies
}
