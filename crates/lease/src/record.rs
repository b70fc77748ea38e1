//! Stored lease object, and the events and actions of a candidate.

use serde::{Deserialize, Serialize};
use types::{AttemptId, Epoch, HostId, Micros};

/// Lease object of a data centre, as stored on the platform.
///
/// The object contains no wall-clock time. Every write changes `renewal`, so that other candidates
/// notice it even if the platform keeps the revision of an object with unchanged content.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Host that holds the lease; `None` after a release.
    pub holder: Option<HostId>,
    /// Number of the holder's term, which increases monotonically.
    pub epoch: Epoch,
    /// Time from a renewal until the lease expires.
    pub duration: Micros,
    /// Random id of the holder's process, which distinguishes it from earlier ones of the host.
    #[serde(rename = "attempt")]
    pub process: AttemptId,
    /// Sequence number of the write within the process.
    pub renewal: u64,
}

/// Input event of a candidate; `R` is the type of the platform's revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event<R> {
    /// Time passed.
    Tick,
    /// The object was read; `None` if it does not exist.
    Read(Option<(Record, R)>),
    /// The read failed.
    ReadFailed,
    /// The write succeeded, and the object has this revision.
    Written(R),
    /// The write was refused and had no effect.
    Refused,
    /// The write got no response; it may have taken effect or may still do so.
    Unanswered,
    /// An epoch was found in a record or in the refusal of an engine.
    EpochSeen(Epoch),
    /// The store was restored from an older copy; all later epochs exceed this one.
    StoreRestored(Epoch),
    /// The process releases the lease and no longer competes for it.
    Release,
}

/// Output action of a candidate; at most one read or write is outstanding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action<R> {
    /// Read the object.
    Read,
    /// Create the object.
    Create(Record),
    /// Replace the object if it still has this revision.
    Update(Record, R),
    /// The lease was acquired with an epoch that no other term has.
    Acquired(Epoch),
    /// The authority under this epoch ended; the epoch is not used again.
    Lost(Epoch),
}
