//! Stored record of one backend server.

use serde::{Deserialize, Serialize};
use types::{Bytes, Epoch, HostId, Incarnation, Order, OrderId, OrderOp, Resident, VersionTag};

/// Record of a backend server, stored on the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Epoch of the lease under which the record was last written.
    pub epoch: Epoch,
    /// Number of writes so far.
    pub write: u64,
    /// Incarnation of the engine that reported the residents.
    pub incarnation: Incarnation,
    /// Memory of the accelerators, including the adapter pool.
    pub memory: Bytes,
    /// Part of the memory that is reserved for adapters.
    pub adapter_pool: Bytes,
    /// Models and adapters that the engine reported as resident, sorted.
    pub residents: Vec<Resident>,
    /// Loads that may have reached the engine and are not closed.
    pub loads: Vec<PendingOrder>,
    /// Unloads that may have reached the engine and are not closed.
    pub unloads: Vec<PendingOrder>,
}

/// Recorded order that is not closed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PendingOrder {
    /// Id of the order.
    pub id: OrderId,
    /// Operation.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that the model or adapter occupies.
    pub bytes: Bytes,
    /// Hosts that may send the order: the one that recorded it and each that took it over.
    pub senders: Vec<Sender>,
}

/// Current or former lease holder, with the epoch of its term.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Sender {
    /// Host that may send orders.
    pub host: HostId,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// Name, version and kind (true for an adapter). An engine holds at most one copy per key.
pub(crate) type Key<'a> = (&'a str, &'a VersionTag, bool);

pub(crate) fn resident_key(r: &Resident) -> Key<'_> {
    (&r.name, &r.version, r.adapter)
}

/// Returns whether an operation concerns an adapter.
pub(crate) fn is_adapter(op: OrderOp) -> bool {
    matches!(op, OrderOp::LoadAdapter | OrderOp::UnloadAdapter)
}

/// Returns whether an operation allocates memory.
pub(crate) fn is_load(op: OrderOp) -> bool {
    matches!(op, OrderOp::Load | OrderOp::LoadAdapter)
}

impl PendingOrder {
    pub(crate) fn key(&self) -> Key<'_> {
        (&self.name, &self.version, is_adapter(self.op))
    }

    /// Returns the order as it is sent, with a fencing token.
    pub(crate) fn order(&self, fence: Epoch) -> Order {
        Order {
            id: self.id,
            fence,
            op: self.op,
            name: self.name.clone(),
            version: self.version.clone(),
            bytes: self.bytes,
        }
    }
}

impl Record {
    /// Returns the memory that is or may come into use, which must never exceed `memory`.
    #[must_use]
    pub fn reserved(&self) -> Bytes {
        self.sum(|_| true)
    }

    /// Returns the part of the reserved memory that adapters occupy.
    #[must_use]
    pub fn reserved_adapters(&self) -> Bytes {
        self.sum(|(_, _, adapter)| adapter)
    }

    /// Returns the pending loads and unloads.
    pub fn pending(&self) -> impl Iterator<Item = &PendingOrder> {
        self.loads.iter().chain(&self.unloads)
    }

    /// Sums the memory of all keys that match and may be resident, each key once.
    fn sum(&self, matches: impl Fn(Key<'_>) -> bool) -> Bytes {
        let residents = self.residents.iter().map(|r| (resident_key(r), r.bytes));
        let pending = self.pending().map(|p| (p.key(), p.bytes));
        let mut all: Vec<_> = residents.chain(pending).collect();
        // Sorting puts the largest size of each key first, which is the one that is kept.
        all.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        all.dedup_by(|a, b| a.0 == b.0);
        all.iter()
            .filter(|(key, _)| matches(*key))
            .map(|(_, bytes)| *bytes)
            .sum()
    }

    pub(crate) fn list_mut(&mut self, op: OrderOp) -> &mut Vec<PendingOrder> {
        if is_load(op) {
            &mut self.loads
        } else {
            &mut self.unloads
        }
    }

    pub(crate) fn resident(&self, key: Key<'_>) -> Option<&Resident> {
        self.residents.iter().find(|r| resident_key(r) == key)
    }

    pub(crate) fn is_pending(&self, key: Key<'_>) -> bool {
        self.pending().any(|p| p.key() == key)
    }
}
