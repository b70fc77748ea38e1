//! Claims that make a request with an idempotency key run at most once.
//!
//! An attempt creates a record for its key on the platform, dispatches the request once it knows
//! that the record is its own, and then stores the outcome. The state machine does no I/O: a driver
//! executes the actions and reports their results as events.
//!
//! ```
//! use claim::{Action, Claim, Event};
//! use types::{AttemptId, Instant};
//!
//! let mut claim = Claim::new(AttemptId::new(1), "hash of the body".to_owned());
//! let mut out = Vec::new();
//! claim.step(Instant::ZERO, Event::Start, &mut out);
//! assert!(matches!(out.pop(), Some(Action::Create(_))));
//!
//! // The response to the write was lost: the record is read before anything is dispatched.
//! claim.step(Instant::ZERO, Event::Unanswered, &mut out);
//! assert_eq!(out.pop(), Some(Action::Read));
//! claim.step(Instant::ZERO, Event::ReadFailed, &mut out);
//! assert!(matches!(out.pop(), Some(Action::Reply(_))));
//! assert!(!out.contains(&Action::Dispatch));
//! ```

mod attempt;
mod event;

pub use attempt::{Checks, Claim};
pub use event::{Action, Answer, Event, Outcome, Owner, Record, Reply, State};
