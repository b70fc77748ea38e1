//! The stored record of one backend server.

use serde::{Deserialize, Serialize};
use types::{Bytes, Epoch, HostId, Incarnation, Order, OrderId, OrderOp, Resident, VersionTag};

/// Record of a backend server on the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Epoch of the lease under which the record was last written.
    pub epoch: Epoch,
    /// Number of the write.
    pub write: u64,
    /// Life of the engine that the residents belong to.
    pub incarnation: Incarnation,
    /// Memory of the accelerators, including the adapter pool.
    pub memory: Bytes,
    /// Memory set aside for adapters.
    pub adapter_pool: Bytes,
    /// What the engine reported as resident, sorted.
    pub residents: Vec<Resident>,
    /// Loads that may have arrived and are not closed by a report.
    pub loads: Vec<PendingOrder>,
    /// Unloads that may have arrived and are not closed by a report.
    pub unloads: Vec<PendingOrder>,
}

/// Recorded order that is not closed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PendingOrder {
    /// Id of the order.
    pub id: OrderId,
    /// What it asks for.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
    /// Hosts that may send the order: the one that recorded it, and each that took it over.
    pub senders: Vec<Sender>,
}

/// Host that holds or held the lease, and the epoch of its term.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Sender {
    /// Host.
    pub host: HostId,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// What occupies memory: an engine holds each of these at most once.
pub(crate) type Key<'a> = (&'a str, &'a VersionTag, bool);

pub(crate) fn resident_key(r: &Resident) -> Key<'_> {
    (&r.name, &r.version, r.adapter)
}

/// Tells whether an operation concerns an adapter.
pub(crate) fn is_adapter(op: OrderOp) -> bool {
    matches!(op, OrderOp::LoadAdapter | OrderOp::UnloadAdapter)
}

/// Tells whether an operation takes memory.
pub(crate) fn is_load(op: OrderOp) -> bool {
    matches!(op, OrderOp::Load | OrderOp::LoadAdapter)
}

impl PendingOrder {
    pub(crate) fn key(&self) -> Key<'_> {
        (&self.name, &self.version, is_adapter(self.op))
    }

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
    /// Returns the memory that is or may come to be in use; it must never exceed the memory.
    #[must_use]
    pub fn reserved(&self) -> Bytes {
        self.sum(|_| true)
    }

    /// Returns the part of the reserved memory that adapters take.
    #[must_use]
    pub fn reserved_adapters(&self) -> Bytes {
        self.sum(|(_, _, adapter)| adapter)
    }

    /// Returns the pending loads and unloads.
    pub fn pending(&self) -> impl Iterator<Item = &PendingOrder> {
        self.loads.iter().chain(&self.unloads)
    }

    /// Sums the memory of everything that may be resident, each thing once.
    fn sum(&self, counts: impl Fn(Key<'_>) -> bool) -> Bytes {
        let residents = self.residents.iter().map(|r| (resident_key(r), r.bytes));
        let pending = self.pending().map(|p| (p.key(), p.bytes));
        let mut all: Vec<_> = residents.chain(pending).collect();
        // The larger size of a thing comes first and is the one that is kept.
        all.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        all.dedup_by(|a, b| a.0 == b.0);
        all.iter()
            .filter(|(key, _)| counts(*key))
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
