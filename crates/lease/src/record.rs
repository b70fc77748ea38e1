//! The stored lease, and the input events and output actions of a candidate.

use serde::{Deserialize, Serialize};
use types::{AttemptId, Epoch, HostId, Micros};

/// Lease object of a data centre on the platform.
///
/// It holds no wall-clock time. Every write changes `renewal`, so an observer sees a renewal even
/// on a platform that keeps the revision of an object whose content is unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Host that holds the lease; absent after a hand-over.
    pub holder: Option<HostId>,
    /// Term of the holder; it only grows.
    pub epoch: Epoch,
    /// Time for which the holder may act after a renewal.
    pub duration: Micros,
    /// Random id of the holder's process, which tells it from an earlier process of the host.
    #[serde(rename = "attempt")]
    pub process: AttemptId,
    /// Number of the write within the process.
    pub renewal: u64,
}

/// Input of a candidate; `R` is the platform's revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<R> {
    /// Time passed.
    Tick,
    /// The object was read.
    Read(Option<(Record, R)>),
    /// The read failed.
    ReadFailed,
    /// The write took effect at a revision.
    Written(R),
    /// The write did not take effect.
    Refused,
    /// The write got no answer; it may have taken effect or may still take effect.
    Unanswered,
    /// An epoch was seen in a record or in an engine's refusal.
    EpochSeen(Epoch),
    /// The host gives the lease up and takes it no more.
    Release,
}

/// Output of a candidate; at most one read or write is outstanding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action<R> {
    /// Read the object.
    Read,
    /// Create the object.
    Create(Record),
    /// Replace the object that is at a revision.
    Update(Record, R),
    /// Authority began with an epoch that no other term has.
    Acquired(Epoch),
    /// Authority of an epoch ended; the same epoch never returns.
    Lost(Epoch),
}
