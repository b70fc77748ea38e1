//! Recorded orders and memory accounting of one backend server.
//!
//! A [`Ledger`] maintains the [`Record`] of a backend server for one term of a lease holder. Every
//! order is recorded by a conditional update before it is sent. Its memory stays reserved until the
//! engine reports the outcome and no duplicate of the order can still arrive.
//!
//! ```
//! use orders::{Action, Event, Ledger, Limits};
//! use types::{Bytes, Epoch, Instant};
//!
//! let limits = Limits {
//!     memory: Bytes::new(100),
//!     adapter_pool: Bytes::ZERO,
//!     fences: false,
//! };
//! let mut ledger: Ledger<u64> = Ledger::new("a1".parse()?, Epoch::new(3), limits);
//! let mut out = Vec::new();
//! ledger.step(Instant::ZERO, Event::Tick, &mut out);
//! ledger.step(Instant::ZERO, Event::Read(None), &mut out);
//! assert!(matches!(out.last(), Some(Action::Create(record)) if record.epoch == Epoch::new(3)));
//!
//! // Orders may be submitted once the record carries the epoch of this term.
//! ledger.step(Instant::ZERO, Event::Written(1), &mut out);
//! assert!(out.contains(&Action::Ready));
//! # Ok::<(), types::Error>(())
//! ```

mod adapters;
mod copies;
mod event;
mod ledger;
mod progress;
mod record;
mod sequenced;
mod slots;

pub use adapters::{Adapter, AdapterChange, limit_share, plan_adapters};
pub use copies::{Copy, CopyState};
pub use event::{Action, Event, Limits, NewOrder, SendOutcome};
pub use ledger::{Checks, Ledger};
pub use record::{PendingOrder, Record, Sender};
pub use sequenced::{OrderSpec, SequencedOutcome, SequencedWorker};
pub use slots::{SlotAction, SlotEvent, SlotRecord, Slots};
