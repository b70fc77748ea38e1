//! Events that a ledger consumes and actions that it emits.

use types::{Bytes, Epoch, Instant, LoadReport, Order, OrderId, OrderOp, VersionTag};

use crate::record::{Record, Sender};

/// Order to be recorded and then sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewOrder {
    /// Randomly generated id.
    pub id: OrderId,
    /// Operation.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that the model or adapter occupies.
    pub bytes: Bytes,
}

/// Outcome of an attempt to send an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The engine accepted the order, now or in an earlier attempt.
    Accepted,
    /// The engine rejected the order because it has seen this higher fencing token.
    Stale(Epoch),
    /// The engine has too little memory; this attempt was not carried out.
    NoMemory,
    /// No response arrived; the engine may have received the order.
    Lost,
}

/// Event for a ledger; `R` is the revision type of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<R> {
    /// Time passed.
    Tick,
    /// The record was read; `None` if it does not exist.
    Read(Option<(Record, R)>),
    /// The read failed, or the record could not be decoded.
    ReadFailed,
    /// The write took effect and produced this revision.
    Written(R),
    /// The write was rejected and did not take effect.
    Refused,
    /// The write got no response; it may have taken effect or may still do so.
    Unanswered,
    /// New orders were submitted; one write records all of them.
    Submit(Vec<NewOrder>),
    /// An attempt to send an order has ended; the process sends nothing more of it.
    SendFinished {
        /// Id of the order.
        id: OrderId,
        /// Outcome of the attempt.
        outcome: SendOutcome,
    },
    /// A load report arrived from the engine.
    Report {
        /// Load report.
        report: LoadReport,
        /// Instant before the report was requested.
        asked: Instant,
    },
    /// A former lease holder can send no more orders of its epoch.
    SenderStopped(Sender),
    /// The configuration of the backend server changed.
    Limits(Limits),
}

/// Configured memory limits and fencing support of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory of the accelerators, including the adapter pool.
    pub memory: Bytes,
    /// Part of the memory that is reserved for adapters.
    pub adapter_pool: Bytes,
    /// Whether the engine rejects orders with a fencing token below the highest it has ever seen.
    ///
    /// Must be false for an engine that forgets the token when it restarts.
    pub fences: bool,
}

/// Action that a ledger requests; at most one read or write is outstanding at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<R> {
    /// Read the record.
    Read,
    /// Create the record.
    Create(Record),
    /// Replace the record if it is still at this revision.
    Update(Record, R),
    /// Send an order that is recorded.
    Send(Order),
    /// Find out whether a former lease holder can still send orders of its epoch.
    CheckSender(Sender),
    /// The record carries the epoch of this term; orders may be submitted.
    Ready,
    /// A submitted order is not admissible; it was neither recorded nor sent.
    Declined(OrderId),
    /// An order is closed: it was removed from the record, and the residents show its outcome.
    Closed(OrderId),
    /// A lease holder with a higher epoch exists; this ledger is inactive from now on.
    Superseded(Epoch),
}
