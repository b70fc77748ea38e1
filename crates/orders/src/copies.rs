//! Copies of models and adapters on a backend server, for placement.

use types::{Bytes, VersionTag};

use crate::{
    event::NewOrder,
    record::{Record, is_adapter, is_load, resident_key},
};

/// State of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyState {
    /// A load is submitted or pending, and the copy is not reported as resident.
    Loading,
    /// Resident, with no unload submitted or pending.
    Ready,
    /// An unload is submitted or not confirmed; the copy occupies memory and is not counted
    /// as available.
    Unloading,
}

/// Copy of a model or adapter in the memory of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it occupies.
    pub bytes: Bytes,
    /// Whether it is an adapter.
    pub adapter: bool,
    /// State of the copy.
    pub state: CopyState,
}

/// Returns the copies that a record implies, including the effect of orders not recorded yet.
pub(crate) fn of(record: &Record, new_orders: &[NewOrder]) -> Vec<Copy> {
    let unloading = |key| {
        let recorded = record.unloads.iter().any(|p| p.key() == key);
        let submitted = new_orders
            .iter()
            .any(|o| !is_load(o.op) && (o.name.as_str(), &o.version, is_adapter(o.op)) == key);
        recorded || submitted
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
    let submitted = new_orders.iter().map(|o| {
        let key = (o.name.as_str(), &o.version, is_adapter(o.op));
        (key, o.bytes, is_load(o.op))
    });
    for ((name, version, adapter), bytes, load) in loads.chain(unloads).chain(submitted) {
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
