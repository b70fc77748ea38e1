//! Types shared by all crates of celerytally.
//!
//! Ids, sizes, rates and durations are newtypes that parse from text and print in the same form, so
//! that a quantity always carries its unit. The crate also defines the numbered result codes.
//!
//! ```
//! use types::{Bytes, Deadline, Instant, Micros};
//!
//! let memory: Bytes = "80 GiB".parse()?;
//! assert_eq!(memory.to_string(), "80 GiB");
//!
//! let target: Micros = "490 ms".parse()?;
//! let deadline = Deadline::after(Instant::ZERO, target);
//! assert!(!deadline.is_past(Instant::from_micros(489_999)));
//! assert!(deadline.is_past(Instant::from_micros(490_000)));
//! # Ok::<(), types::Error>(())
//! ```

mod code;
mod cpu;
mod error;
mod id;
mod load;
mod notice;
mod order;
mod part;
mod rate;
mod registration;
mod rendezvous;
mod revision;
mod size;
mod time;
mod unit;

pub use code::{Code, ExecutionStatus, RetryReason};
pub use cpu::Millicores;
pub use error::{Category, Error, Result};
pub use id::{
    AccountId, AdapterId, AttemptId, BackendId, CallerId, ConfigVersion, DataCentreId, Epoch,
    HostId, Incarnation, ModelId, OrderId, RegionId, RequestId, ServiceName, VersionTag, WorkerId,
};
pub use load::{LoadReport, Resident};
pub use notice::{Announcement, NoticeSource, ServerNotice};
pub use order::{Order, OrderOp, OrderState, OrderStatus};
pub use part::PromptPart;
pub use rate::Rate;
pub use registration::{Registration, RevisedRegistration, ServedModel, WorkerState};
pub use rendezvous::{rendezvous_rank, rendezvous_score};
pub use revision::StoreRevision;
pub use size::{Bytes, Tokens};
pub use time::{BootTime, Clock, Deadline, Instant, Micros, Monotonic};
