//! Input events and output actions of a ledger.

use types::{Bytes, Epoch, Instant, LoadReport, Order, OrderId, OrderOp, VersionTag};

use crate::record::{Record, Sender};

/// Order that is wanted; it is recorded before it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewOrder {
    /// Random id.
    pub id: OrderId,
    /// What is asked for.
    pub op: OrderOp,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: VersionTag,
    /// Memory that it takes.
    pub bytes: Bytes,
}

/// How sending an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The engine accepted it or had accepted it before.
    Accepted,
    /// The engine has seen a higher fencing token.
    Stale(Epoch),
    /// The engine has not enough memory; this copy of the order did not run.
    NoMemory,
    /// No answer came; the order may have arrived.
    Lost,
}

/// Input of a ledger; `R` is the platform's revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<R> {
    /// Time passed.
    Tick,
    /// The record was read.
    Read(Option<(Record, R)>),
    /// The read failed, or the record can't be decoded.
    ReadFailed,
    /// The write took effect at a revision.
    Written(R),
    /// The write did not take effect.
    Refused,
    /// The write got no answer; it may have taken effect or may still take effect.
    Unanswered,
    /// Orders are wanted; they are recorded in one write.
    Submit(Vec<NewOrder>),
    /// Sending an order ended; no more of this attempt will leave the process.
    SendFinished {
        /// Id of the order.
        id: OrderId,
        /// How it ended.
        outcome: SendOutcome,
    },
    /// The engine reported.
    Report {
        /// Report.
        report: LoadReport,
        /// Instant before the report was asked for.
        asked: Instant,
    },
    /// A former holder can send no more orders of its epoch.
    SenderStopped(Sender),
    /// The configured sizes changed.
    Limits(Limits),
}

/// Configured properties of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory of its accelerators.
    pub memory: Bytes,
    /// Part of the memory that is set aside for adapters.
    pub adapter_pool: Bytes,
    /// Whether the engine refuses orders with a token below the highest that it ever saw.
    ///
    /// An engine that forgets the token when it restarts must not be declared so.
    pub fences: bool,
}

/// Output of a ledger; at most one read or write is outstanding.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<R> {
    /// Read the record.
    Read,
    /// Create the record.
    Create(Record),
    /// Replace the record that is at a revision.
    Update(Record, R),
    /// Send an order; it is recorded.
    Send(Order),
    /// Find out whether a former holder can still send orders of its epoch.
    CheckSender(Sender),
    /// The record carries the epoch of this term; orders may be wanted.
    Ready,
    /// A wanted order does not fit or makes no sense; it was neither recorded nor sent.
    Declined(OrderId),
    /// An order is closed and its memory accounted for.
    Closed(OrderId),
    /// A holder with a higher epoch exists; this ledger does nothing more.
    Superseded(Epoch),
}
